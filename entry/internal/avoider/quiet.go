package avoider

import (
	"time"

	"fuchsiabridge.example/common/identifier"
)

// Quiet makes a target get no requests until the given time, whatever its request limit allows.
func (a *Avoider) Quiet(id identifier.TargetID, until time.Time) { a.quiet[id] = until }

// IsQuiet reports whether a target wants no requests now.
func (a *Avoider) IsQuiet(now time.Time, id identifier.TargetID) bool { return now.Before(a.quiet[id]) }

// QuietUntil returns until when a target wants no requests.
func (a *Avoider) QuietUntil(id identifier.TargetID) time.Time { return a.quiet[id] }
