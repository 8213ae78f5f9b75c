package weigher

import (
	"time"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/workestimator"
)

// objectiveFraction is the fraction of the latency objective in which a chain must be able to read what this node has sent it: a short
// prompt that comes next then meets its objective.
const objectiveFraction = 0.125

// Prompt is the prompt of a request, and the latency objective of its route; without one its chain is not bounded.
type Prompt struct {
	Tokens    workestimator.Tokens
	Objective time.Duration
}

// MayRead reports whether the i-th chain of a plan may get a prompt of this node: it reads no other one, or all of them within a fraction of
// the objective.
func (w *Weigher) MayRead(now time.Time, p *Plan, i int, prompt Prompt) bool {
	until := w.readUntil[p.chains[i].Stages[0].Target]
	if prompt.Objective <= 0 || !until.After(now) {
		return true
	}
	bound := now.Add(time.Duration(objectiveFraction * float64(prompt.Objective)))
	return !until.Add(p.readTime(i, prompt.Tokens)).After(bound)
}

// Read notes that a prompt is sent along the i-th chain of a plan. It is read after those that this node has sent before, and after the
// requests that wait there.
func (w *Weigher) Read(now time.Time, p *Plan, i int, prompt Prompt) {
	took := p.readTime(i, prompt.Tokens)
	if prompt.Objective <= 0 || took <= 0 {
		return
	}
	first := p.chains[i].Stages[0].Target
	begin := now.Add(w.wait(now, p, i))
	if w.readUntil[first].After(begin) {
		begin = w.readUntil[first]
	}
	w.readUntil[first] = begin.Add(took)
}

// Unread returns how long the chain that begins at a target still reads prompts of this node.
func (w *Weigher) Unread(now time.Time, first identifier.TargetID) time.Duration {
	return max(0, w.readUntil[first].Sub(now))
}

// wait returns how long a request waits at the first target of the i-th chain until it begins.
func (w *Weigher) wait(now time.Time, p *Plan, i int) time.Duration {
	c := p.chains[i]
	l, ok := w.loads.Load(now, c.Stages[0].Target)
	if !ok {
		return 0
	}
	return l.ExpectedWait(fromMilliseconds(predictedStep(p.engine, c, l, true) * p.engine.TypicalAnswer))
}

// readTime returns the time in which the i-th chain reads a prompt. Reading is slower than on the fastest accelerator by about as much
// as steps are.
func (p *Plan) readTime(i int, prompt workestimator.Tokens) time.Duration {
	step := milliseconds(p.engine.StepTime)
	if p.engine.ReadRate <= 0 || step <= 0 {
		return 0
	}
	return fromMilliseconds(float64(prompt) / p.engine.ReadRate * 1000 * p.chains[i].StepCost / step)
}

func fromMilliseconds(ms float64) time.Duration {
	return time.Duration(min(ms, float64(time.Hour/time.Millisecond)) * float64(time.Millisecond))
}
