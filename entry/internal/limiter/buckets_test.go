package limiter_test

import (
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/entry/internal/limiter"
)

// ask returns a question about a target whose limit an answer has named just now.
func ask(rate describer.RequestRate) limiter.Ask {
	return limiter.Ask{Report: limiter.Report{Target: "i-1", Rate: rate}}
}

// longTenure is one that nobody disputes.
var longTenure = limiter.Tenure{Since: at(-100), Until: at(1000)}

// countGrants asks at regular intervals and returns when grants were given.
func countGrants(b *limiter.Buckets, tenure limiter.Tenure, rate describer.RequestRate, from, to, every float64) []float64 {
	var granted []float64
	for s := from; s < to; s += every {
		if b.Take(at(s), ask(rate), tenure).IsGranted {
			granted = append(granted, s)
		}
	}
	return granted
}

// TestWholeLimitIsGrantedAndNoMore guards against grants beyond a limit, and against a limit that is not used up.
func TestWholeLimitIsGrantedAndNoMore(t *testing.T) {
	for _, rate := range []describer.RequestRate{0.5, 3, 40, 400} {
		c := qt.New(t)
		granted := len(countGrants(limiter.NewBuckets(), longTenure, rate, 0, 20, 0.001))
		c.Check(float64(granted) <= 20*float64(rate)+1, qt.IsTrue, qt.Commentf("%d grants at %g a second", granted, rate))
		c.Check(float64(granted) >= 19.9*float64(rate)-1, qt.IsTrue, qt.Commentf("%d grants at %g a second", granted, rate))
	}
}

// TestFewGrantsAreSavedUp guards against a burst beyond the limit after a time without requests.
func TestFewGrantsAreSavedUp(t *testing.T) {
	for _, rate := range []describer.RequestRate{0, 0.5, 3, 100} {
		c := qt.New(t)
		b := limiter.NewBuckets()
		b.Take(at(0), ask(rate), longTenure)
		granted := len(countGrants(b, longTenure, rate, 60, 64, 0.001))
		c.Check(float64(granted) <= 4*float64(rate)+5, qt.IsTrue, qt.Commentf("%d grants in 4 s at %g a second", granted, rate))
	}
}

// TestTargetWithTinyLimitIsStillTried guards against a limit whose end is never noticed because nothing is sent.
func TestTargetWithTinyLimitIsStillTried(t *testing.T) {
	c := qt.New(t)
	c.Assert(countGrants(limiter.NewBuckets(), longTenure, 0, 0, 10, 0.1), qt.HasLen, 3)
}

// TestNewHolderGrantsLittleAtFirst guards against two nodes that both grant a whole limit, because the one that was
// replaced does not know it yet, or because the new one grants again what that one had saved up.
func TestNewHolderGrantsLittleAtFirst(t *testing.T) {
	c := qt.New(t)
	b := limiter.NewBuckets()
	b.Take(at(0), ask(10), longTenure)
	c.Assert(b.Take(at(5), ask(10), longTenure).IsGranted, qt.IsTrue)
	tenure := limiter.Tenure{Since: at(20), Until: at(1000)}
	c.Assert(b.Take(at(20), ask(10), tenure).IsGranted, qt.IsFalse)
	c.Assert(len(countGrants(b, tenure, 10, 20, 22.5, 0.01)) <= 9, qt.IsTrue)
	c.Assert(len(countGrants(b, tenure, 10, 22.5, 24.5, 0.01)) >= 19, qt.IsTrue)
}

// TestHolderWithoutLeaseGrantsLittle guards against a limit that is granted by two nodes while one of them cannot renew
// its lease, and against targets that get nothing while the store is away.
func TestHolderWithoutLeaseGrantsLittle(t *testing.T) {
	c := qt.New(t)
	tenure := limiter.Tenure{Since: at(-100), Until: at(0)}
	b := limiter.NewBuckets()
	c.Assert(b.Take(at(1), ask(10), tenure).IsExpired, qt.IsTrue)
	granted := len(countGrants(b, tenure, 10, 1, 11, 0.01))
	c.Assert(granted >= 30 && granted <= 36, qt.IsTrue, qt.Commentf("%d grants", granted))
}

// TestNewestKnowledgeDecides guards against a limit that an older observation of another node changes or revives.
func TestNewestKnowledgeDecides(t *testing.T) {
	c := qt.New(t)
	b := limiter.NewBuckets()
	b.Learn(at(10), limiter.Report{Target: "i-1", Rate: 5})
	g := b.Take(at(11), limiter.Ask{Report: limiter.Report{Target: "i-1", Rate: 50, AgeMS: 2000}}, longTenure)
	c.Assert(g.Known.Rate, qt.Equals, describer.RequestRate(5))
	c.Assert(b.Take(at(12), limiter.Ask{IsReport: true, Report: limiter.Report{Target: "i-1", IsEnded: true}}, longTenure).IsGranted, qt.IsFalse)
	for range 100 {
		g = b.Take(at(13), limiter.Ask{Report: limiter.Report{Target: "i-1", Rate: 5, AgeMS: 2000}}, longTenure)
		c.Assert(g.IsGranted && g.Known.IsEnded, qt.IsTrue)
	}
}

// TestManyAskersAreSlowedDown guards against nodes that ask far more often than there are grants.
func TestManyAskersAreSlowedDown(t *testing.T) {
	c := qt.New(t)
	const nodes, seconds = 470, 10
	b := limiter.NewBuckets()
	asks, granted := 0, 0
	next := make([]float64, nodes)
	for s := 0.0; s < seconds; s += 0.001 {
		for n := range next {
			if s < next[n] {
				continue
			}
			asks++
			g := b.Take(at(s), ask(5), longTenure)
			if g.IsGranted {
				granted++
			}
			next[n] = s + 0.001 + float64(g.WaitMS)/1000
		}
	}
	c.Check(asks <= 500*seconds, qt.IsTrue, qt.Commentf("%d asks", asks))
	c.Check(granted >= 45 && granted <= 55, qt.IsTrue, qt.Commentf("%d grants", granted))
}

// TestGrantsStayWithinBoundAsHoldersChange guards against a sum of grants beyond the users' bound, 1.5 times the limit in
// 4 s and 5, however the partition moves between nodes that learn of it only later.
func TestGrantsStayWithinBoundAsHoldersChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := describer.RequestRate(rapid.Float64Range(0, 60).Draw(t, "rate"))
		step := 0.02
		holders := []*limiter.Buckets{limiter.NewBuckets(), limiter.NewBuckets()}
		tenures := []limiter.Tenure{{Since: at(-100), Until: at(0)}, {}}
		var granted []float64
		holder, movedAt := 0, 0.0
		for s := 0.0; s < 30; s += step {
			if s > movedAt+3 && rapid.IntRange(0, 100).Draw(t, "moves") == 0 {
				holder, movedAt = 1-holder, s
				tenures[holder] = limiter.Tenure{Since: at(s), Until: at(s + 2.1)}
			}
			// The former holder renews no more; what it believes lasts for its term.
			if rapid.IntRange(0, 30).Draw(t, "renews") > 0 {
				tenures[holder].Until = at(s + 2.1)
			}
			for i, b := range holders {
				isHeld := i == holder || s < movedAt+2.5
				if isHeld && !tenures[i].Since.IsZero() && b.Take(at(s), ask(rate), tenures[i]).IsGranted {
					granted = append(granted, s)
				}
			}
		}
		if n, allowed := maxIn4s(granted), 1.5*4*float64(rate)+5; float64(n) > allowed {
			t.Fatalf("%d grants in 4 s, allowed %.1f", n, allowed)
		}
	})
}

// maxIn4s returns the highest number of grants in any 4 s.
func maxIn4s(granted []float64) int {
	highest := 0
	for i, from := range granted {
		n, _ := slices.BinarySearch(granted[i:], from+4)
		highest = max(highest, n)
	}
	return highest
}

// TestLearnedLimitIsKept guards against a node that learns of a limit from a peer and does not keep it, or forgets it
// for an older one.
func TestLearnedLimitIsKept(t *testing.T) {
	c := qt.New(t)
	tracker := limiter.NewTracker()
	c.Assert(tracker.Learn(at(10), "i-1", limiter.Knowledge{Rate: 5, At: at(9)}), qt.Equals, limiter.Named)
	c.Assert(tracker.IsLimited("i-1"), qt.IsTrue)
	c.Assert(tracker.Learn(at(11), "i-1", limiter.Knowledge{IsEnded: true, At: at(8)}), qt.Equals, limiter.Unchanged)
	c.Assert(tracker.Learn(at(11), "i-1", limiter.Knowledge{Rate: 4, At: at(10)}), qt.Equals, limiter.Changed)
	c.Assert(tracker.Learn(at(12), "i-1", limiter.Knowledge{IsEnded: true, At: at(11)}), qt.Equals, limiter.Ended)
	c.Assert(tracker.IsLimited("i-1"), qt.IsFalse)
	c.Assert(tracker.Learn(at(13), "i-1", limiter.Knowledge{Rate: 4, At: at(10)}), qt.Equals, limiter.Unchanged)
}
