package enginefaker

import (
	"fmt"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
	"k8s.io/klog/v2"

	"fuchsiabridge.example/common/enginecaller"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/layerhasher"
	"fuchsiabridge.example/common/responder"
)

// Kinds of orders.
const (
	OrderLoad   = "load"
	OrderUnload = "unload"
	OrderRole   = "role"
)

// Fault is the body of POST /fault.
type Fault struct {
	// Leaving makes the engine report that it is leaving.
	Leaving bool `json:"leaving"`
	// Slowdown multiplies the duration of each batch; with 0 or 1 the engine runs at its normal speed.
	Slowdown int `json:"slowdown"`
}

// Handle serves a call of the engine protocol, or POST /fault.
func (e *Engine) Handle(c *fasthttp.RequestCtx) {
	switch string(c.Method()) + " " + string(c.Path()) {
	case "POST /v1/steps":
		e.steps(c)
	case "GET /v1/status":
		e.mu.Lock()
		defer e.mu.Unlock()
		e.reported.Leaving = e.leaving
		responder.JSON(c, fasthttp.StatusOK, e.reported)
	case "DELETE /v1/drafts":
		id, epoch := draftArgs(c)
		e.cancel(id, epoch)
	case "POST /v1/orders":
		e.order(c)
	case "GET /v1/kv":
		e.exportKV(c)
	case "POST /v1/kv":
		e.importKV(c)
	case "GET /v1/cache_events":
		after, _ := strconv.ParseInt(string(c.QueryArgs().Peek("after")), 10, 64)
		e.mu.Lock()
		defer e.mu.Unlock()
		responder.JSON(c, fasthttp.StatusOK, enginecaller.CacheEvents{Events: e.prefixes.after(after, e.cfg.ReportLag)})
	case "POST /fault":
		e.setFault(c)
	default:
		c.Error("no such path", fasthttp.StatusNotFound)
	}
}

func (e *Engine) steps(c *fasthttp.RequestCtx) {
	var batch enginecaller.StepBatch
	if err := responder.Decode(c, &batch); err != nil {
		c.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	var out enginecaller.StepResults
	for _, p := range e.enqueue(batch.Steps) {
		out.Results = append(out.Results, <-p.done)
	}
	responder.JSON(c, fasthttp.StatusOK, out)
}

func (e *Engine) setFault(c *fasthttp.RequestCtx) {
	var f Fault
	if err := responder.Decode(c, &f); err != nil {
		c.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = f.Leaving
	e.slowdown = max(1, f.Slowdown)
}

func (e *Engine) order(c *fasthttp.RequestCtx) {
	var o enginecaller.Order
	if err := responder.Decode(c, &o); err != nil {
		c.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Fence < e.fence && !e.cfg.IgnoreFence {
		e.writeEvent("order_refused", "", o.Fence, o.Layers)
		c.Error(fmt.Sprintf("fencing token %d is older than %d", o.Fence, e.fence), fasthttp.StatusConflict)
		return
	}
	if e.loading {
		c.Error("loading", fasthttp.StatusConflict)
		return
	}
	e.fence = max(e.fence, o.Fence)
	e.writeEvent("order_"+o.Kind, "", o.Fence, o.Layers)
	switch o.Kind {
	case OrderLoad:
		e.load(o)
	case OrderUnload:
		e.replaceLayers(e.model, identifier.LayerRange{})
	case OrderRole:
		e.role = o.Role
		e.generation++
	default:
		c.Error("unknown kind of order", fasthttp.StatusBadRequest)
		return
	}
	e.reported = e.status()
	responder.JSON(c, fasthttp.StatusOK, e.reported)
}

// load unloads the current layers, fetches the new ones without holding the lock, and then activates them.
func (e *Engine) load(o enginecaller.Order) {
	e.replaceLayers(o.Model, identifier.LayerRange{})
	e.loading = true
	e.mu.Unlock()
	e.fetchWeights(o.Layers.Len())
	e.mu.Lock()
	e.loading = false
	e.replaceLayers(o.Model, o.Layers)
}

func (e *Engine) fetchWeights(layers int) {
	if e.cfg.Weights == "" {
		time.Sleep(time.Duration(layers) * e.cfg.LoadPerLayer)
		return
	}
	url := "http://" + e.cfg.Weights + "/v1/weights?layers=" + strconv.Itoa(layers)
	if _, _, err := fasthttp.Get(nil, url); err != nil {
		klog.ErrorS(err, "fetching weights")
	}
}

func (e *Engine) replaceLayers(model identifier.ModelID, layers identifier.LayerRange) {
	e.model, e.layers = model, layers
	e.generation++
	e.drafts = map[identifier.DraftID]*draft{}
	e.prefixes = newPrefixCache(e.cfg.CacheBlocks)
}

func (e *Engine) exportKV(c *fasthttp.RequestCtx) {
	id, epoch := draftArgs(c)
	kv, ok := e.copyKV(id, epoch)
	if !ok {
		c.Error("no such draft", fasthttp.StatusNotFound)
		return
	}
	e.simulateTransfer(kv)
	responder.JSON(c, fasthttp.StatusOK, kv)
}

func (e *Engine) copyKV(id identifier.DraftID, epoch identifier.Epoch) (enginecaller.KV, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	d, ok := e.drafts[id]
	if !ok || d.epoch != epoch || d.canceled {
		return enginecaller.KV{}, false
	}
	kv := enginecaller.KV{Draft: id, Epoch: epoch, Positions: d.positions, Layers: e.layers, Digests: map[identifier.Layer]uint64{}}
	for l, digest := range d.cache {
		kv.Digests[l] = digest
	}
	return kv, true
}

// simulateTransfer sleeps for the time that the transfer of a KV cache takes.
func (e *Engine) simulateTransfer(kv enginecaller.KV) {
	perPosition := e.cfg.LayerDuration * time.Duration(len(kv.Digests)) * transferPercent / 100
	time.Sleep(perPosition * time.Duration(kv.Positions))
}

func (e *Engine) importKV(c *fasthttp.RequestCtx) {
	var kv enginecaller.KV
	if err := responder.Decode(c, &kv); err != nil {
		c.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	e.simulateTransfer(kv)
	e.mu.Lock()
	defer e.mu.Unlock()
	d := e.draft(kv.Draft)
	if kv.Epoch < d.epoch || (kv.Epoch == d.epoch && d.canceled) {
		c.Error("the draft was superseded", fasthttp.StatusConflict)
		return
	}
	*d = draft{epoch: kv.Epoch, positions: kv.Positions, cache: layerhasher.Cache{}, lastUsed: time.Now()}
	for l, digest := range kv.Digests {
		d.cache[l] = digest
	}
	e.writeEvent("kv_imported", kv.Draft, 0, kv.Layers)
}

// writeEvent writes an event to the ledger. The caller holds the engine's lock.
func (e *Engine) writeEvent(event string, id identifier.DraftID, fence identifier.FencingToken, layers identifier.LayerRange) {
	n := LedgerEvent{Target: e.cfg.ID, Event: event, Draft: id, Fence: fence, Layers: layers, At: time.Now().UnixMilli()}
	if err := e.ledger.Write(n); err != nil {
		klog.Fatal(err)
	}
}

func draftArgs(c *fasthttp.RequestCtx) (identifier.DraftID, identifier.Epoch) {
	epoch, _ := strconv.ParseUint(string(c.QueryArgs().Peek("epoch")), 10, 64)
	return identifier.DraftID(c.QueryArgs().Peek("draft")), identifier.Epoch(epoch)
}
