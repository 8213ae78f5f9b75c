package continuer

import (
	"time"

	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/chainer"
	"fuchsiabridge.example/entry/internal/meter"
)

// refusalTime is for how long targets are avoided that have refused a reroute.
const refusalTime = 250 * time.Millisecond

// Ways in which a stream is continued, in the metrics.
const (
	Rerouted     = "rerouted"
	SentAgain    = "sent_again"
	NotContinued = "not_continued"
)

// Chains knows the state of targets, and plans chains.
type Chains interface {
	HasFailed(chain []describer.Stage) bool
	ContinueFrom(now time.Time, id identifier.ServiceID, chain []describer.Stage, seed uint64) (chainer.Chain, bool)
	ContinueElsewhere(now time.Time, id identifier.ServiceID, chain []describer.Stage, seed uint64) (chainer.Chain, bool)
	Avoid(address string, until time.Time)
	AvoidGroup(refused, former []describer.Stage, until time.Time)
}

// Stream is a stream in progress.
type Stream struct {
	Service identifier.ServiceID
	// Chain is the one that the stream uses, Progress what was tried to continue it along another one.
	Chain    []describer.Stage
	Progress *Progress
}

// Result is the answer of a first target that was asked to continue a stream along a chain, with what it says if it refuses.
type Result struct {
	Chain  []describer.Stage
	Reason string
	// FaultAddress is the address of the target that the answer names as its cause, empty if it names none.
	FaultAddress string
	// IsUnanswered says that there was no answer.
	IsUnanswered bool
}

// Continuer finds the chains along which streams are continued.
type Continuer struct {
	chains Chains
	// Moves limits how many streams leave silent chains.
	Moves *MoveLimiter
}

// NewContinuer returns a continuer that uses the given chains.
func NewContinuer(chains Chains) *Continuer {
	return &Continuer{chains: chains, Moves: NewMoveLimiter()}
}

// Loss returns which part of a chain has failed.
func (c *Continuer) Loss(chain []describer.Stage) Loss {
	switch {
	case len(chain) == 0:
		return NoLoss
	case c.chains.HasFailed(chain[:1]):
		return FirstTarget
	case c.chains.HasFailed(chain):
		return LaterStage
	}
	return NoLoss
}

// Find returns a chain along which the first target of a stream's chain can continue it. One that leaves a silent chain needs other
// stages than the present ones, as any of these may be at fault.
func (c *Continuer) Find(now time.Time, s Stream, seed uint64) ([]describer.Stage, bool) {
	find := c.chains.ContinueFrom
	if s.Progress.LeavesSilent() && c.Loss(s.Chain) == NoLoss {
		find = c.chains.ContinueElsewhere
	}
	chain, ok := find(now, s.Service, s.Chain, seed)
	return chain.Stages, ok
}

// Refuse avoids the targets that have refused to continue a stream. If none is named, any of the new ones may be without room.
func (c *Continuer) Refuse(now time.Time, s Stream, r Result) {
	switch {
	case r.IsUnanswered:
		s.Progress.Exhausted()
		return
	case r.FaultAddress != "":
		c.chains.Avoid(r.FaultAddress, now.Add(refusalTime))
	default:
		c.chains.AvoidGroup(r.Chain, s.Chain, now.Add(refusalTime))
	}
	s.Progress.Refused()
}

// Move returns how a stream with a prompt of the given number of tokens was continued, for the metrics. The given stages read the prompt again.
func (c *Continuer) Move(s Stream, how string, stages []describer.Stage, prompt int) meter.Move {
	tokens := prompt * countLayers(stages) / max(1, countLayers(s.Chain))
	return meter.Move{Cause: c.cause(s) + "/" + how, Tokens: tokens}
}

// cause returns why a stream leaves its chain, for the metrics.
func (c *Continuer) cause(s Stream) string {
	switch loss := c.Loss(s.Chain); {
	case loss == FirstTarget:
		return "lost_first"
	case loss == LaterStage:
		return "lost_stage"
	case s.Progress.LeavesSilent():
		return "silent"
	}
	return "stalled"
}

func countLayers(chain []describer.Stage) int {
	n := 0
	for _, stage := range chain {
		n += stage.Layers.Len()
	}
	return n
}
