package drafter

import "time"

const (
	// stepGrace and freshGrace are what a step may take beyond its expected time, on a
	// kept connection and on a new one.
	stepGrace  = 150 * time.Millisecond
	freshGrace = 300 * time.Millisecond
	// stepFactor multiplies a step's expected time in its deadline.
	stepFactor = 4
	// shellGrace is how long after a deadline the shell may take to say that it passed.
	shellGrace = time.Second
)

// stepDeadline returns the instant by which a step's answer is expected; each time a live
// target lets one pass, the next wait is twice as long.
func (d *Drafter) stepDeadline(now time.Time, dr *draft, s *stage) time.Time {
	wait := d.pace.Expected(s.Target, d.byID[s.Target], s.Layers.Len(), s.LayerTime) * stepFactor
	if dr.resends == 0 {
		return now.Add(stepGrace + wait)
	}
	return now.Add((freshGrace + wait) << (dr.resends - 1))
}
