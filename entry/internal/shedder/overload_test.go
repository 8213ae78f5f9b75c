package shedder_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/shedder"
)

// burst returns a load of 0.7 of the capacity, and of the given factor from second 5 to 14 and from 20 to 23.
func burst(factor float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if (at >= 5*time.Second && at < 14*time.Second) || (at >= 20*time.Second && at < 23*time.Second) {
			return factor
		}
		return 0.7
	}
}

// sum adds the results of the seconds from first until before last.
func (f *fleet) sum(first, last int) (r result, started int) {
	for s := first; s < last; s++ {
		r.arrived, r.admitted, r.inTime = r.arrived+f.seconds[s].arrived, r.admitted+f.seconds[s].admitted, r.inTime+f.seconds[s].inTime
		r.shed += f.seconds[s].shed
		started += f.started[s]
	}
	return r, started
}

func (r result) served() float64 { return float64(r.inTime) / float64(max(1, r.arrived)) }

// TestBurstsKeepGoodput guards against queues at the targets that make nearly all requests late during an overload and for seconds after
// it. Load: 1.5 to 2.5 times the capacity for 9 s and again for 3 s, 40 nodes, 800 slots.
func TestBurstsKeepGoodput(t *testing.T) {
	for _, factor := range []float64{1.5, 1.9, 2.5} {
		c := qt.New(t)
		f := newFleet(demand{load: burst(factor)}).run(30 * time.Second)
		for _, span := range [][2]int{{5, 14}, {20, 23}} {
			during, started := f.sum(span[0], span[1])
			c.Check(float64(started) >= 0.9*capacityRate*float64(span[1]-span[0]), qt.IsTrue, qt.Commentf("x%v: %d in time from %d to %d", factor, started, span[0], span[1]))
			c.Check(float64(during.inTime) >= 0.88*float64(during.admitted), qt.IsTrue, qt.Commentf("x%v: %+v", factor, during))
			after, _ := f.sum(span[1]+2, span[1]+5)
			c.Check(after.served() >= 0.97, qt.IsTrue, qt.Commentf("x%v: %+v", factor, after))
		}
		for second := 7; second < 12; second++ {
			now, next := f.seconds[second], f.seconds[second+1]
			ratio := float64(next.admitted) / float64(now.admitted)
			c.Check(ratio > 0.66 && ratio < 1.5, qt.IsTrue, qt.Commentf("x%v: second %d", factor, second))
		}
		c.Check(f.longest <= objective/8+step, qt.IsTrue, qt.Commentf("a shed request has waited %v", f.longest))
	}
}

// TestRanksAreServedInOrder guards against more urgent requests that are served less often, and against ranks that get nothing while
// the most urgent requests alone exceed the capacity. Load: 2.5 times, three fifths of it of the most urgent of three ranks.
func TestRanksAreServedInOrder(t *testing.T) {
	c := qt.New(t)
	f := newFleet(demand{
		load: func(time.Duration) float64 { return 2.5 },
		vary: func(r *rand.Rand, c *caller) { c.Rank = shedder.Rank(max(0, r.IntN(5)-2)) },
	}).run(15 * time.Second)
	all, _ := f.sum(0, 15)
	for rank := range ranks {
		c.Check(f.byRank[rank].served() >= all.served()/4, qt.IsTrue, qt.Commentf("rank %d: %+v of %+v", rank, f.byRank[rank], all))
		if rank > 0 {
			c.Check(f.byRank[rank-1].served() >= f.byRank[rank].served()-0.03, qt.IsTrue, qt.Commentf("%+v, %+v", f.byRank[rank-1], f.byRank[rank]))
		}
	}
}

// TestGreedyAccountDoesNotDisplaceOthers guards against one account that takes the places of all. Load: 1.2 times, a sixth of it from one
// account, the rest from 100 others, which get as much without it.
func TestGreedyAccountDoesNotDisplaceOthers(t *testing.T) {
	c := qt.New(t)
	served := func(load float64, greedyParts int) (others, greedy float64) {
		f := newFleet(demand{
			load: func(time.Duration) float64 { return load },
			vary: func(r *rand.Rand, c *caller) {
				c.Account = identifier.AccountID(rune('a' + max(0, r.IntN(100+greedyParts)-greedyParts+1)))
			},
		}).run(15 * time.Second)
		all, _ := f.sum(0, 15)
		a := *f.accounts["a"]
		return result{arrived: all.arrived - a.arrived, inTime: all.inTime - a.inTime}.served(), a.served()
	}
	alone, _ := served(1, 1)
	others, greedy := served(1.2, 20)
	c.Check(others >= 0.9*alone, qt.IsTrue, qt.Commentf("%v, %v alone, greedy %v", others, alone, greedy))
	c.Check(greedy < others-0.1, qt.IsTrue, qt.Commentf("%v, greedy %v", others, greedy))
}

// TestBusyDataCentreUsesAllCapacity guards against slots that stay empty while the nodes of one data centre shed requests, and against
// other nodes whose few requests are displaced. Load: 1.9 times, nine tenths of it at a quarter of the nodes.
func TestBusyDataCentreUsesAllCapacity(t *testing.T) {
	c := qt.New(t)
	f := newFleet(demand{load: burst(1.9), vary: func(r *rand.Rand, c *caller) {
		if c.node >= nodeCount/4 && r.IntN(15) > 1 {
			c.node = r.IntN(nodeCount / 4)
		}
	}}).run(18 * time.Second)
	_, started := f.sum(7, 14)
	c.Check(float64(started) >= 0.9*capacityRate*7, qt.IsTrue, qt.Commentf("%d in time", started))
	var others result
	for _, r := range f.byNode[nodeCount/4:] {
		others.arrived, others.inTime = others.arrived+r.arrived, others.inTime+r.inTime
	}
	c.Check(others.served() >= 0.85, qt.IsTrue, qt.Commentf("%+v", others))
}

// TestDeadReaderLiftsLimitOnlyForItsNodes guards against nodes that shed by an old share, or keep none, after their reader was replaced.
// Load: 1.5 times; a quarter of the nodes gets no share from second 6 to 10.
func TestDeadReaderLiftsLimitOnlyForItsNodes(t *testing.T) {
	c := qt.New(t)
	f := newFleet(demand{load: burst(1.5), isSilent: func(node int, at time.Duration) bool {
		return node%groups == 0 && at >= 6*time.Second && at < 10*time.Second
	}}).run(18 * time.Second)
	c.Check(f.maxOpen > capacity/nodeCount*3/2, qt.IsTrue, qt.Commentf("nodes without a share admit all, up to %d", f.maxOpen))
	recovered, started := f.sum(12, 14)
	c.Check(float64(started) >= 0.8*capacityRate*2, qt.IsTrue, qt.Commentf("%d in time, %+v", started, recovered))
	after, _ := f.sum(16, 18)
	c.Check(after.served() >= 0.97, qt.IsTrue, qt.Commentf("%+v", after))
}

// TestShortMemoryLowersLimit guards against nodes that go on sending what targets reject for want of memory. Load: 1.9 times, targets
// take three fifths of what they have slots for.
func TestShortMemoryLowersLimit(t *testing.T) {
	c := qt.New(t)
	f := newFleet(demand{load: func(time.Duration) float64 { return 1.9 }, memory: slots * 3 / 5}).run(30 * time.Second)
	early, _ := f.sum(1, 3)
	late, _ := f.sum(27, 30)
	rejected := func(r result) float64 { return 1 - float64(r.inTime)/float64(r.admitted) }
	c.Check(rejected(late) < 0.5*rejected(early), qt.IsTrue, qt.Commentf("%+v, then %+v", early, late))
	c.Check(float64(late.inTime) >= 0.8*capacityRate*3*3/5, qt.IsTrue, qt.Commentf("%+v", late))
}
