package forwarder

import (
	"bytes"
	"strconv"
)

// eventSplitter splits a stream of server-sent events into complete events and records the last of them.
type eventSplitter struct {
	// lastID is the id of the last complete event, and count the number of complete events.
	lastID string
	count  int
}

// separator terminates an event.
var separator = []byte("\n\n")

// split splits the rest of the last call, followed by b, into the bytes of complete events and the new rest.
func (c *eventSplitter) split(rest, b []byte) (complete, next []byte) {
	searchFrom := max(0, len(rest)-len(separator)+1)
	rest = append(rest, b...)
	end := bytes.LastIndex(rest[searchFrom:], separator)
	if end < 0 {
		return nil, rest
	}
	end += searchFrom
	complete, next = rest[:end+len(separator)], append([]byte(nil), rest[end+len(separator):]...)
	for event := range bytes.SplitSeq(complete[:end], separator) {
		c.count++
		if id, ok := eventID(event); ok {
			c.lastID = id
		}
	}
	return complete, next
}

// firstID returns the id of the first of some complete events.
func firstID(complete []byte) (string, bool) {
	event, _, _ := bytes.Cut(complete, separator)
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

// follows reports whether an event's id is the direct successor of the last one. Ids that are not numbers
// are accepted in any order.
func follows(id, last string) bool {
	a, errA := strconv.ParseInt(id, 10, 64)
	b, errB := strconv.ParseInt(last, 10, 64)
	return errA != nil || errB != nil || a == b+1
}
