package forwarder

import (
	"bytes"
	"strconv"

	"github.com/cockroachdb/errors"
)

// eventSplitter splits a stream of server-sent events into complete events and records the last of them.
type eventSplitter struct {
	// lastID is the id of the last complete event, and count the number of complete events.
	lastID string
	count  int
}

var (
	// separator terminates an event.
	separator = []byte("\n\n")
	// idField is the name of the field with an event's id.
	idField = []byte("id:")
)

// split splits the rest of the last call, followed by b, into the bytes of complete events and the new rest. At an event that does not
// continue the stream it ends with an error, and returns those before it.
func (c *eventSplitter) split(rest, b []byte) (complete, next []byte, err error) {
	searchFrom := max(0, len(rest)-len(separator)+1)
	rest = append(rest, b...)
	end := bytes.LastIndex(rest[searchFrom:], separator)
	if end < 0 {
		return nil, rest, nil
	}
	end += searchFrom
	complete, next = rest[:end+len(separator)], append([]byte(nil), rest[end+len(separator):]...)
	accepted := 0
	for event := range bytes.SplitSeq(complete[:end], separator) {
		if err := c.accept(event); err != nil {
			return complete[:accepted], nil, err
		}
		accepted += len(event) + len(separator)
	}
	return complete, next, nil
}

// accept counts a complete event, unless it does not continue the stream: once an event had an id, all others have the next one each.
func (c *eventSplitter) accept(event []byte) error {
	id, ok := eventID(event)
	switch {
	case c.lastID == "" || (!ok && isComment(event)):
	case !ok:
		return errors.Newf("event without an id received after %s", c.lastID)
	case !follows(id, c.lastID):
		return errors.Newf("event %.20s received after %s", id, c.lastID)
	}
	c.count++
	if ok {
		c.lastID = id
	}
	return nil
}

// isComment reports whether an event has no fields, only comments, by which a target keeps a stream open.
func isComment(event []byte) bool {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}

// hasEvent reports whether bytes of a stream, with their framing, include an event with an id.
func hasEvent(b []byte) bool {
	i := bytes.Index(b, idField)
	return i >= 0 && bytes.Contains(b[i:], separator)
}

func eventID(event []byte) (string, bool) {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if id, ok := bytes.CutPrefix(line, idField); ok {
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
