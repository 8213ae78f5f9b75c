// Package counter publishes the node's metrics through expvar.
package counter

import "expvar"

// Metrics of the node. The maps are keyed by class, or by class and outcome. Late counts answers that were
// delivered after the deadline, Offset is the applied offset of the log.
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
	// CallerBytes is what is held for callers and other nodes, CallersDropped the connections closed for want of memory or connections.
	CallerBytes    = expvar.NewInt("fb_caller_bytes")
	CallersDropped = expvar.NewMap("fb_callers_dropped_by_reason")
)
