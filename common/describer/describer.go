// Package describer declares the data model of a relaying node, independent of the platform's wire
// format: routes, services, client accounts, limits and targets.
package describer

import (
	"time"

	"fuchsiabridge.example/common/identifier"
)

const bytesPerMegabyte = 1e6

// Kind says whether requests of a route may run more than once, and whether their response is a stream.
type Kind int

// Kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Streaming requests are answered by a stream of events. They may run again only if the route is
	// resumable.
	Streaming
)

// String returns the kind's name as used in metrics.
func (k Kind) String() string { return [...]string{"idempotent", "non_idempotent", "streaming"}[k] }

// Configuration is one complete version of the configuration that operators published.
type Configuration struct {
	Version  int64
	Routes   []Route
	Services map[identifier.ServiceID]Service
	Accounts []Account
	// IsOpen says that requests need no bearer key, because the configuration has no list of client accounts. An empty list, or
	// one of accounts without keys, lets in nobody but the callers of public routes.
	IsOpen bool
	Limits Limits
	// Parts are the text that the configuration was decoded from; nodes forward them to peers.
	Parts []ConfigurationPart
}

// ConfigurationPart is an entry of a configuration, such as a route, in the format of the operators. Versions that differ little have most
// parts in common.
type ConfigurationPart string

// Route maps requests for one host and path prefix to services.
type Route struct {
	ID     identifier.RouteID
	Host   string
	Prefix string
	Kind   Kind
	// IsResumable says that an interrupted stream may continue at another target after the last
	// complete event.
	IsResumable bool
	// IsPublic says that requests need no bearer key.
	IsPublic bool
	// Timeout is the maximum time that a caller waits for its answer.
	Timeout time.Duration
	// LatencyObjective is the maximum time to the answer, or to a stream's first event, that counts as on
	// time.
	LatencyObjective time.Duration
	// GapObjective is the maximum gap between two events of a stream that counts as on time.
	GapObjective time.Duration
	// Priority ranks the route; 0 is the highest.
	Priority int
	Services []ServiceShare
	// MaxAttempts is the maximum number of targets that may run one request.
	MaxAttempts int
}

// MayRetry reports whether a request of the route may be retried after it may have run.
func (r Route) MayRetry() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.IsResumable)
}

// ServiceShare is a service and its weight in the traffic split of a route.
type ServiceShare struct {
	Service identifier.ServiceID
	Weight  float64
}

// Service is a group of interchangeable targets, or of targets that together run one model.
type Service struct {
	ID identifier.ServiceID
	// Engine describes the model that the targets run. It is nil for a plain service, which has no
	// model layers.
	Engine *Engine
}

// Engine describes a model whose layers are distributed over targets.
type Engine struct {
	Model  identifier.ModelID
	Layers identifier.Layer
	// LayerMegabytes is the size of one layer's weights.
	LayerMegabytes float64
	// TokenBytes is the size of one token's KV cache over all layers.
	TokenBytes float64
	// StepTime is the duration of one token step through all layers on an accelerator whose
	// StepFactor is 1.
	StepTime time.Duration
	// SequenceTime is added to a step for each request that writes, ContextTime for each 1,000 tokens of its context, on an
	// accelerator whose StepFactor is 1.
	SequenceTime time.Duration
	ContextTime  time.Duration
	// ReadRate is the number of prompt tokens that are read in a second, on an accelerator whose ReadFactor is 1, and ChunkTokens
	// the largest number that is read in one step.
	ReadRate    float64
	ChunkTokens int
	// Stride is the number of steps in one pass, which yields one event of a stream.
	Stride int
	// GapObjective is the shortest gap objective of the routes to the service, 0 if they have none.
	GapObjective time.Duration
	// ReportLag is how old the values in a target's report are when it is given.
	ReportLag time.Duration
	// TypicalTokens is the mean number of tokens of a request, prompt and answer together; TypicalAnswer that of the answer.
	TypicalTokens float64
	TypicalAnswer float64
	// Slots is the number of requests that a first target runs at a time, 0 if it is not said.
	Slots int
	// Delays are the delays between data centres that are known.
	Delays map[Link]time.Duration
	Kinds  map[identifier.AcceleratorKind]Accelerator
}

// Link is the network from one data centre to another one.
type Link struct{ From, To identifier.DataCentre }

// Delay returns the delay between two data centres, in the direction that is known, and false if neither is.
func (e *Engine) Delay(from, to identifier.DataCentre) (time.Duration, bool) {
	if from == to {
		return 0, true
	}
	d, ok := e.Delays[Link{From: from, To: to}]
	if !ok {
		d, ok = e.Delays[Link{From: to, To: from}]
	}
	return d, ok
}

// Includes reports whether the model has all layers of a range. A target that names others is none of the model's.
func (e *Engine) Includes(r identifier.LayerRange) bool { return r.From >= 0 && r.To <= e.Layers }

// RequestMegabytes returns the size of a typical request's KV cache over all layers, in megabytes.
func (e *Engine) RequestMegabytes() float64 { return e.TypicalTokens * e.TokenBytes / bytesPerMegabyte }

// Accelerator describes one kind of accelerator. Megabytes is its memory.
type Accelerator struct {
	Megabytes float64
	// StepFactor scales the duration of a decode step, ReadFactor that of reading a prompt (prefill).
	StepFactor float64
	ReadFactor float64
}

// Account is a client account with its bearer keys.
type Account struct {
	ID   identifier.AccountID
	Keys []string
	// Priority ranks the account; 0 is the highest. It takes precedence over the route's priority.
	Priority int
}

// Limits bounds the size of requests and the time that callers may take to send them.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Target is the state that one target has reported about itself.
type Target struct {
	ID         identifier.TargetID   `json:"id"`
	Service    identifier.ServiceID  `json:"service"`
	Address    string                `json:"address"`
	DataCentre identifier.DataCentre `json:"data_centre"`
	IsLeaving  bool                  `json:"is_leaving,omitempty"`
	// Incarnation distinguishes restarts of the target; a higher one is later.
	Incarnation int64 `json:"born"`
	// Slots is the number of requests that the target can run at a time.
	Slots int                        `json:"slots"`
	Kind  identifier.AcceleratorKind `json:"kind,omitempty"`
	// Layers is the layer range that the target serves. It is empty for a plain target and for an
	// engine that has no layers loaded.
	Layers identifier.LayerRange `json:"layers"`
}

// TargetChange is an update about one target: its newest reported state, or its removal.
type TargetChange struct {
	ID identifier.TargetID `json:"id"`
	// Target is nil if the target was removed.
	Target *Target `json:"target,omitempty"`
}

// Report is a target's load report.
type Report struct {
	Kind identifier.AcceleratorKind `json:"kind"`
	// Incarnation is the one of the target's entry, 0 if the report does not say.
	Incarnation int64 `json:"incarnation"`
	// Orders counts the load and unload orders that the target has begun since it started.
	Orders int64 `json:"orders"`
	// IsBusy says that the target is executing an order.
	IsBusy bool                  `json:"is_busy"`
	Layers identifier.LayerRange `json:"layers"`
	// Waiting and Running count the requests of which the target is the first one of the chain: those that it has not begun, and
	// those that it has.
	Waiting int `json:"waiting"`
	Running int `json:"running"`
	// MemoryUsed is the memory that requests hold and MemoryTotal that for requests, in tokens times layers.
	MemoryUsed  int64 `json:"memory_used"`
	MemoryTotal int64 `json:"memory_total"`
	// Pace is over 1 while the target is slow, 0 if it does not say.
	Pace float64 `json:"pace"`
	// Stalled maps each request that makes no progress to the address of the target that it waits for.
	Stalled map[identifier.RequestID]string `json:"stalled,omitempty"`
	// Said is what the answer says about the target itself, to the node that has read it.
	Said Announcement `json:"-"`
}

// Stage is one stage of a chain: a target and the layers that it runs of a request.
type Stage struct {
	Target  identifier.TargetID
	Address string
	Layers  identifier.LayerRange
}
