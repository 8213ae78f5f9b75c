package avoider_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/entry/internal/avoider"
	"fuchsiabridge.example/entry/internal/registrar"
)

var start = time.Unix(1_000_000, 0)

func after(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// newAvoider returns an avoider that knows a number of targets, named by their numbers, in the given incarnation.
func newAvoider(targets int, incarnation int64) *avoider.Avoider {
	a := avoider.NewAvoider()
	a.SetTargets(known(targets, incarnation))
	return a
}

func known(targets int, incarnation int64) []registrar.Target {
	var out []registrar.Target
	for i := range targets {
		out = append(out, registrar.Target{Target: describer.Target{ID: identifier.TargetID(fmt.Sprint(i)), Address: fmt.Sprint("a:", i), Incarnation: incarnation}})
	}
	return out
}

// told returns what effects tell other nodes.
func told(effects []messenger.Effect) []avoider.Rejection {
	for _, e := range effects {
		if t, ok := e.(avoider.TellRejections); ok {
			return t.Rejections
		}
	}
	return nil
}

// TestAvoidanceDoubles guards against a target that is tried again every 250 ms while it has no room, and against one that is avoided for
// long after a single rejection some time after the last one. Requests that were on their way count once.
func TestAvoidanceDoubles(t *testing.T) {
	c := qt.New(t)
	a := newAvoider(3, 1)
	at := 0
	for _, backoff := range []int{250, 500, 1000, 2000, 2000} {
		a.Reject(after(at), "a:1")
		a.Reject(after(at+20), "a:1")
		c.Assert(a.IsRejecting(after(at+backoff-1), "1"), qt.IsTrue, qt.Commentf("%d", backoff))
		c.Assert(a.IsRejecting(after(at+backoff), "1"), qt.IsFalse, qt.Commentf("%d", backoff))
		at += backoff + 100
		a.Tick(after(at))
	}
	at += 2000
	a.Tick(after(at))
	a.Reject(after(at), "a:1")
	c.Assert(a.IsRejecting(after(at+250), "1"), qt.IsFalse)
	c.Assert(a.IsAvoided(after(at+249), "1", "a:1"), qt.IsTrue)
}

// TestOneMessageInHalfASecond guards against a node that floods the readers with rejections of one target.
func TestOneMessageInHalfASecond(t *testing.T) {
	c := qt.New(t)
	a := newAvoider(3, 7)
	c.Assert(told(a.Reject(after(0), "a:1")), qt.DeepEquals, []avoider.Rejection{{Target: "1", Incarnation: 7, AvoidMS: 250}})
	c.Assert(told(a.Reject(after(100), "a:1")), qt.HasLen, 0)
	c.Assert(told(a.Reject(after(300), "a:1")), qt.HasLen, 0)
	c.Assert(told(a.Reject(after(300), "a:2")), qt.HasLen, 1)
	c.Assert(told(a.Reject(after(900), "a:1")), qt.DeepEquals, []avoider.Rejection{{Target: "1", Incarnation: 7, AvoidMS: 1000}})
}

// TestUnknownAddressIsAvoidedHere guards against a target that a rejection names before its entry was read: other nodes cannot be told of it.
func TestUnknownAddressIsAvoidedHere(t *testing.T) {
	c := qt.New(t)
	a := newAvoider(1, 1)
	c.Assert(a.Reject(after(0), "b:9"), qt.HasLen, 0)
	c.Assert(a.IsAvoided(after(249), "9", "b:9"), qt.IsTrue)
	c.Assert(a.IsAvoided(after(250), "9", "b:9"), qt.IsFalse)
}

// TestUnsoundMessagesAreIgnored guards against nodes with a stepped clock, of another version, or that speak of a target's former
// incarnation, who would keep requests from sound targets.
func TestUnsoundMessagesAreIgnored(t *testing.T) {
	sound := avoider.Rejection{Target: "1", Incarnation: 5, AgeMS: 100, AvoidMS: 500}
	for name, row := range map[string]struct {
		change    func(*avoider.Rejection)
		isAvoided bool
	}{
		"sound":               {func(*avoider.Rejection) {}, true},
		"later incarnation":   {func(r *avoider.Rejection) { r.Incarnation = 6 }, true},
		"earlier incarnation": {func(r *avoider.Rejection) { r.Incarnation = 4 }, false},
		"from the future":     {func(r *avoider.Rejection) { r.AgeMS = -1 }, false},
		"over":                {func(r *avoider.Rejection) { r.AgeMS = 500 }, false},
		"too long":            {func(r *avoider.Rejection) { r.AvoidMS = 2001 }, false},
		"unknown target":      {func(r *avoider.Rejection) { r.Target = "9" }, false},
	} {
		t.Run(name, func(t *testing.T) {
			a := newAvoider(3, 5)
			r := sound
			row.change(&r)
			a.LearnRejections(after(0), []avoider.Rejection{r})
			qt.Assert(t, a.IsRejecting(after(0), r.Target), qt.Equals, row.isAvoided)
			qt.Assert(t, a.IsRejecting(after(400), r.Target), qt.IsFalse)
		})
	}
}

// TestFewTargetsAreAvoidedForWhatPeersSay guards against one node, or a fault of many targets, that makes all nodes send to the few targets that are left. What a
// node has met itself is not limited.
func TestFewTargetsAreAvoidedForWhatPeersSay(t *testing.T) {
	for _, row := range []struct{ targets, most int }{{6, 1}, {41, 2}, {221, 11}} {
		t.Run(fmt.Sprint(row.targets), func(t *testing.T) {
			a := newAvoider(row.targets, 1)
			for i := range row.targets {
				a.LearnRejections(after(i), []avoider.Rejection{{Target: identifier.TargetID(fmt.Sprint(i)), Incarnation: 1, AvoidMS: 2000}})
			}
			at := after(row.targets)
			qt.Assert(t, a.RejectionStatus(at).Avoided, qt.Equals, row.most)
			qt.Assert(t, a.IsRejecting(at, identifier.TargetID(fmt.Sprint(row.targets-1))), qt.IsTrue, qt.Commentf("the newest stays"))
			a.Reject(at, "a:0")
			qt.Assert(t, a.RejectionStatus(at).Avoided, qt.Equals, row.most+1)
		})
	}
}

// TestRestartEndsAvoidance guards against a target that has restarted, and has room, but gets nothing.
func TestRestartEndsAvoidance(t *testing.T) {
	c := qt.New(t)
	a := newAvoider(3, 1)
	a.Reject(after(0), "a:1")
	a.SetTargets(known(3, 1))
	c.Assert(a.IsRejecting(after(10), "1"), qt.IsTrue)
	a.SetTargets(known(3, 2))
	c.Assert(a.IsRejecting(after(10), "1"), qt.IsFalse)
}
