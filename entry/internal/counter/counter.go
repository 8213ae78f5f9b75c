// Package counter publishes the node's measures by expvar.
package counter

import "expvar"

// Measures of the node, by outcome and class where they are maps.
var (
	Requests  = expvar.NewMap("fb_requests_by_class_and_outcome")
	Late      = expvar.NewMap("fb_late_by_class")
	Tokens    = expvar.NewInt("fb_tokens")
	Steps     = expvar.NewInt("fb_steps")
	StepsLost = expvar.NewInt("fb_steps_lost")
	Appends   = expvar.NewInt("fb_log_appends")
	Offset    = expvar.NewInt("fb_log_offset")
	Events    = expvar.NewInt("fb_events")
	Shed      = expvar.NewInt("fb_effects_shed")
)
