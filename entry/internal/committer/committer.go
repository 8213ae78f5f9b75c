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
	// queueLimit bounds the records that wait.
	queueLimit = 8192
	// inFlightLimit bounds the appends in flight, so that one on a silent connection doesn't hold up the rest.
	inFlightLimit = 3
	// appendTimeout bounds one append.
	appendTimeout = 2 * time.Second
	// shortestPause and longestPause bound the pause after an append that the platform
	// refused for its rate or that failed; it doubles while they go on.
	shortestPause = 20 * time.Millisecond
	longestPause  = 160 * time.Millisecond
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
	// Fresh asks for a new connection.
	Fresh bool
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

// Config says how records are grouped.
type Config struct {
	// BatchLimit bounds the records of one append.
	BatchLimit int
}

// Committer is the sub-reducer of appends. Their order in the log is not the order
// in which they were asked for.
type Committer struct {
	cfg      Config
	queue    []Append
	inFlight map[string]Append
	open     int
	pause    time.Duration
	notUntil time.Time
	// fresh says that the last append failed, so that the next goes on a new connection.
	fresh bool
}

// NewCommitter returns a committer with nothing waiting.
func NewCommitter(cfg Config) *Committer {
	return &Committer{cfg: cfg, inFlight: map[string]Append{}}
}

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
	c.land(ev.Records)
	c.pause, c.fresh = 0, false
	var effects []messenger.Effect
	for i, r := range ev.Records {
		effects = append(effects, messenger.Raise{Event: Appended{ID: r.ID, Offset: ev.First + identifier.Offset(i)}})
	}
	return append(effects, c.next(now)...)
}

func (c *Committer) failed(now time.Time, ev AppendFailed) []messenger.Effect {
	landed := c.land(ev.Records)
	c.pause = min(max(2*c.pause, shortestPause), longestPause)
	c.notUntil = now.Add(c.pause)
	if ev.Refused {
		c.queue = append(landed, c.queue...)
		return c.next(now)
	}
	c.fresh = true
	var effects []messenger.Effect
	for _, r := range ev.Records {
		effects = append(effects, messenger.Raise{Event: Lost{ID: r.ID, NotSent: ev.NotSent}})
	}
	return append(effects, c.next(now)...)
}

// land ends an append and returns what it held.
func (c *Committer) land(records []platformcaller.Record) []Append {
	landed := make([]Append, 0, len(records))
	for _, r := range records {
		landed = append(landed, c.inFlight[r.ID])
		delete(c.inFlight, r.ID)
	}
	c.open--
	return landed
}

// next sends what waits, unless enough appends are in flight or the platform asked for a pause.
func (c *Committer) next(now time.Time) []messenger.Effect {
	effects := c.expire(now)
	if c.open >= inFlightLimit || len(c.queue) == 0 || now.Before(c.notUntil) {
		return effects
	}
	n := min(len(c.queue), c.cfg.BatchLimit)
	batch := AppendLog{Deadline: now, Fresh: c.fresh}
	for _, a := range c.queue[:n] {
		batch.Records = append(batch.Records, a.Record)
		batch.Deadline = messenger.Later(batch.Deadline, a.Deadline)
		c.inFlight[a.Record.ID] = a
	}
	if limit := now.Add(appendTimeout); batch.Deadline.After(limit) {
		batch.Deadline = limit
	}
	c.queue = append([]Append(nil), c.queue[n:]...)
	c.open++
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
