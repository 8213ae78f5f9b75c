package lab

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// layerMB is what a layer takes in MB, and eventInterval the time between two events of a stream.
	layerMB       = 1750
	eventInterval = 20 * time.Millisecond
	// Events is the number of events of a complete stream.
	Events = 10
	// maxPrefill is how long a target reads the prompt of a request with a poison part at most before it begins to write.
	maxPrefill = 4000 * time.Millisecond
)

// HasBegun reports whether the target has begun to run an attempt.
func (e *Engine) HasBegun(attempt string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.begun[attempt]
}

// Kinds are the kinds of accelerators of the Dakar deployment that the cases use, with their memory in MB.
var Kinds = map[string]int{"h100": 72_000, "t4": 14_400}

// Order is an order that a target has received.
type Order struct {
	Target   string
	From, To int
	Fence    int64
	Expect   int64
	Status   int
	// IsTooLarge says that the target was ordered to hold more than its memory.
	IsTooLarge bool
	At         time.Time
}

// EngineSpec describes a target that holds layers.
type EngineSpec struct {
	ID, Service, Kind string
	// Address is empty for a free one.
	Address string
	// Load is how long the target takes to load all layers of its model, which has Layers.
	Load   time.Duration
	Layers int
	// PoisonPart is the id of a part of prompts that crashes the target shortly after it begins to run the request. It is back,
	// empty, after Down.
	PoisonPart string
	Down       time.Duration
	// Events is the number of events of a stream, the package's Events if it is zero.
	Events int
	// IDStep is by how much the id of an event exceeds that of the event before, 1 if it is zero.
	IDStep int
}

// Engine is a stand-in of a target that holds layers. It starts empty, and crashes if it is ordered to hold more than its memory.
type Engine struct {
	EngineSpec
	lab  *Lab
	born int64

	mu       sync.Mutex
	listener net.Listener
	server   *http.Server
	// from and to are the layers that it holds, loading until is what it loads.
	from, to     int
	loadFrom     int
	loadTo       int
	loadingUntil time.Time
	sequence     int64
	fence        int64
	beats        int
	isDead       bool
	crashes      int
	poison       int
	goOn         chan struct{}
	lastBegun    time.Time
	begun        map[string]bool
	orders       []Order
}

// StartEngine starts a target that holds layers. Its entry is written by Beat and KeepAlive.
func (l *Lab) StartEngine(s EngineSpec) (*Engine, error) {
	address := s.Address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s.Address = listener.Addr().String()
	e := &Engine{EngineSpec: s, lab: l, born: time.Now().UnixMilli(), listener: listener, begun: map[string]bool{}, goOn: make(chan struct{})}
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve)}
	go func() { _ = e.server.Serve(listener) }()
	l.Note("target %s of service %s starts at %s, kind %s with %d MB, empty", s.ID, s.Service, s.Address, s.Kind, Kinds[s.Kind])
	return e, nil
}

// Orders returns the orders that the target has received.
func (e *Engine) Orders() []Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Order(nil), e.orders...)
}

// IsLoading reports whether the target is loading layers.
func (e *Engine) IsLoading() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.isBusy()
}

// Holds reports whether the target holds all layers of its model.
func (e *Engine) Holds() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.settle()
	return e.to-e.from == e.Layers
}

// HoldsAny reports whether the target holds any layers.
func (e *Engine) HoldsAny() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.settle()
	return e.to > e.from
}

// Crash ends the target at once, with all of its connections.
func (e *Engine) Crash() {
	e.mu.Lock()
	e.isDead = true
	server := e.server
	e.mu.Unlock()
	_ = server.Close()
}

// restart starts the target again after a crash, empty, with the same id and address.
func (e *Engine) restart() {
	listener, err := net.Listen("tcp", e.Address)
	if err != nil {
		e.lab.Note("target %s cannot start again: %v", e.ID, err)
		return
	}
	e.mu.Lock()
	e.listener, e.isDead, e.born = listener, false, time.Now().UnixMilli()
	e.from, e.to, e.loadFrom, e.loadTo, e.sequence, e.fence = 0, 0, 0, 0, 0, 0
	e.loadingUntil = time.Time{}
	server := &http.Server{Handler: http.HandlerFunc(e.serve)}
	e.server = server
	e.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	e.lab.Note("target %s is back, empty", e.ID)
	go e.KeepAlive()
}

// runPoison crashes the target when it begins to write an answer, which is when the target is let go on.
func (e *Engine) runPoison(r *http.Request, id string) {
	e.mu.Lock()
	e.poison++
	goOn := e.goOn
	e.mu.Unlock()
	select {
	case <-goOn:
	case <-time.After(maxPrefill):
	case <-r.Context().Done():
		return
	}
	e.mu.Lock()
	wasDead := e.isDead
	if !wasDead {
		e.crashes++
		e.poison = 0
		e.goOn = make(chan struct{})
	}
	e.mu.Unlock()
	if wasDead {
		return
	}
	e.lab.Note("target %s crashes as it begins to write the answer to attempt %s", e.ID, id)
	time.AfterFunc(e.Down, e.restart)
	e.Crash()
}

// GoOn lets the target begin to write the answers to requests with the poison part.
func (e *Engine) GoOn() {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-e.goOn:
	default:
		close(e.goOn)
	}
}

// Poison returns how many requests with the poison part the target has accepted since its start.
func (e *Engine) Poison() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.poison
}

// LastBegun returns when the target last began to run a request without the poison part.
func (e *Engine) LastBegun() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lastBegun
}

// Crashes returns how often the target has crashed by a poison part.
func (e *Engine) Crashes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashes
}

// Beat writes the target's entry to the store.
func (e *Engine) Beat() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isDead {
		return nil
	}
	e.settle()
	e.beats++
	return e.lab.Store.PutTarget(e.ID, map[string]any{
		"service": e.Service, "address": e.Address, "zone": zone, "version": "v1", "slots": 192, "state": "ready", "cold_remaining_ms": 0,
		"stage": "both", "kind": e.Kind, "layers": e.layers(), "sequence": e.beats, "born": e.born,
	})
}

// KeepAlive writes the target's entry every heartbeat until it crashes.
func (e *Engine) KeepAlive() {
	for e.lab.ctx.Err() == nil {
		if err := e.Beat(); err != nil {
			e.lab.Note("target %s cannot write its entry: %v", e.ID, err)
			return
		}
		time.Sleep(heartbeat)
		e.mu.Lock()
		isDead := e.isDead
		e.mu.Unlock()
		if isDead {
			return
		}
	}
}

func (e *Engine) isBusy() bool { return time.Now().Before(e.loadingUntil) }

// settle applies what was loaded.
func (e *Engine) settle() {
	if e.loadTo > 0 && !e.isBusy() {
		e.from, e.to, e.loadFrom, e.loadTo = e.loadFrom, e.loadTo, 0, 0
	}
}

func (e *Engine) layers() any {
	if e.to == e.from {
		return nil
	}
	return map[string]any{"from": e.from, "to": e.to, "version": 1}
}

func (e *Engine) serve(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != e.ID {
		w.Header().Set("X-Instance-Id", e.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/api/report":
		e.report(w)
	case "/api/order":
		e.order(w, r)
	default:
		e.stream(w, r)
	}
}

func (e *Engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	e.settle()
	body := map[string]any{
		"stage": "both", "models": []any{}, "busy": e.isBusy(), "sequence": e.sequence, "waiting": 0, "running": 0, "kv_used": 0,
		"kv_total": 90000, "handles": 0, "kind": e.Kind, "layers": e.layers(), "born": e.born, "stalled": []any{}, "pace": 1,
	}
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

// order begins to load layers, unless the order does not fit the target's state.
func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Op     string `json:"op"`
		From   int    `json:"from"`
		To     int    `json:"to"`
		Fence  int64  `json:"fencing_token"`
		Expect *int64 `json:"expect"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil || in.Op != "place" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	o := Order{Target: e.ID, From: in.From, To: in.To, Fence: in.Fence, Expect: -1, At: time.Now()}
	if in.Expect != nil {
		o.Expect = *in.Expect
	}
	o.Status = e.begin(in.From, in.To, in.Fence, o.Expect)
	o.IsTooLarge = o.Status == http.StatusAccepted && (in.To-in.From)*layerMB > Kinds[e.Kind]
	e.orders = append(e.orders, o)
	e.mu.Unlock()
	e.lab.Note("target %s of service %s (%d MB) is ordered to hold layers %d-%d (%d MB), fence %d, expect %d; X-Expect-Instance %q; answer: %d",
		e.ID, e.Service, Kinds[e.Kind], o.From, o.To, (o.To-o.From)*layerMB, o.Fence, o.Expect, r.Header.Get("X-Expect-Instance"), o.Status)
	w.WriteHeader(o.Status)
	if o.IsTooLarge {
		e.lab.Note("target %s crashes: it was ordered to hold more than its memory", e.ID)
		go e.Crash()
	}
}

// begin checks an order and begins it. It returns the status of the answer. e.mu must be held.
func (e *Engine) begin(from, to int, fence, expect int64) int {
	e.settle()
	switch {
	case fence < e.fence:
		return http.StatusPreconditionFailed
	case expect >= 0 && expect != e.sequence, e.isBusy():
		return http.StatusConflict
	case from == e.from && to == e.to:
		return http.StatusOK
	}
	e.fence = fence
	e.sequence++
	e.loadFrom, e.loadTo = from, to
	e.loadingUntil = time.Now().Add(e.Load * time.Duration(to-from) / time.Duration(e.Layers))
	return http.StatusAccepted
}

// stream answers a request with a few events, if the target holds its part of the request's path.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	_, _ = io.Copy(io.Discard, r.Body)
	e.mu.Lock()
	e.settle()
	holds := r.Header.Get("X-Hop-Count") == fmt.Sprintf("%s=%d-%d", e.Address, e.from, e.to) && e.to > e.from
	e.mu.Unlock()
	if !holds {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("X-Response-Seal", "seal."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	e.mu.Lock()
	e.begun[id] = true
	e.mu.Unlock()
	if e.PoisonPart != "" && strings.Contains(r.Header.Get("X-Prompt-Prefix"), e.PoisonPart+":") {
		e.runPoison(r, id)
		return
	}
	e.mu.Lock()
	e.lastBegun = time.Now()
	e.mu.Unlock()
	step := max(1, e.IDStep)
	last, _ := strconv.Atoi(strings.TrimSpace(r.Header.Get("Last-Event-Id")))
	e.lab.Note("target %s runs attempt %s after event %d", e.ID, id, last)
	n := last/step + 1
	for ; n <= e.events() && r.Context().Err() == nil; n++ {
		time.Sleep(eventInterval)
		fmt.Fprintf(w, "id: %d\ndata: token\n\n", n*step)
		_ = http.NewResponseController(w).Flush()
	}
	e.lab.Note("target %s ends attempt %s, last event %d, channel closed by the node: %v", e.ID, id, (n-1)*step, r.Context().Err() != nil)
}

func (s EngineSpec) events() int { return cmp.Or(s.Events, Events) }
