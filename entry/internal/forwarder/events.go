package forwarder

import (
	"bytes"
	"strconv"
)

// eventCutter cuts a stream of server-sent events into whole events, and knows the last of them.
type eventCutter struct {
	// last is the id of the last whole event, and count the number of whole events.
	last  string
	count int
}

// separator ends an event.
var separator = []byte("\n\n")

// take cuts bytes into those that make up whole events, and the rest.
func (c *eventCutter) take(b []byte) (whole, rest []byte) {
	end := bytes.LastIndex(b, separator)
	if end < 0 {
		return nil, b
	}
	whole, rest = b[:end+len(separator)], append([]byte(nil), b[end+len(separator):]...)
	for event := range bytes.SplitSeq(whole[:end], separator) {
		c.count++
		if id, ok := eventID(event); ok {
			c.last = id
		}
	}
	return whole, rest
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
