package dispatcher_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/entry/internal/dispatcher"
)

const (
	// poisonGroup is the group of the poison request, and firstVariant the fingerprint of its first variant.
	poisonGroup  identifier.Fingerprint = 9
	firstVariant identifier.Fingerprint = 1_000_000
	// firstSibling is the fingerprint of the first innocent request of a group.
	firstSibling identifier.Fingerprint = 2_000_000
	// wavePeriod is the time between two comings of the poison request in the users' record.
	wavePeriod = 3600 * time.Millisecond
)

// repeatVariants lets the poison request come again and again, another variant each time, at the nodes in turn. Each
// variant comes once more at the next node, as a caller's retry.
func (x *simulation) repeatVariants() {
	for n := 0; time.Duration(n)*x.interval < x.duration; n++ {
		key := requestKey{firstVariant + identifier.Fingerprint(n), poisonGroup}
		for try := range 2 {
			x.at(time.Duration(n)*x.interval+time.Duration(try)*200*time.Millisecond, func() {
				x.arriveInGroup((n+try)%len(x.nodes), x.path, key, true, 1500*time.Millisecond)
			})
		}
	}
}

// repeatSiblings lets innocent requests of a group come, all of them different, and returns their calls when the run is over.
func (x *simulation) repeatSiblings(path string, group identifier.Fingerprint, interval time.Duration) *[]identifier.CallID {
	var calls []identifier.CallID
	for n := 0; time.Duration(n)*interval < x.duration-time.Second; n++ {
		key := requestKey{firstSibling + identifier.Fingerprint(n), group}
		x.at(time.Duration(n)*interval+hop, func() {
			calls = append(calls, x.arriveInGroup(n%len(x.nodes), path, key, false, time.Second))
		})
	}
	return &calls
}

// countAccused returns how many requests were refused because of crashes of targets.
func (x *simulation) countAccused(calls []identifier.CallID) int {
	n := 0
	for _, call := range calls {
		if strings.Contains(x.calls[call].reason, "crashed") {
			n++
		}
	}
	return n
}

// TestPoisonIsRefusedAsItDiffers guards against a poison request that goes on crashing targets because it comes with another
// query, method or host each time.
func TestPoisonIsRefusedAsItDiffers(t *testing.T) {
	for _, row := range []struct {
		mode crashMode
		path string
	}{
		{afterSecondSend, "/view/"},
		{beforeFirstByte, "/view/"},
		{beforeFirstByte, "/post/"},
		{silence, "/post/"},
		{afterFirstEvent, "/draft/"},
		{lastStageOfChain, "/once/"},
	} {
		for _, interval := range []time.Duration{700 * time.Millisecond, wavePeriod} {
			t.Run(fmt.Sprint(row.mode, " ", row.path, " ", interval), func(t *testing.T) {
				c := qt.New(t)
				s := defaults(row.mode, row.path)
				s.interval = interval
				x := newSimulation(s)
				x.repeatVariants()
				x.repeatOrdinary()
				x.run()
				c.Assert(x.lateSends() <= maxLateSends, qt.IsTrue, x.summary())
				c.Assert(len(x.crashes) >= 3, qt.IsTrue, x.summary())
				c.Assert(x.delivered > 100, qt.IsTrue)
			})
		}
	}
}

// TestPoisonAmongSiblingsIsRefused guards against a poison request that goes on crashing targets because innocent requests
// with the same path, caller and body are answered between its comings.
func TestPoisonAmongSiblingsIsRefused(t *testing.T) {
	for _, interval := range []time.Duration{time.Second, 3 * time.Second} {
		t.Run(interval.String(), func(t *testing.T) {
			c := qt.New(t)
			s := defaults(beforeFirstByte, "/view/")
			s.interval = wavePeriod
			x := newSimulation(s)
			x.repeatVariants()
			x.repeatSiblings("/view/", poisonGroup, interval)
			x.run()
			c.Assert(x.lateSends() <= maxLateSends, qt.IsTrue, x.summary())
		})
	}
}

// TestSiblingsOfPoisonAreServed guards against refusing requests that share path, caller and body with a poison request,
// which is the same each time.
func TestSiblingsOfPoisonAreServed(t *testing.T) {
	for _, interval := range []time.Duration{20 * time.Millisecond, time.Second, 3 * time.Second} {
		t.Run(interval.String(), func(t *testing.T) {
			c := qt.New(t)
			s := defaults(beforeFirstByte, "/view/")
			x := newSimulation(s)
			for n := 1; time.Duration(n)*s.interval < s.duration; n++ {
				x.at(time.Duration(n)*s.interval, func() {
					x.arriveInGroup(n%s.nodes, s.path, requestKey{poison, poisonGroup}, true, 1500*time.Millisecond)
				})
			}
			calls := x.repeatSiblings("/view/", poisonGroup, interval)
			x.run()
			c.Assert(x.lateSends() <= maxLateSends, qt.IsTrue, x.summary())
			c.Assert(x.countAccused(*calls), qt.Equals, 0, qt.Commentf("of %d innocent requests", len(*calls)))
		})
	}
}

// TestInnocentGroupIsServedBesideCrashes guards against refusing requests that differ in their query only because targets
// fail while they run them: racks at once, and one target after the other by another's poison.
func TestInnocentGroupIsServedBesideCrashes(t *testing.T) {
	for _, path := range []string{"/view/", "/draft/", "/post/"} {
		t.Run(path, func(t *testing.T) {
			c := qt.New(t)
			s := defaults(beforeFirstByte, "/post/")
			x := newSimulation(s)
			x.repeatVariants()
			calls := x.repeatSiblings(path, firstSibling, 10*time.Millisecond)
			for _, at := range []time.Duration{4 * time.Second, 9 * time.Second, 14 * time.Second} {
				x.at(at, func() { x.failRack(at == 9*time.Second) })
			}
			x.run()
			c.Assert(x.countAccused(*calls), qt.Equals, 0, qt.Commentf("of %d innocent requests", len(*calls)))
		})
	}
}

// TestPoisonThatIsRejectedOnceIsRefused guards against a poison request that goes on crashing targets because some of them
// answer it with an error before they run it.
func TestPoisonThatIsRejectedOnceIsRefused(t *testing.T) {
	for _, every := range []int{2, 3} {
		t.Run(fmt.Sprint("every ", every), func(t *testing.T) {
			c := qt.New(t)
			s := defaults(beforeFirstByte, "/post/")
			s.rejectedEvery = every
			x := newSimulation(s)
			x.repeatPoison()
			x.run()
			c.Assert(x.lateSends() <= maxLateSends, qt.IsTrue, x.summary())
		})
	}
}

// TestPoisonIsRefusedThoughCallersLeave guards against a poison request that goes on crashing targets because its callers
// leave before the target crashes, which answers others in between.
func TestPoisonIsRefusedThoughCallersLeave(t *testing.T) {
	for _, path := range []string{"/post/", "/view/"} {
		t.Run(path, func(t *testing.T) {
			c := qt.New(t)
			x := newSimulation(defaults(longAfterCallLeft, path))
			x.repeatPoison()
			for n := range 3000 {
				x.at(time.Duration(n)*10*time.Millisecond, func() {
					x.arrive(n%len(x.nodes), "/view/", identifier.Fingerprint(1000+n), time.Second)
				})
			}
			x.run()
			c.Assert(x.lateSends() <= maxLateSends, qt.IsTrue, x.summary())
		})
	}
}

// TestDifferingPoisonIsRefusedUnderRandomConditions plays a poison request that differs each time, under random ways of
// crashing, views and reports.
func TestDifferingPoisonIsRefusedUnderRandomConditions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		mode := rapid.SampledFrom([]crashMode{beforeFirstByte, afterFirstEvent, silence, afterCallerLeft, afterSecondSend, longAfterCallLeft}).Draw(t, "mode")
		paths := []string{"/draft/", "/once/"}
		if mode != afterFirstEvent {
			paths = append(paths, "/post/", "/view/")
		}
		s := defaults(mode, rapid.SampledFrom(paths).Draw(t, "path"))
		s.interval = time.Duration(rapid.IntRange(300, 5000).Draw(t, "interval")) * time.Millisecond
		s.drawConditions(t)
		x := newSimulation(s)
		x.repeatVariants()
		x.repeatOrdinary()
		x.run()
		if x.lateSends() > maxLateSends {
			t.Fatalf("%d late sends, %d sends, %d targets crashed", x.lateSends(), len(x.sends), len(x.crashes))
		}
	})
}

// TestDifferingPoisonIsRefusedAfterRepeatsOfOne guards against variants of a poison request that several nodes try at the same
// time, as the first of them alone has caused the crashes that are known; all targets are away until then.
func TestDifferingPoisonIsRefusedAfterRepeatsOfOne(t *testing.T) {
	for _, row := range []struct {
		mode                                       crashMode
		nodes                                      int
		interval, viewDelay, reportDelay, downtime time.Duration
	}{
		{silence, 5, 300 * time.Millisecond, 5 * time.Second, 10 * time.Millisecond, 1500 * time.Millisecond},
		{silence, 5, 300 * time.Millisecond, 10 * time.Millisecond, 10 * time.Millisecond, 3510 * time.Millisecond},
		{beforeFirstByte, 4, 336 * time.Millisecond, 10 * time.Millisecond, 230 * time.Millisecond, 4307 * time.Millisecond},
	} {
		t.Run(fmt.Sprint(row.mode, " ", row.downtime), func(t *testing.T) {
			s := defaults(row.mode, "/draft/")
			s.interval, s.nodes, s.viewDelay, s.reportDelay, s.downtime = row.interval, row.nodes, row.viewDelay, row.reportDelay, row.downtime
			x := newSimulation(s)
			x.repeatVariants()
			x.repeatOrdinary()
			x.run()
			qt.Assert(t, x.lateSends() <= maxLateSends, qt.IsTrue, x.summary())
		})
	}
}

// TestDifferingPoisonIsRefusedInBursts guards against a poison request that goes on crashing targets because several
// variants of it come at the same time.
func TestDifferingPoisonIsRefusedInBursts(t *testing.T) {
	for _, burst := range []int{6, 12} {
		t.Run(fmt.Sprint(burst), func(t *testing.T) {
			c := qt.New(t)
			x := newSimulation(defaults(beforeFirstByte, "/view/"))
			n := 0
			for at := time.Second; at < x.duration; at += wavePeriod {
				for i := range burst {
					key := requestKey{firstVariant + identifier.Fingerprint(n), poisonGroup}
					x.at(at+time.Duration(i)*2*hop, func() { x.arriveInGroup(i%len(x.nodes), x.path, key, true, 1500*time.Millisecond) })
					n++
				}
			}
			x.run()
			c.Assert(x.lateSends() <= maxLateSends, qt.IsTrue, x.summary())
		})
	}
}

// TestAnsweredGroupIsNotHeldBack guards against serving the innocent requests of a group one after the other because a
// target has crashed while it ran one of them.
func TestAnsweredGroupIsNotHeldBack(t *testing.T) {
	c := qt.New(t)
	d := readyHarness()
	siblings := firstSibling
	arrive := func(at time.Duration) (identifier.CallID, messenger.Effect) {
		siblings++
		return d.arrive(at, requestKey{siblings, firstSibling})
	}
	d.crashTarget(requestKey{firstSibling - 1, firstSibling})
	first, e := arrive(30 * time.Millisecond)
	_, isSent := e.(dispatcher.Send)
	c.Assert(isSent, qt.IsTrue, qt.Commentf("%T", e))
	_, e = arrive(31 * time.Millisecond)
	_, isHeld := e.(dispatcher.Hold)
	c.Assert(isHeld, qt.IsTrue, qt.Commentf("%T", e))
	d.apply(40*time.Millisecond, dispatcher.AttemptReported{Call: first, Outcome: dispatcher.Delivered, Status: 200})
	for range 3 {
		_, e = arrive(41 * time.Millisecond)
		_, isSent = e.(dispatcher.Send)
		c.Assert(isSent, qt.IsTrue, qt.Commentf("%T", e))
	}
}
