package shedder

import (
	"slices"
	"time"
)

const (
	// A window covers the last buckets times bucketTime.
	buckets    = 8
	bucketTime = 500 * time.Millisecond
	// maxRanks limits the ranks that are counted apart. Less urgent ones count as the last.
	maxRanks = 10
)

// counts are those of the requests of one rank.
type counts struct{ arrived, admitted int }

// window counts the requests of the last seconds by rank.
type window struct {
	slots  [buckets][maxRanks]counts
	newest int64
}

// advance clears the buckets that are over and returns the current one.
func (w *window) advance(now time.Time) *[maxRanks]counts {
	current := now.UnixNano() / int64(bucketTime)
	for i := max(w.newest+1, current-buckets+1); i <= current; i++ {
		w.slots[i%buckets] = [maxRanks]counts{}
	}
	w.newest = max(w.newest, current)
	return &w.slots[w.newest%buckets]
}

func (w *window) add(now time.Time, r Rank, arrived, admitted int) {
	c := &w.advance(now)[min(r, maxRanks-1)]
	c.arrived += arrived
	c.admitted += admitted
}

// isStarved reports whether a rank, or a less urgent one, was admitted much less often than all requests: what is done for a rank must not
// put it before more urgent ones.
func (w *window) isStarved(now time.Time, r Rank) bool {
	w.advance(now)
	var all counts
	var byRank [maxRanks]counts
	for _, slot := range w.slots {
		for rank, c := range slot {
			all.arrived, all.admitted = all.arrived+c.arrived, all.admitted+c.admitted
			byRank[rank].arrived, byRank[rank].admitted = byRank[rank].arrived+c.arrived, byRank[rank].admitted+c.admitted
		}
	}
	return slices.ContainsFunc(byRank[min(r, maxRanks-1):], func(own counts) bool {
		return own.arrived >= minArrivals && float64(own.admitted)*float64(all.arrived) < starvedFraction*float64(all.admitted)*float64(own.arrived)
	})
}
