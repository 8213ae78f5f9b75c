package recorder

import (
	"time"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/common/platformcaller"
	"fuchsiabridge.example/entry/internal/tailer"
)

// gapReadBackoff is the delay after a failed read of the gap.
const gapReadBackoff = 250 * time.Millisecond

// ReadRecords is the effect of reading records that the tailer skipped. RecordsRead follows.
type ReadRecords struct{ From identifier.Offset }

// RecordsRead brings one page of the log, or reports that it could not be read.
type RecordsRead struct {
	Page   platformcaller.Page
	Failed bool
}

// gapReader reads the records that the tailer skipped because it got the configuration from a
// snapshot or a peer. Newer records are buffered in held until the gap is closed.
type gapReader struct {
	next, to identifier.Offset
	held     []platformcaller.Record
	retryAt  time.Time
}

func (r *Recorder) gapFound(ev tailer.GapFound) []messenger.Effect {
	if r.gap == nil {
		r.gap = &gapReader{next: ev.From}
	}
	r.gap.to = ev.To
	return []messenger.Effect{ReadRecords{From: r.gap.next}}
}

// recordsRead applies one page of the gap. Records that the log no longer keeps count as missed.
func (r *Recorder) recordsRead(now time.Time, ev RecordsRead) []messenger.Effect {
	f := r.gap
	if f == nil {
		return nil
	}
	if ev.Failed {
		f.retryAt = now.Add(gapReadBackoff)
		return nil
	}
	if ev.Page.First > f.next {
		r.resetState(ev.Page.First)
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
	r.gap = nil
	for _, record := range f.held {
		effects = append(effects, r.apply(now, record)...)
	}
	return effects
}

func (r *Recorder) retryGapRead(now time.Time) []messenger.Effect {
	if r.gap == nil || r.gap.retryAt.IsZero() || r.gap.retryAt.After(now) {
		return nil
	}
	r.gap.retryAt = time.Time{}
	return []messenger.Effect{ReadRecords{From: r.gap.next}}
}
