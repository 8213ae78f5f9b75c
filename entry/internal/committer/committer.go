// Package committer decides when records are appended to the platform's log: those
// that wait while an append is in flight go together in the next one.
package committer

import (
	"time"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/common/platformcaller"
)

const (
	// batchLimit bounds the records of one append.
	batchLimit = 256
	// queueLimit bounds the records that wait.
	queueLimit = 8192
	// retryAfter is the pause after an append the platform refused for its rate.
	retryAfter = 20 * time.Millisecond
)

// Append asks for a record to be appended; Appended or Lost follows.
type Append struct {
	Record platformcaller.Record
	// Deadline is the instant after which the record must not be sent any more.
	Deadline time.Time
}

// Appended says that the record took effect at the offset.
type Appended struct {
	ID     string
	Offset identifier.Offset
}

// Lost says that the append failed; with NotSent the record did not and will not take effect.
type Lost struct {
	ID      string
	NotSent bool
}

// UnwrittenWanted asks how many records wait or are in flight; the number is replied to Call.
type UnwrittenWanted struct{ Call identifier.CallID }

// AppendLog is the effect of one append; AppendDone or AppendFailed follows.
type AppendLog struct {
	Records  []platformcaller.Record
	Deadline time.Time
}

// AppendDone says that the records took effect from First on.
type AppendDone struct {
	Records []platformcaller.Record
	First   identifier.Offset
}

// AppendFailed says that an append failed. Refused means the platform took none of it for its rate.
type AppendFailed struct {
	Records []platformcaller.Record
	NotSent bool
	Refused bool
}

// Committer is the sub-reducer of appends.
type Committer struct {
	queue    []Append
	inFlight map[string]Append
	notUntil time.Time
}

// NewCommitter returns a committer with nothing waiting.
func NewCommitter() *Committer { return &Committer{inFlight: map[string]Append{}} }

// Apply takes one event and returns what to do.
func (c *Committer) Apply(now time.Time, event messenger.Event) []messenger.Effect {
	switch ev := event.(type) {
	case Append:
		return c.add(now, ev)
	case AppendDone:
		return c.done(now, ev)
	case AppendFailed:
		return c.failed(now, ev)
	case UnwrittenWanted:
		return []messenger.Effect{messenger.Reply{Call: ev.Call, Answer: len(c.queue) + len(c.inFlight)}}
	case messenger.Tick:
		return c.next(now)
	}
	return nil
}

func (c *Committer) add(now time.Time, ev Append) []messenger.Effect {
	if len(c.queue) >= queueLimit {
		return []messenger.Effect{messenger.Raise{Event: Lost{ID: ev.Record.ID, NotSent: true}}}
	}
	c.queue = append(c.queue, ev)
	return c.next(now)
}

func (c *Committer) done(now time.Time, ev AppendDone) []messenger.Effect {
	clear(c.inFlight)
	var effects []messenger.Effect
	for i, r := range ev.Records {
		effects = append(effects, messenger.Raise{Event: Appended{ID: r.ID, Offset: ev.First + identifier.Offset(i)}})
	}
	return append(effects, c.next(now)...)
}

func (c *Committer) failed(now time.Time, ev AppendFailed) []messenger.Effect {
	var effects []messenger.Effect
	var again []Append
	for _, r := range ev.Records {
		if ev.Refused {
			again = append(again, c.inFlight[r.ID])
			continue
		}
		effects = append(effects, messenger.Raise{Event: Lost{ID: r.ID, NotSent: ev.NotSent}})
	}
	clear(c.inFlight)
	c.queue = append(again, c.queue...)
	c.notUntil = now.Add(retryAfter)
	return append(effects, c.next(now)...)
}

// next sends what waits, unless an append is in flight or the platform asked for a pause.
func (c *Committer) next(now time.Time) []messenger.Effect {
	effects := c.expire(now)
	if len(c.inFlight) > 0 || len(c.queue) == 0 || now.Before(c.notUntil) {
		return effects
	}
	n := min(len(c.queue), batchLimit)
	batch := AppendLog{Deadline: c.queue[0].Deadline}
	for _, a := range c.queue[:n] {
		batch.Records = append(batch.Records, a.Record)
		batch.Deadline = maxTime(batch.Deadline, a.Deadline)
		c.inFlight[a.Record.ID] = a
	}
	c.queue = append([]Append(nil), c.queue[n:]...)
	return append(effects, batch)
}

// expire drops what waited beyond its deadline; it was never sent.
func (c *Committer) expire(now time.Time) []messenger.Effect {
	var effects []messenger.Effect
	kept := c.queue[:0]
	for _, a := range c.queue {
		if a.Deadline.After(now) {
			kept = append(kept, a)
			continue
		}
		effects = append(effects, messenger.Raise{Event: Lost{ID: a.Record.ID, NotSent: true}})
	}
	c.queue = kept
	return effects
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
