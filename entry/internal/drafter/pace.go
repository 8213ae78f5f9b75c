package drafter

import (
	"time"

	"fuchsiabridge.example/common/identifier"
)

const (
	// stepGrace and freshGrace are what a step may take beyond its expected time, on a
	// kept connection and on a new one.
	stepGrace  = 150 * time.Millisecond
	freshGrace = 300 * time.Millisecond
	// stepFactor multiplies a step's expected time in its deadline.
	stepFactor = 4
	// shellGrace is how long after a deadline the shell may take to say that it passed.
	shellGrace = time.Second
	// prefillPercent is the share of a batch's time that one prompt token or replayed position adds.
	prefillPercent = 5
	// paceWeight is the weight of the newest step in a target's pace: one in so many.
	paceWeight = 8
	percent    = 100
)

// pace holds what the drafter's own steps show of each target.
type pace struct {
	// took is the average time of a step.
	took map[identifier.TargetID]time.Duration
	// open counts the steps in flight, prompt the prompt tokens and replayed positions in them.
	open   map[identifier.TargetID]int
	prompt map[identifier.TargetID]int
}

func newPace() pace {
	return pace{
		took: map[identifier.TargetID]time.Duration{},
		open: map[identifier.TargetID]int{}, prompt: map[identifier.TargetID]int{},
	}
}

func (p *pace) begin(id identifier.TargetID, prompt int) {
	p.open[id]++
	p.prompt[id] += prompt
}

func (p *pace) end(id identifier.TargetID, prompt int) {
	if p.open[id]--; p.open[id] <= 0 {
		delete(p.open, id)
	}
	if p.prompt[id] -= prompt; p.prompt[id] <= 0 {
		delete(p.prompt, id)
	}
}

func (p *pace) learn(id identifier.TargetID, took time.Duration) {
	old, ok := p.took[id]
	if !ok {
		p.took[id] = took
		return
	}
	p.took[id] = old + (took-old)/paceWeight
}

// expected returns the expected time of a step that the target runs behind its queue.
func (d *Drafter) expected(s *stage) time.Duration {
	t := d.byID[s.Target]
	layers := max(s.Layers.Len(), t.Status.Layers.Len())
	full := s.LayerTime * time.Duration(layers)
	waiting := max(t.Status.Queued, d.pace.open[s.Target]*max(1, d.cfg.Shards))
	batches := 1 + waiting/max(1, t.Status.BatchLimit)
	prompt := d.pace.prompt[s.Target] * max(1, d.cfg.Shards)
	own := full * time.Duration(batches*percent+prefillPercent*prompt) / percent
	return max(own, d.pace.took[s.Target])
}

// stepDeadline returns the instant by which a step's answer is expected; each time a live
// target lets one pass, the next wait is twice as long.
func (d *Drafter) stepDeadline(now time.Time, dr *draft, s *stage) time.Time {
	wait := d.expected(s) * stepFactor
	if dr.resends == 0 {
		return now.Add(stepGrace + wait)
	}
	return now.Add((freshGrace + wait) << (dr.resends - 1))
}

// forgetTargets drops the pace of targets that are gone.
func (p *pace) forgetTargets(known func(identifier.TargetID) bool) {
	for id := range p.took {
		if !known(id) {
			delete(p.took, id)
		}
	}
}
