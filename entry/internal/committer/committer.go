// Package committer batches appends to the platform's log: records that arrive while the maximum
// number of appends is in flight are sent together in a later append.
package committer

import (
	"time"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/common/platformcaller"
)

const (
	// maxQueued bounds the queued records.
	maxQueued = 8192
	// maxInFlight bounds the appends in flight. More than one is allowed, so that an append on a dead
	// connection does not delay the others.
	maxInFlight = 3
	// appendTimeout bounds one append.
	appendTimeout = 2 * time.Second
	// minBackoff and maxBackoff bound the delay after an append that failed or that the platform
	// refused because of its rate limit. The delay doubles with every such append in a row.
	minBackoff = 20 * time.Millisecond
	maxBackoff = 160 * time.Millisecond
)

// Append requests that a record be appended. Appended or Lost follows.
type Append struct {
	Record platformcaller.Record
	// Deadline is the time after which the record must not be sent any more.
	Deadline time.Time
}

// Appended reports that the record is in the log at the offset.
type Appended struct {
	ID     string
	Offset identifier.Offset
}

// Lost reports that the append failed. If NotSent is set, the record is not in the log and never
// will be. Otherwise it may be.
type Lost struct {
	ID      string
	NotSent bool
}

// UnwrittenRequested requests the number of records that are queued or in flight, which is replied to Call.
type UnwrittenRequested struct{ Call identifier.CallID }

// AppendLog is the effect of one append. AppendDone or AppendFailed follows.
type AppendLog struct {
	Records  []platformcaller.Record
	Deadline time.Time
	// NewConn makes the append use a new connection.
	NewConn bool
}

// AppendDone reports that the records are in the log, at consecutive offsets from First on.
type AppendDone struct {
	Records []platformcaller.Record
	First   identifier.Offset
}

// AppendFailed reports that an append failed. If Refused is set, the platform rejected all of its
// records because of the rate limit.
type AppendFailed struct {
	Records []platformcaller.Record
	NotSent bool
	Refused bool
}

// Config holds the settings of a Committer.
type Config struct {
	// BatchLimit is the maximum number of records in one append.
	BatchLimit int
}

// Committer is the reducer for appends. Records may reach the log in another order than they were
// requested in.
type Committer struct {
	cfg         Config
	queue       []Append
	inFlight    map[string]Append
	openAppends int
	backoff     time.Duration
	retryAt     time.Time
	// newConn makes the next append use a new connection. It is set by a failed append and cleared by
	// a successful one; a refusal by the rate limit does not change it.
	newConn bool
}

// NewCommitter returns a committer with an empty queue.
func NewCommitter(cfg Config) *Committer {
	return &Committer{cfg: cfg, inFlight: map[string]Append{}}
}

// Apply applies one event and returns the resulting effects.
func (c *Committer) Apply(now time.Time, event messenger.Event) []messenger.Effect {
	switch ev := event.(type) {
	case Append:
		return c.enqueue(now, ev)
	case AppendDone:
		return c.onDone(now, ev)
	case AppendFailed:
		return c.onFailed(now, ev)
	case UnwrittenRequested:
		return []messenger.Effect{messenger.Reply{Call: ev.Call, Answer: len(c.queue) + len(c.inFlight)}}
	case messenger.Tick:
		return c.sendNext(now)
	}
	return nil
}

func (c *Committer) enqueue(now time.Time, ev Append) []messenger.Effect {
	if len(c.queue) >= maxQueued {
		return []messenger.Effect{messenger.Raise{Event: Lost{ID: ev.Record.ID, NotSent: true}}}
	}
	c.queue = append(c.queue, ev)
	return c.sendNext(now)
}

func (c *Committer) onDone(now time.Time, ev AppendDone) []messenger.Effect {
	c.removeInFlight(ev.Records)
	c.backoff, c.newConn = 0, false
	var effects []messenger.Effect
	for i, r := range ev.Records {
		effects = append(effects, messenger.Raise{Event: Appended{ID: r.ID, Offset: ev.First + identifier.Offset(i)}})
	}
	return append(effects, c.sendNext(now)...)
}

func (c *Committer) onFailed(now time.Time, ev AppendFailed) []messenger.Effect {
	removed := c.removeInFlight(ev.Records)
	c.backoff = min(max(2*c.backoff, minBackoff), maxBackoff)
	c.retryAt = now.Add(c.backoff)
	if ev.Refused {
		c.queue = append(removed, c.queue...)
		return c.sendNext(now)
	}
	c.newConn = true
	var effects []messenger.Effect
	for _, r := range ev.Records {
		effects = append(effects, messenger.Raise{Event: Lost{ID: r.ID, NotSent: ev.NotSent}})
	}
	return append(effects, c.sendNext(now)...)
}

// removeInFlight ends an append and returns its entries.
func (c *Committer) removeInFlight(records []platformcaller.Record) []Append {
	removed := make([]Append, 0, len(records))
	for _, r := range records {
		removed = append(removed, c.inFlight[r.ID])
		delete(c.inFlight, r.ID)
	}
	c.openAppends--
	return removed
}

// sendNext sends the next batch unless too many appends are in flight or a backoff is running.
func (c *Committer) sendNext(now time.Time) []messenger.Effect {
	effects := c.expire(now)
	if c.openAppends >= maxInFlight || len(c.queue) == 0 || now.Before(c.retryAt) {
		return effects
	}
	n := min(len(c.queue), c.cfg.BatchLimit)
	batch := AppendLog{Deadline: now, NewConn: c.newConn}
	for _, a := range c.queue[:n] {
		batch.Records = append(batch.Records, a.Record)
		batch.Deadline = messenger.Later(batch.Deadline, a.Deadline)
		c.inFlight[a.Record.ID] = a
	}
	if limit := now.Add(appendTimeout); batch.Deadline.After(limit) {
		batch.Deadline = limit
	}
	c.queue = append([]Append(nil), c.queue[n:]...)
	c.openAppends++
	return append(effects, batch)
}

// expire drops the queued records whose deadline has passed. They were never sent.
func (c *Committer) expire(now time.Time) []messenger.Effect {
	var effects []messenger.Effect
	remaining := c.queue[:0]
	for _, a := range c.queue {
		if a.Deadline.After(now) {
			remaining = append(remaining, a)
			continue
		}
		effects = append(effects, messenger.Raise{Event: Lost{ID: a.Record.ID, NotSent: true}})
	}
	c.queue = remaining
	return effects
}
