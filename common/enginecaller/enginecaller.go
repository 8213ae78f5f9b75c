// Package enginecaller is a client for model engines. Its types are the engines' published protocol,
// JSON over HTTP.
package enginecaller

import (
	"context"
	"net/url"
	"strconv"

	"fuchsiabridge.example/common/httpcaller"
	"fuchsiabridge.example/common/identifier"
)

// StepName identifies one step. An engine runs a step at most once, even if it is sent again under
// the same name.
type StepName struct {
	Draft    identifier.DraftID  `json:"draft"`
	Epoch    identifier.Epoch    `json:"epoch"`
	Position identifier.Position `json:"position"`
	Stage    int                 `json:"stage"`
}

// Step asks an engine to run its stage's layers for one position of a draft (a chat completion in
// progress).
type Step struct {
	StepName
	Generation identifier.Generation `json:"generation"`
	Layers     identifier.LayerRange `json:"layers"`
	Input      []byte                `json:"input"`
	// PromptTokens is the number of tokens in the prompt; it is set at position 0 only.
	PromptTokens int `json:"prompt_tokens,omitempty"`
	// PrefixBlocks holds the rolling hashes of the prompt's blocks for the prefix cache; it is set at
	// position 0 only.
	PrefixBlocks []uint64 `json:"prefix_blocks,omitempty"`
	// Priority orders queued steps; higher values run first.
	Priority int `json:"priority"`
	// Last says that the step ends at the model's last layer, so that its result is a token.
	Last bool `json:"last"`
	// Resume asks for a result that the engine already has. If it has none, it answers StepKVMissing
	// and runs nothing.
	Resume bool `json:"resume,omitempty"`
}

// StepCode is the result code of a step.
type StepCode string

// Step codes.
const (
	// StepOK means that the step ran: Output holds the result, and Token too at the last stage.
	StepOK StepCode = "ok"
	// StepKVMissing means that nothing ran: the engine's KV cache of the draft covers Have positions, which
	// does not fit the step's position, or the engine has no result for a step with Resume.
	StepKVMissing StepCode = "kv_missing"
	// StepReloaded means that the engine's generation differs from the step's, or that the engine does not
	// hold all of the step's layers; nothing ran.
	StepReloaded StepCode = "reloaded"
	// StepSuperseded means that the engine has seen a higher epoch or a cancellation of the draft;
	// nothing ran.
	StepSuperseded StepCode = "superseded"
)

// StepResult is the answer to one step.
type StepResult struct {
	StepName
	Code   StepCode            `json:"code"`
	Output []byte              `json:"output,omitempty"`
	Token  string              `json:"token,omitempty"`
	Have   identifier.Position `json:"have,omitempty"`
	// Seen is the epoch that superseded the step's, if the engine reports it.
	Seen identifier.Epoch `json:"seen,omitempty"`
}

// StepBatch is the body of POST /v1/steps.
type StepBatch struct {
	Steps []Step `json:"steps"`
}

// StepResults is the answer to POST /v1/steps, in the batch's order.
type StepResults struct {
	Results []StepResult `json:"results"`
}

// Status is the answer to GET /v1/status. The reported load may be out of date.
type Status struct {
	Target      identifier.TargetID   `json:"target"`
	Model       identifier.ModelID    `json:"model"`
	Layers      identifier.LayerRange `json:"layers"`
	Generation  identifier.Generation `json:"generation"`
	Accelerator string                `json:"accelerator"`
	// LayerMicros is the compute time of one layer for one position, in microseconds.
	LayerMicros int `json:"layer_micros"`
	BatchLimit  int `json:"batch_limit"`
	// Queued counts the steps that are waiting or running.
	Queued  int  `json:"queued"`
	Leaving bool `json:"leaving"`
	// Role is "decode", "prefill" or "both".
	Role string `json:"role"`
	// Fence is the highest fencing token seen in an order.
	Fence identifier.FencingToken `json:"fence"`
}

// Order tells an engine to load a layer range, to unload, or to change its role.
type Order struct {
	ID     string                  `json:"id"`
	Kind   string                  `json:"kind"`
	Model  identifier.ModelID      `json:"model"`
	Layers identifier.LayerRange   `json:"layers"`
	Role   string                  `json:"role,omitempty"`
	Fence  identifier.FencingToken `json:"fence"`
}

// KV is the exported KV cache of one draft for a layer range. Digests stand for its content.
type KV struct {
	Draft     identifier.DraftID          `json:"draft"`
	Epoch     identifier.Epoch            `json:"epoch"`
	Positions identifier.Position         `json:"positions"`
	Layers    identifier.LayerRange       `json:"layers"`
	Digests   map[identifier.Layer]uint64 `json:"digests"`
}

// CacheEvent reports that a prompt block was added to or evicted from an engine's prefix cache.
type CacheEvent struct {
	Number int64  `json:"number"`
	Block  uint64 `json:"block"`
	Added  bool   `json:"added"`
}

// CacheEvents is the answer to GET /v1/cache_events?after=N; numbers may have gaps.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
}

// HTTPCaller makes one HTTP call.
type HTTPCaller interface {
	Do(ctx context.Context, r httpcaller.Request) (httpcaller.Response, error)
}

// Caller is a client for engines.
type Caller struct{ http HTTPCaller }

// NewCaller returns a caller that sends its requests through the given HTTP caller.
func NewCaller(http HTTPCaller) *Caller { return &Caller{http: http} }

// json calls an address with in encoded as JSON, and decodes the answer into out.
func (c *Caller) json(ctx context.Context, method, address string, in, out any) error {
	return httpcaller.JSONThrough(ctx, c.http.Do, httpcaller.Request{Method: method, URL: address}, in, out)
}

// Steps runs a batch of steps at the engine at address. If newConn is set, it uses a new connection.
func (c *Caller) Steps(ctx context.Context, address string, steps []Step, newConn bool) ([]StepResult, error) {
	var out StepResults
	r := httpcaller.Request{Method: "POST", URL: "http://" + address + "/v1/steps", NewConn: newConn}
	err := httpcaller.JSONThrough(ctx, c.http.Do, r, StepBatch{Steps: steps}, &out)
	return out.Results, err
}

// Status returns the engine's status.
func (c *Caller) Status(ctx context.Context, address string) (Status, error) {
	var out Status
	err := c.json(ctx, "GET", "http://"+address+"/v1/status", nil, &out)
	return out, err
}

// Cancel makes the engine drop a draft and refuse its steps of all epochs up to the given one.
func (c *Caller) Cancel(ctx context.Context, address string, draft identifier.DraftID, epoch identifier.Epoch) error {
	return c.json(ctx, "DELETE", draftURL(address, "drafts", draft, epoch), nil, nil)
}

// Order sends an order to the engine. If the engine refuses it, the error is an
// *httpcaller.StatusError with status 409.
func (c *Caller) Order(ctx context.Context, address string, order Order) (Status, error) {
	var out Status
	err := c.json(ctx, "POST", "http://"+address+"/v1/orders", order, &out)
	return out, err
}

// ExportKV returns the draft's KV cache.
func (c *Caller) ExportKV(ctx context.Context, address string, draft identifier.DraftID, epoch identifier.Epoch) (KV, error) {
	var out KV
	err := c.json(ctx, "GET", draftURL(address, "kv", draft, epoch), nil, &out)
	return out, err
}

// ImportKV stores a draft's KV cache at the engine.
func (c *Caller) ImportKV(ctx context.Context, address string, kv KV) error {
	return c.json(ctx, "POST", "http://"+address+"/v1/kv", kv, nil)
}

// CacheEvents returns the engine's cache events with numbers greater than after.
func (c *Caller) CacheEvents(ctx context.Context, address string, after int64) ([]CacheEvent, error) {
	var out CacheEvents
	u := "http://" + address + "/v1/cache_events?after=" + strconv.FormatInt(after, 10)
	err := c.json(ctx, "GET", u, nil, &out)
	return out.Events, err
}

func draftURL(address, kind string, draft identifier.DraftID, epoch identifier.Epoch) string {
	q := url.Values{"draft": {string(draft)}, "epoch": {strconv.FormatUint(uint64(epoch), 10)}}
	return "http://" + address + "/v1/" + kind + "?" + q.Encode()
}
