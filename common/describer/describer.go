// Package describer declares what a relaying node is told: routes, services, client
// accounts and targets, in the project's own words.
package describer

import (
	"time"

	"fuchsiabridge.example/common/identifier"
)

const bytesPerMegabyte = 1e6

// Kind tells how often a request of a route may run.
type Kind int

// Kinds of requests.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Streaming requests are answered event by event; they are idempotent only where resumable.
	Streaming
)

// String returns the kind's name in metrics.
func (k Kind) String() string { return [...]string{"idempotent", "non_idempotent", "streaming"}[k] }

// Configuration is one version of what operators published, whole.
type Configuration struct {
	Version  int64
	Routes   []Route
	Services map[identifier.ServiceID]Service
	Accounts []Account
	Limits   Limits
	// Source is the text that it was decoded from, which nodes hand on to peers.
	Source []byte
}

// Route leads requests of one host and path prefix to services.
type Route struct {
	ID     identifier.RouteID
	Host   string
	Prefix string
	Kind   Kind
	// IsResumable says that a stream may go on at another target after its last whole event.
	IsResumable bool
	// IsPublic says that requests carry no key.
	IsPublic bool
	// Timeout is how long a caller may be kept waiting.
	Timeout time.Duration
	// Aim is the time to the answer, or to a stream's first event, that is still on time.
	Aim time.Duration
	// GapAim is the longest pause between two events that is still on time.
	GapAim time.Duration
	// Priority ranks the route, 0 first.
	Priority int
	Services []ServiceShare
	// MaxAttempts is how many targets may run one request.
	MaxAttempts int
}

// MayRepeat reports whether a request of the route may run again.
func (r Route) MayRepeat() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.IsResumable)
}

// ServiceShare is a service with its weight among a route's services.
type ServiceShare struct {
	Service identifier.ServiceID
	Weight  float64
}

// Service is a group of targets that do the same work.
type Service struct {
	ID identifier.ServiceID
	// Engine describes the model that the targets run; nil for a plain service.
	Engine *Engine
}

// Engine describes a model whose layers are spread over targets.
type Engine struct {
	Model  identifier.ModelID
	Layers identifier.Layer
	// LayerMegabytes is the memory of one layer's weights.
	LayerMegabytes float64
	// TokenBytes is the KV cache of one token through all layers.
	TokenBytes float64
	// StepTime is one token step through all layers at factor 1.
	StepTime time.Duration
	// UsualTokens is the mean of prompt and answer of a request.
	UsualTokens float64
	Kinds       map[identifier.AcceleratorKind]Accelerator
}

// RequestMegabytes returns the KV cache of a usual request through all layers, in megabytes.
func (e *Engine) RequestMegabytes() float64 { return e.UsualTokens * e.TokenBytes / bytesPerMegabyte }

// Accelerator describes one kind of accelerator.
type Accelerator struct {
	Megabytes float64
	// StepFactor multiplies the time of a step, ReadFactor that of reading a prompt.
	StepFactor float64
	ReadFactor float64
}

// Account is a client account with its keys.
type Account struct {
	ID   identifier.AccountID
	Keys []string
	// Priority ranks the account, 0 first; it goes before the route's.
	Priority int
}

// Limits bound what callers send and how long they may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Target is what is known of one target's own word.
type Target struct {
	ID         identifier.TargetID   `json:"id"`
	Service    identifier.ServiceID  `json:"service"`
	Address    string                `json:"address"`
	DataCentre identifier.DataCentre `json:"data_centre"`
	IsLeaving  bool                  `json:"is_leaving,omitempty"`
	// Born tells the starts of a target apart; a higher one is later.
	Born  int64                      `json:"born"`
	Slots int                        `json:"slots"`
	Kind  identifier.AcceleratorKind `json:"kind,omitempty"`
	// Layers holds the layers that the target serves; empty for a plain or an empty one.
	Layers identifier.LayerRange `json:"layers"`
}

// TargetChange is a target's newest word, or that it is gone.
type TargetChange struct {
	ID identifier.TargetID `json:"id"`
	// Target is nil when the target is gone.
	Target *Target `json:"target,omitempty"`
}

// Report is a target's answer about its load.
type Report struct {
	Kind identifier.AcceleratorKind
	// Orders counts the orders that the target has begun since its start.
	Orders int64
	// IsBusy says that an order is being carried out.
	IsBusy bool
	Layers identifier.LayerRange
	// Stalled maps a request that makes no progress to the address of the target it waits for.
	Stalled map[identifier.RequestID]string
}

// Part is the share of a request's layers that one target runs.
type Part struct {
	Target  identifier.TargetID
	Address string
	Layers  identifier.LayerRange
}
