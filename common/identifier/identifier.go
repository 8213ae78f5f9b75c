// Package identifier declares the named types for ids, counters and positions that all programs of
// fuchsiabridge share.
package identifier

// Ids. All are opaque and compared byte by byte.
type (
	// NodeID identifies an entry node; it does not change when the node's process restarts.
	NodeID string
	// TargetID identifies a model engine, or a replica of a plain service (one without model layers).
	TargetID string
	// AccountID identifies a client account.
	AccountID string
	// DataCentre is the name of the data centre in which a VM runs.
	DataCentre string
	// ModelID identifies a model.
	ModelID string
	// ServiceID identifies a service.
	ServiceID string
	// DraftID identifies a draft, that is, a chat completion in progress. It is derived from the
	// client account and the request id.
	DraftID string
	// RequestID identifies a request within a client account.
	RequestID string
	// RecordKey identifies a request that must run at most once.
	RecordKey string
	// TeamID identifies a team of operators.
	TeamID string
	// ChangeID identifies a configuration change.
	ChangeID string
	// Class is the name of a request class, such as "counter" or "bulk".
	Class string
	// RouteID identifies a route of the configuration.
	RouteID string
	// AcceleratorKind is the name of a kind of accelerator.
	AcceleratorKind string
	// CallID identifies an open call of a caller at this node.
	CallID uint64
)

// Counters and positions.
type (
	// Epoch is incremented whenever another node takes over a draft or its pipeline changes; steps of
	// a lower epoch are superseded.
	Epoch uint64
	// Position is the index of a token of a draft, from 0. Position 0 is the step that processes the
	// prompt.
	Position int
	// Layer is the index of a model's layer, from 0.
	Layer int
	// Offset is the offset of a record in the platform's log.
	Offset int64
	// Revision is the number of accepted changes to a team's subtree of the configuration.
	Revision int64
	// Generation identifies one state of an engine; it increases whenever the engine restarts or changes its
	// layers or its role.
	Generation uint64
	// Incarnation distinguishes restarts of a node; a higher one is later.
	Incarnation uint64
	// FencingToken numbers the leases for sending orders; a higher one is later. It is the log offset at which
	// the lease was granted or, for nodes that relay requests, the generation of their group in the store after its era.
	FencingToken int64
	// Era numbers the restorations of the platform's store from a copy; it is 0 if the store does not say.
	Era int64
)

// StorePosition is a place in a topic of the platform's store. The same offset names another record in another era.
type StorePosition struct {
	Era    Era    `json:"era,omitempty"`
	Offset Offset `json:"offset"`
}

// Before reports whether p is of an earlier era than o, or of the same one and before it.
func (p StorePosition) Before(o StorePosition) bool {
	return p.Era < o.Era || (p.Era == o.Era && p.Offset < o.Offset)
}

// ConfigurationFingerprint is a hash of the parts of a configuration; 0 stands for none.
type ConfigurationFingerprint uint64

// Fingerprint is a hash of a request's route, caller and body; requests with equal fingerprints are
// treated as the same request.
type Fingerprint uint64

// PromptPart identifies a part of a prompt, which requests of different callers and with different texts may share.
type PromptPart uint64

// LayerRange is the half-open range of layers From..To-1.
type LayerRange struct {
	From Layer `json:"from"`
	To   Layer `json:"to"`
}

// Len returns the number of layers in the range.
func (r LayerRange) Len() int { return int(r.To - r.From) }

// Contains reports whether o is a subrange of r.
func (r LayerRange) Contains(o LayerRange) bool { return r.From <= o.From && o.To <= r.To }
