package weigher

import (
	"maps"
	"math"
	"time"

	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/loadtracker"
)

const (
	// minFreeShare is the share of a first target's slots that counts as free at least, divided by its waiting requests: reports
	// lag, and a target that seems full gets a few requests.
	minFreeShare = 0.03
	// unreportedShare is the share of a first target's slots that counts as free if it has not reported lately, as the first one of a
	// chain that has just been planned, while others have.
	unreportedShare = 0.25
	// minReportedShare is the share of the chains whose first targets must have reported lately.
	minReportedShare = 0.5
	// contextTokens is the number of tokens to which an engine's context time applies.
	contextTokens = 1000.0
	// freeGapShare is the share of the gap objective that the time between two events may take without a loss of weight, and lateShare is what
	// is left of the weight of a chain where it takes all.
	freeGapShare = 0.5
	lateShare    = 0.1
	// gapWeight is the weight of the newest excess of the gaps at a chain in its average. The excess halves in gapHalfLife, and is
	// taken to be maxGapExcess at most.
	gapWeight    = 0.5
	gapHalfLife  = 2 * time.Second
	maxGapExcess = 4.0
)

// Loads predicts the load of first targets, from what they have reported.
type Loads interface {
	// Load returns false if there is no recent report of the target.
	Load(now time.Time, id identifier.TargetID) (loadtracker.Load, bool)
}

// excess is the factor by which gaps between events at a chain exceed the predicted ones, less 1, as of a time.
type excess struct {
	value float64
	at    time.Time
}

// Weigher weighs chains.
type Weigher struct {
	loads Loads
	// gaps holds, by first target, by how much gaps exceed the predicted ones.
	gaps map[identifier.TargetID]excess
	// readUntil holds, by first target, until when the chain reads the prompts that this node has sent.
	readUntil map[identifier.TargetID]time.Time
}

// NewWeigher returns a weigher of chains by the given loads.
func NewWeigher(loads Loads) *Weigher {
	return &Weigher{loads: loads, gaps: map[identifier.TargetID]excess{}, readUntil: map[identifier.TargetID]time.Time{}}
}

// Keep forgets the targets that are not kept.
func (w *Weigher) Keep(isKept func(identifier.TargetID) bool) {
	maps.DeleteFunc(w.gaps, func(id identifier.TargetID, _ excess) bool { return !isKept(id) })
	maps.DeleteFunc(w.readUntil, func(id identifier.TargetID, _ time.Time) bool { return !isKept(id) })
}

// Weights returns the weight of each chain of a plan: the requests that end at its first target, and with a gain the slots that are free
// there, divided by the time of a step. A request that goes to a chain with a probability in proportion to its weight shares what is
// free, and what becomes free, with those of all other nodes. It returns nil if less than minReportedShare of the first targets have
// reported lately.
func (w *Weigher) Weights(now time.Time, p *Plan) []float64 {
	loads := make([]loadtracker.Load, len(p.chains))
	isReported := make([]bool, len(p.chains))
	running := map[identifier.TargetID]float64{}
	reported := 0
	for i, c := range p.chains {
		first := c.Stages[0].Target
		loads[i], isReported[i] = w.loads.Load(now, first)
		if isReported[i] {
			// Chains that pass through each other's first targets each count the requests of the others too.
			running[first] = loads[i].Running / float64(1+len(c.passing))
			reported++
		}
	}
	if reported == 0 || float64(reported) < minReportedShare*float64(len(p.chains)) {
		return nil
	}
	weights := make([]float64, len(p.chains))
	for i, c := range p.chains {
		room := unreportedShare * c.slots
		if isReported[i] {
			room = c.room(loads[i], running, p.gain)
		}
		step := w.stepTime(now, p.engine, c, loads[i], isReported[i])
		weights[i] = room * gapShare(p.engine, step) / max(step, math.SmallestNonzeroFloat64)
	}
	return weights
}

// room returns the slots that are free for a chain, multiplied by the gain, and those that are taken, which become free, given the
// requests that begin at each first target. Waiting requests are to take slots that become free.
func (c *planned) room(l loadtracker.Load, running map[identifier.TargetID]float64, gain float64) float64 {
	passing := 0.0
	for _, first := range c.passing {
		passing += running[first]
	}
	own := min(c.slots, max(0, l.Running-passing)/c.starts)
	free := c.slots - own - l.Waiting/c.starts
	return max(minFreeShare*c.slots/(1+l.Waiting), own+gain*free)
}

// gapShare returns the share of its weight that a chain keeps if its steps take the given time, in milliseconds. It falls from 1 to
// lateShare while the time between two events grows from half of the gap objective to the whole: the longest gap of a stream is about twice
// the typical one.
func gapShare(e *describer.Engine, step float64) float64 {
	limit := milliseconds(e.GapObjective)
	if limit <= 0 {
		return 1
	}
	excess := step*float64(max(1, e.Stride))/limit - freeGapShare
	return min(1, max(lateShare, 1-(1-lateShare)*excess/(1-freeGapShare)))
}

// stepTime returns what a step costs along a chain, in milliseconds, with the requests that run there. The delay of a first target in another
// data centre is part of the first pass of Stride steps.
func (w *Weigher) stepTime(now time.Time, e *describer.Engine, c planned, l loadtracker.Load, isReported bool) float64 {
	step := w.gapFactor(now, c.Stages[0].Target) * predictedStep(e, c, l, isReported)
	return step + 2*milliseconds(c.link)/float64(max(1, e.Stride))
}

// predictedStep returns the time of a step by what the first target has reported, in milliseconds.
func predictedStep(e *describer.Engine, c planned, l loadtracker.Load, isReported bool) float64 {
	step := c.StepCost
	if isReported {
		// The paces of all stages are part of the step cost already.
		step *= slowdown(e, l.Running)
	}
	return step + milliseconds(c.hops)
}

// slowdown returns the factor by which the requests that run at a chain lengthen its steps.
func slowdown(e *describer.Engine, running float64) float64 {
	step := milliseconds(e.StepTime)
	if step <= 0 {
		return 1
	}
	perRequest := milliseconds(e.SequenceTime) + milliseconds(e.ContextTime)*e.TypicalTokens/contextTokens
	return 1 + running*perRequest/step
}

// RecordGap records the typical gap between two events of a stream at the chain of a plan that begins at a target.
func (w *Weigher) RecordGap(now time.Time, p *Plan, first identifier.TargetID, gap time.Duration) {
	for _, c := range p.chains {
		if c.Stages[0].Target != first {
			continue
		}
		l, isReported := w.loads.Load(now, first)
		predicted := predictedStep(p.engine, c, l, isReported) * float64(max(1, p.engine.Stride))
		if predicted <= 0 {
			return
		}
		newest := min(maxGapExcess, max(0, milliseconds(gap)/predicted-1))
		value := w.gapFactor(now, first) - 1
		w.gaps[first] = excess{value: value + gapWeight*(newest-value), at: now}
		return
	}
}

// gapFactor returns the factor by which gaps at a chain exceed the predicted ones. It goes back to 1 while nothing is seen of the chain.
func (w *Weigher) gapFactor(now time.Time, first identifier.TargetID) float64 {
	g := w.gaps[first]
	if g.value == 0 {
		return 1
	}
	return 1 + g.value*math.Exp2(-float64(now.Sub(g.at))/float64(gapHalfLife))
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
