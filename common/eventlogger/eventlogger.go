// Package eventlogger writes structured log events, each with a number and a fixed message. All
// events are listed in docs/EVENTS.md.
package eventlogger

import (
	"fmt"

	"k8s.io/klog/v2"
)

// Event is one kind of log event.
type Event struct {
	Number  int
	Message string
}

// Info logs the event with the given keys and values.
func Info(e Event, keysAndValues ...any) {
	klog.InfoSDepth(1, e.Message, append([]any{"event", e.Number}, keysAndValues...)...)
}

// Printer adapts an event to the Printf-style logger interface of third-party libraries.
type Printer struct{ Event Event }

// Printf logs the event with the library's message as its cause.
func (p Printer) Printf(format string, args ...any) {
	Info(p.Event, "cause", fmt.Sprintf(format, args...))
}

// Error logs the event with the error that caused it.
func Error(err error, e Event, keysAndValues ...any) {
	klog.ErrorSDepth(1, err, e.Message, append([]any{"event", e.Number}, keysAndValues...)...)
}
