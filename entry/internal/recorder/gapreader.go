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

// gapReader reads the records that the tailer skipped, because the log had dropped some of them or
// because the tailer got its state from a snapshot or a peer. Newer records are stored in buffered
// until the gap is closed.
type gapReader struct {
	// The records from next to to-1 are still to be read.
	next, to identifier.Offset
	buffered []platformcaller.Record
	retryAt  time.Time
}

func (r *Recorder) gapFound(ev tailer.GapFound) []messenger.Effect {
	if r.gap == nil {
		r.gap = &gapReader{next: ev.From}
	}
	r.gap.to = ev.To
	return []messenger.Effect{ReadRecords{From: r.gap.next}}
}

// recordsRead applies one page of the gap. If the log has dropped records of the gap, the node's
// keys are incomplete and resetState drops them.
func (r *Recorder) recordsRead(now time.Time, ev RecordsRead) []messenger.Effect {
	gap := r.gap
	if gap == nil {
		return nil
	}
	if ev.Failed {
		gap.retryAt = now.Add(gapReadBackoff)
		return nil
	}
	if ev.Page.First > gap.next {
		r.resetState(ev.Page.First)
		gap.next = ev.Page.First
	}
	var effects []messenger.Effect
	for _, record := range ev.Page.Records {
		if record.Offset >= gap.next && record.Offset < gap.to {
			effects = append(effects, r.apply(now, record)...)
		}
	}
	gap.next = max(gap.next, ev.Page.Next)
	if gap.next < gap.to {
		return append(effects, ReadRecords{From: gap.next})
	}
	r.gap = nil
	for _, record := range gap.buffered {
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
