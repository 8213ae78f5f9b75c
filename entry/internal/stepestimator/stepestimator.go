// Package stepestimator estimates how long a step (one stage of a draft's pipeline, for one position)
// should take at a target, from the target's reports and the measured times of this node's own steps.
package stepestimator

import (
	"time"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/watcher"
)

const (
	// prefillPercent is how much one prompt token or replayed position adds to the time of a step,
	// in percent of the time of one batch.
	prefillPercent = 5
	// averageDivisor is the inverse of the weight that the newest step has in a target's moving
	// average.
	averageDivisor = 8
	percent        = 100
)

// Estimator holds one drafter's measurements of each target.
type Estimator struct {
	// shards is the number of drafters on the node. Each is assumed to load the targets equally.
	shards int
	// averageTime is the moving average of the time of a step.
	averageTime map[identifier.TargetID]time.Duration
	// inFlight counts the steps in flight; inFlightPrompt counts the prompt tokens and replayed
	// positions in them.
	inFlight       map[identifier.TargetID]int
	inFlightPrompt map[identifier.TargetID]int
}

// NewEstimator returns an Estimator without measurements for one of the node's shards.
func NewEstimator(shards int) *Estimator {
	return &Estimator{
		shards: max(1, shards), averageTime: map[identifier.TargetID]time.Duration{},
		inFlight: map[identifier.TargetID]int{}, inFlightPrompt: map[identifier.TargetID]int{},
	}
}

// Start records that a step with the given number of prompt tokens and replayed positions was sent.
func (e *Estimator) Start(id identifier.TargetID, promptLoad int) {
	e.inFlight[id]++
	e.inFlightPrompt[id] += promptLoad
}

// Finish records that such a step is no longer in flight.
func (e *Estimator) Finish(id identifier.TargetID, promptLoad int) {
	if e.inFlight[id]--; e.inFlight[id] <= 0 {
		delete(e.inFlight, id)
	}
	if e.inFlightPrompt[id] -= promptLoad; e.inFlightPrompt[id] <= 0 {
		delete(e.inFlightPrompt, id)
	}
}

// Observe records how long a step of one position took.
func (e *Estimator) Observe(id identifier.TargetID, took time.Duration) {
	old, ok := e.averageTime[id]
	if !ok {
		e.averageTime[id] = took
		return
	}
	e.averageTime[id] = old + (took-old)/averageDivisor
}

// Expected returns the expected time of a step at the target, including its queue. A target that has
// not reported yet is assumed to hold only the step's own layers.
func (e *Estimator) Expected(id identifier.TargetID, t watcher.Target, layers int, layerTime time.Duration) time.Duration {
	rangeTime := layerTime * time.Duration(max(layers, t.Status.Layers.Len()))
	queued := max(t.Status.Queued, e.inFlight[id]*e.shards)
	batches := 1 + queued/max(1, t.Status.BatchLimit)
	stepTime := rangeTime * time.Duration(batches*percent+prefillPercent*e.inFlightPrompt[id]*e.shards) / percent
	return max(stepTime, e.averageTime[id])
}

// Prune drops the measurements of targets that are not in known.
func (e *Estimator) Prune(known map[identifier.TargetID]watcher.Target) {
	for id := range e.averageTime {
		if _, ok := known[id]; !ok {
			delete(e.averageTime, id)
		}
	}
}
