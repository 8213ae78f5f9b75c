package forwarder

import (
	"bytes"
	"strconv"
)

// eventCutter cuts a stream of server-sent events into whole events.
type eventCutter struct {
	pending []byte
	// last is the id of the last whole event, and count the number of whole events.
	last  string
	count int
}

// separator ends an event.
var separator = []byte("\n\n")

// take adds bytes and returns those that make up whole events; they are valid until the next call.
func (c *eventCutter) take(b []byte) []byte {
	c.pending = append(c.pending, b...)
	end := bytes.LastIndex(c.pending, separator)
	if end < 0 {
		return nil
	}
	end += len(separator)
	whole := append([]byte(nil), c.pending[:end]...)
	c.pending = append(c.pending[:0], c.pending[end:]...)
	for event := range bytes.SplitSeq(whole[:len(whole)-len(separator)], separator) {
		c.count++
		if id, ok := eventID(event); ok {
			c.last = id
		}
	}
	return whole
}

// firstID returns the id of the first event of whole events.
func firstID(whole []byte) (string, bool) {
	event, _, _ := bytes.Cut(whole, separator)
	return eventID(event)
}

func eventID(event []byte) (string, bool) {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(id)), true
		}
	}
	return "", false
}

// follows reports whether an event's id comes right after another's; ids that are no
// numbers are taken as they come.
func follows(id, last string) bool {
	a, errA := strconv.ParseInt(id, 10, 64)
	b, errB := strconv.ParseInt(last, 10, 64)
	return errA != nil || errB != nil || a == b+1
}
