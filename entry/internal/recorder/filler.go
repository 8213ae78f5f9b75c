package recorder

import (
	"time"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/common/platformcaller"
	"fuchsiabridge.example/entry/internal/tailer"
)

// fillPause is the pause after a read of the log that failed.
const fillPause = 250 * time.Millisecond

// ReadRecords is the effect of reading records that the tailer skipped; RecordsRead follows.
type ReadRecords struct{ From identifier.Offset }

// RecordsRead brings a page of the log, or says that it could not be read.
type RecordsRead struct {
	Page   platformcaller.Page
	Failed bool
}

// filler reads the part of the log that the tailer skipped, as it has the configuration
// from elsewhere. What comes after that part is held back until it is filled.
type filler struct {
	next, to identifier.Offset
	held     []platformcaller.Record
	retryAt  time.Time
}

func (r *Recorder) gapFound(ev tailer.GapFound) []messenger.Effect {
	if r.fill == nil {
		r.fill = &filler{next: ev.From}
	}
	r.fill.to = ev.To
	return []messenger.Effect{ReadRecords{From: r.fill.next}}
}

// recordsRead applies a page of the skipped part; what the log no longer holds is missing.
func (r *Recorder) recordsRead(now time.Time, ev RecordsRead) []messenger.Effect {
	f := r.fill
	if f == nil {
		return nil
	}
	if ev.Failed {
		f.retryAt = now.Add(fillPause)
		return nil
	}
	if ev.Page.First > f.next {
		r.forgetAll(ev.Page.First)
		f.next = ev.Page.First
	}
	var effects []messenger.Effect
	for _, record := range ev.Page.Records {
		if record.Offset >= f.next && record.Offset < f.to {
			effects = append(effects, r.apply(now, record)...)
		}
	}
	f.next = max(f.next, ev.Page.Next)
	if f.next < f.to {
		return append(effects, ReadRecords{From: f.next})
	}
	r.fill = nil
	for _, record := range f.held {
		effects = append(effects, r.apply(now, record)...)
	}
	return effects
}

func (r *Recorder) fillTick(now time.Time) []messenger.Effect {
	if r.fill == nil || r.fill.retryAt.IsZero() || r.fill.retryAt.After(now) {
		return nil
	}
	r.fill.retryAt = time.Time{}
	return []messenger.Effect{ReadRecords{From: r.fill.next}}
}
