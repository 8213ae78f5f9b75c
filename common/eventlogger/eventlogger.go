// Package eventlogger writes numbered, structured log events; docs/EVENTS.md is their catalogue.
package eventlogger

import (
	"fmt"

	"k8s.io/klog/v2"
)

// Event is one row of the catalogue.
type Event struct {
	Number  int
	Message string
}

// Info writes the event with its keys and values.
func Info(e Event, keysAndValues ...any) {
	klog.InfoSDepth(1, e.Message, append([]any{"event", e.Number}, keysAndValues...)...)
}

// Printer makes of an event what libraries want for their own messages.
type Printer struct{ Event Event }

// Printf writes the library's message as the event's cause.
func (p Printer) Printf(format string, args ...any) {
	Info(p.Event, "cause", fmt.Sprintf(format, args...))
}

// Error writes the event as an error with its cause.
func Error(err error, e Event, keysAndValues ...any) {
	klog.ErrorSDepth(1, err, e.Message, append([]any{"event", e.Number}, keysAndValues...)...)
}
