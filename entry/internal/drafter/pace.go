package drafter

import "time"

const (
	// stepGrace and newConnGrace are added to a step's expected time, on a reused and on a new
	// connection. newConnGrace alone limits a fetch of tokens that an engine kept.
	stepGrace    = 150 * time.Millisecond
	newConnGrace = 300 * time.Millisecond
	// stepFactor multiplies a step's expected time in its deadline.
	stepFactor = 4
	// executorGrace is how long after a deadline the executor may take to report that it passed.
	executorGrace = time.Second
)

// stepDeadline returns when the result of a step is expected at the latest. Each time a live target
// misses the deadline on a new connection, the next wait doubles.
func (d *Drafter) stepDeadline(now time.Time, dr *draft, s *stage) time.Time {
	wait := d.estimator.Expected(s.Target, d.targetsByID[s.Target], s.Layers.Len(), s.LayerTime) * stepFactor
	if dr.stepRetries == 0 {
		return now.Add(stepGrace + wait)
	}
	return now.Add((newConnGrace + wait) << (dr.stepRetries - 1))
}
