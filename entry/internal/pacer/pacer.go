// Package pacer tells how long a step at a target should take, from what the target
// reports and what the node's own steps show.
package pacer

import (
	"time"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/watcher"
)

const (
	// prefillPercent is the share of a batch's time that one prompt token or replayed position adds.
	prefillPercent = 5
	// newestShare is the share of the newest step in a target's average: one in so many.
	newestShare = 8
	percent     = 100
)

// Pacer holds what one drafter's steps show of each target.
type Pacer struct {
	// shards is the number of drafters of the node, which load targets alike.
	shards int
	// took is the average time of a step.
	took map[identifier.TargetID]time.Duration
	// open counts the steps in flight, prompt the prompt tokens and replayed positions in them.
	open   map[identifier.TargetID]int
	prompt map[identifier.TargetID]int
}

// NewPacer returns a pacer that has seen no step, for one of the node's shards.
func NewPacer(shards int) *Pacer {
	return &Pacer{
		shards: max(1, shards), took: map[identifier.TargetID]time.Duration{},
		open: map[identifier.TargetID]int{}, prompt: map[identifier.TargetID]int{},
	}
}

// Begin notes that a step with so many prompt tokens and replayed positions was sent.
func (p *Pacer) Begin(id identifier.TargetID, prompt int) {
	p.open[id]++
	p.prompt[id] += prompt
}

// End notes that such a step is no longer waited for.
func (p *Pacer) End(id identifier.TargetID, prompt int) {
	if p.open[id]--; p.open[id] <= 0 {
		delete(p.open, id)
	}
	if p.prompt[id] -= prompt; p.prompt[id] <= 0 {
		delete(p.prompt, id)
	}
}

// Learn takes in how long a step of one position took.
func (p *Pacer) Learn(id identifier.TargetID, took time.Duration) {
	old, ok := p.took[id]
	if !ok {
		p.took[id] = took
		return
	}
	p.took[id] = old + (took-old)/newestShare
}

// Expected returns the expected time of a step at the target, behind its queue; layers and
// layerTime are the step's, and count for a target that has reported nothing.
func (p *Pacer) Expected(id identifier.TargetID, t watcher.Target, layers int, layerTime time.Duration) time.Duration {
	full := layerTime * time.Duration(max(layers, t.Status.Layers.Len()))
	waiting := max(t.Status.Queued, p.open[id]*p.shards)
	batches := 1 + waiting/max(1, t.Status.BatchLimit)
	own := full * time.Duration(batches*percent+prefillPercent*p.prompt[id]*p.shards) / percent
	return max(own, p.took[id])
}

// Forget drops what is known of targets that are not among the known ones.
func (p *Pacer) Forget(known map[identifier.TargetID]watcher.Target) {
	for id := range p.took {
		if _, ok := known[id]; !ok {
			delete(p.took, id)
		}
	}
}
