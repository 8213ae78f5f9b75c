// Package identifier declares the named types for ids and units that every
// program of fuchsiabridge shares.
package identifier

// Ids. All are opaque text, compared byte by byte.
type (
	// NodeID names one entry node; it stays the same over restarts of its VM's process.
	NodeID string
	// TargetID names one model engine or one replica of a plain service.
	TargetID string
	// AccountID names one client account.
	AccountID string
	// DataCentre names the data centre a VM stands in.
	DataCentre string
	// ModelID names one model.
	ModelID string
	// ServiceID names one plain service.
	ServiceID string
	// DraftID names one draft; it is made from the client account and the request id.
	DraftID string
	// RequestID names one request of a client account.
	RequestID string
	// RecordKey names one request that must run at most once.
	RecordKey string
	// TeamID names one team of operators.
	TeamID string
	// ChangeID names one change of configuration.
	ChangeID string
	// Class names one class of requests, such as "counter" or "bulk".
	Class string
	// RouteID names one route of the configuration.
	RouteID string
	// AcceleratorKind names one kind of accelerator.
	AcceleratorKind string
	// CallID names one open call of a caller at this node.
	CallID uint64
)

// Counters and positions.
type (
	// Epoch counts the drivers and pipelines a draft has had; a higher one supersedes.
	Epoch uint64
	// Position counts the tokens of a draft from 0; position 0 is the prompt's step.
	Position int
	// Layer counts a model's layers from 0.
	Layer int
	// Offset is a place in the platform's log.
	Offset int64
	// Revision counts the accepted changes of one team's subtree.
	Revision int64
	// Generation counts the loads of an engine.
	Generation uint64
	// Incarnation tells restarts of one node apart; a higher one is later.
	Incarnation uint64
	// FencingNumber is the log offset of the lease grant an order is given under.
	FencingNumber int64
)

// Fingerprint is a hash of what makes two requests the same: route, caller and body.
type Fingerprint uint64

// LayerRange is the half-open range of layers From..To-1.
type LayerRange struct {
	From Layer `json:"from"`
	To   Layer `json:"to"`
}

// Len returns the number of layers in the range.
func (r LayerRange) Len() int { return int(r.To - r.From) }

// Contains reports whether o lies wholly within r.
func (r LayerRange) Contains(o LayerRange) bool { return r.From <= o.From && o.To <= r.To }
