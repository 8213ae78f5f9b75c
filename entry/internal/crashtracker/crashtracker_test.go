package crashtracker_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/crashrecorder"
	"fuchsiabridge.example/entry/internal/crashtracker"
	"fuchsiabridge.example/entry/internal/fingerprinter"
	"fuchsiabridge.example/entry/internal/registrar"
)

const (
	poison   identifier.Fingerprint = 1
	innocent identifier.Fingerprint = 2
)

var start = time.Unix(1_000_000, 0)

// fleet returns n targets without the given ones, whose entries are gone.
func fleet(n int, gone ...int) []registrar.Target {
	var out []registrar.Target
	for i := range n {
		isGone := false
		for _, g := range gone {
			isGone = isGone || g == i
		}
		if !isGone {
			out = append(out, registrar.Target{Target: describer.Target{ID: id(i), Address: string(id(i)), Incarnation: 1}})
		}
	}
	return out
}

func id(i int) identifier.TargetID { return identifier.TargetID(fmt.Sprint("t", i)) }

// keyOf returns the key of a request that is the only one of its group.
func keyOf(request identifier.Fingerprint) fingerprinter.Key {
	return fingerprinter.Key{Request: request, Group: request + 1000}
}

// broken returns an attempt whose connection broke, sent when the crashes known to the tracker were known.
func broken(t *crashtracker.Tracker, at time.Time, request identifier.Fingerprint, targets ...identifier.TargetID) crashtracker.Attempt {
	return crashtracker.Attempt{
		Key: keyOf(request), Targets: targets, Before: t.Histories(at, keyOf(request)), SentAt: at, RunsUntil: at.Add(10 * time.Millisecond), IsBroken: true,
	}
}

// TestThreeCrashesConfirmPoison checks that a request that crashes three targets, one after
// the other, is confirmed as poison at this node and at others that receive its reports, and
// that other requests are not.
func TestThreeCrashesConfirmPoison(t *testing.T) {
	c := qt.New(t)
	node, peer := crashtracker.NewTracker(), crashtracker.NewTracker()
	for _, tracker := range []*crashtracker.Tracker{node, peer} {
		tracker.SetTargets(start, fleet(4))
	}
	now := start
	for i := range 3 {
		now = now.Add(time.Second)
		c.Assert(peer.IsConfirmed(now, keyOf(poison)), qt.IsFalse)
		node.AddAttempt(now, broken(node, now, poison, id(i)))
		if i == 0 {
			node.AddAttempt(now, broken(node, now, innocent, id(i)))
		}
		crashes := node.SetTargets(now.Add(time.Second), fleet(4, i)).Crashes
		c.Assert(len(crashes) > 0, qt.IsTrue)
		for _, x := range crashes {
			c.Assert(peer.RecordCrash(now, x), qt.IsTrue)
			c.Assert(peer.RecordCrash(now, x), qt.IsFalse, qt.Commentf("a crash is reported as new twice"))
		}
		node.SetTargets(now.Add(time.Second), fleet(4))
	}
	for _, tracker := range []*crashtracker.Tracker{node, peer} {
		c.Assert(tracker.IsConfirmed(now, keyOf(poison)), qt.IsTrue)
		c.Assert(tracker.IsConfirmed(now, keyOf(innocent)), qt.IsFalse)
		c.Assert(tracker.IsConfirmed(now.Add(2*time.Hour), keyOf(poison)), qt.IsFalse)
	}
	node.Clear(poison)
	c.Assert(node.IsConfirmed(now, keyOf(poison)), qt.IsFalse)
}

// TestCorrelatedFailuresConfirmNothing guards against refusing a frequent request because
// several targets fail at once: identical requests break at all of these, but are not the cause.
func TestCorrelatedFailuresConfirmNothing(t *testing.T) {
	c := qt.New(t)
	tracker := crashtracker.NewTracker()
	tracker.SetTargets(start, fleet(8))
	for i := range 6 {
		at := start.Add(time.Duration(i) * 10 * time.Millisecond)
		tracker.AddAttempt(at, broken(tracker, at, innocent, id(i)))
	}
	// The failures are detected one after the other.
	for i := range 6 {
		tracker.SetTargets(start.Add(time.Duration(i)*600*time.Millisecond), fleet(8, []int{0, 1, 2, 3, 4, 5}[:i+1]...))
	}
	c.Assert(tracker.IsConfirmed(start.Add(4*time.Second), keyOf(innocent)), qt.IsFalse)
}

// TestRetriesMeetingRestOfRackConfirmNothing guards against refusing a request whose retries meet further targets
// of a failed rack: later stages of chains that had died with the first one, at any time they are noticed.
func TestRetriesMeetingRestOfRackConfirmNothing(t *testing.T) {
	c := qt.New(t)
	tracker := crashtracker.NewTracker()
	tracker.SetTargets(start, fleet(12))
	for i := range 5 {
		at := start.Add(time.Duration(i+1) * time.Second)
		a := broken(tracker, at, innocent, id(6+i), id(i))
		a.IsBroken = i == 0
		tracker.AddAttempt(at, a)
		tracker.SetUnresponsive(at.Add(100*time.Millisecond), string(id(i)))
	}
	c.Assert(tracker.Histories(start.Add(10*time.Second), keyOf(innocent)).Request.Depth, qt.Equals, 1)
	c.Assert(tracker.IsConfirmed(start.Add(10*time.Second), keyOf(innocent)), qt.IsFalse)
}

// TestBrokenAttemptWithoutCrashConfirmsNothing checks that a broken attempt is no evidence
// against a request if its target is alive after it, however soon that one fails then, or fails long after.
func TestBrokenAttemptWithoutCrashConfirmsNothing(t *testing.T) {
	c := qt.New(t)
	tracker := crashtracker.NewTracker()
	tracker.SetTargets(start, fleet(4))
	for i := range 4 {
		tracker.AddAttempt(start, broken(tracker, start, poison, id(i)))
	}
	c.Assert(tracker.SetTargets(start, fleet(4)).Crashes, qt.HasLen, 0)
	tracker.RecordAlive(start.Add(20*time.Millisecond), id(0), id(1))
	c.Assert(tracker.SetTargets(start.Add(30*time.Millisecond), fleet(4, 0, 1)).Crashes, qt.HasLen, 0)
	c.Assert(tracker.SetTargets(start.Add(2*time.Minute), fleet(4, 0, 1, 2, 3)).Crashes, qt.HasLen, 0)
	c.Assert(tracker.IsConfirmed(start, keyOf(poison)), qt.IsFalse)
}

// TestChecksAreBounded guards against checking targets without end while many requests break at once.
func TestChecksAreBounded(t *testing.T) {
	c := qt.New(t)
	tracker := crashtracker.NewTracker()
	tracker.SetTargets(start, fleet(200))
	checks := 0
	for i := range 200 {
		at := start.Add(time.Duration(i) * 5 * time.Millisecond)
		tracker.AddAttempt(at, broken(tracker, at, identifier.Fingerprint(10+i), id(i)))
		due := tracker.DueChecks(at.Add(10 * time.Millisecond))
		checks += len(due)
	}
	c.Assert(checks <= 40, qt.IsTrue, qt.Commentf("%d checks in a second", checks))
}

// TestEntryReadLateIsNoRestart guards against a crash that is put down to a request because an entry of the former
// incarnation is read after a check has found the new one.
func TestEntryReadLateIsNoRestart(t *testing.T) {
	c := qt.New(t)
	tracker := crashtracker.NewTracker()
	tracker.SetTargets(start, fleet(1))
	tracker.AddAttempt(start, broken(tracker, start, poison, id(0)))
	at := start.Add(50 * time.Millisecond)
	c.Assert(tracker.DueChecks(at), qt.HasLen, 1)
	c.Assert(tracker.CheckAnswered(at, id(0), 2).Crashes, qt.HasLen, 1)
	at = at.Add(time.Second)
	tracker.AddAttempt(at, broken(tracker, at, innocent, id(0)))
	c.Assert(tracker.SetTargets(at.Add(time.Second), fleet(1)).Failures, qt.HasLen, 0)
	c.Assert(tracker.Histories(at, keyOf(innocent)).Request.Depth, qt.Equals, 0)
}

// TestCrashOfFirstTargetNeedsNoFurtherChecks guards against checking all targets of a chain for each of its streams when
// the first target has crashed.
func TestCrashOfFirstTargetNeedsNoFurtherChecks(t *testing.T) {
	c := qt.New(t)
	tracker := crashtracker.NewTracker()
	tracker.SetTargets(start, fleet(5))
	for i := range 10 {
		tracker.AddAttempt(start, broken(tracker, start, identifier.Fingerprint(10+i), id(0), id(1), id(2), id(3), id(4)))
	}
	at := start.Add(50 * time.Millisecond)
	c.Assert(tracker.DueChecks(at), qt.HasLen, 1)
	c.Assert(tracker.CheckUnanswered(at, id(0)).Crashes, qt.HasLen, 10)
	c.Assert(tracker.DueChecks(at.Add(time.Second)), qt.HasLen, 0)
}

// TestRequestBesidePoisonAccusesNoGroup guards against refusing all requests of a group because one of them, which crashes
// each target that runs it, crashes targets while they run others of the group, seen by this node or another one.
func TestRequestBesidePoisonAccusesNoGroup(t *testing.T) {
	poisonKey := fingerprinter.Key{Request: poison, Group: crashGroup}
	for _, isSeenByPeer := range []bool{false, true} {
		c := qt.New(t)
		pair := crashTargets(3, isSeenByPeer, func(at time.Time, own, other *crashtracker.Tracker, target int) {
			breakAttempt(own, at, poisonKey, target)
			breakAttempt(other, at, fingerprinter.Key{Request: firstOther + identifier.Fingerprint(target), Group: crashGroup}, target)
		})
		at := start.Add(time.Minute)
		for _, x := range pair {
			c.Check(x.IsConfirmed(at, poisonKey), qt.IsTrue)
			c.Check(x.IsConfirmed(at, fingerprinter.Key{Request: firstOther, Group: crashGroup}), qt.IsFalse, qt.Commentf("seen by peer: %t", isSeenByPeer))
			c.Check(x.TakeConfirmedTraits(at), qt.HasLen, 0)
		}
	}
}

const (
	crashGroup identifier.Fingerprint = 99
	firstOther identifier.Fingerprint = 50
)

// breakAttempt records an attempt at a target whose connection broke.
func breakAttempt(x *crashtracker.Tracker, at time.Time, key fingerprinter.Key, target int) {
	x.AddAttempt(at, crashtracker.Attempt{
		Key: key, Targets: []identifier.TargetID{id(target)}, Before: x.Histories(at, key), SentAt: at, RunsUntil: at.Add(time.Millisecond), IsBroken: true,
	})
}

// crashTargets lets targets crash one after the other, a second apart, with the attempts that run records at two nodes, or at one of
// them alone unless some are seen by a peer. It returns the nodes, which have told each other what they found.
func crashTargets(targets int, isSeenByPeer bool, run func(at time.Time, own, other *crashtracker.Tracker, target int)) []*crashtracker.Tracker {
	pair := []*crashtracker.Tracker{crashtracker.NewTracker(), crashtracker.NewTracker()}
	other := pair[0]
	if isSeenByPeer {
		other = pair[1]
	}
	for i := range targets {
		at := start.Add(time.Duration(1+i) * time.Second)
		for _, x := range pair {
			x.SetTargets(at, fleet(4))
		}
		run(at, pair[0], other, i)
		exchangeCrashes(pair, at.Add(10*time.Millisecond), i)
	}
	return pair
}

// exchangeCrashes lets two nodes find that a target has failed, and report the crashes to each other.
func exchangeCrashes(pair []*crashtracker.Tracker, at time.Time, target int) {
	const reportDelay = 200 * time.Millisecond
	for i, x := range pair {
		for _, crash := range x.SetUnresponsive(at, string(id(target))).Crashes {
			pair[1-i].RecordCrash(at.Add(reportDelay), crash)
		}
	}
}

// TestDifferentRequestsConfirmGroup checks that different requests of a group which crash targets one after the other
// confirm it, but not before reports of other nodes may have arrived, and not the requests that were answered.
func TestDifferentRequestsConfirmGroup(t *testing.T) {
	c := qt.New(t)
	tracker := crashtracker.NewTracker()
	at := start
	known := fingerprinter.Key{Request: firstOther, Group: crashGroup}
	next := fingerprinter.Key{Request: firstOther + 1, Group: crashGroup}
	for i := range 3 {
		at = at.Add(time.Second)
		tracker.SetTargets(at, fleet(4))
		breakAttempt(tracker, at, fingerprinter.Key{Request: identifier.Fingerprint(1 + i), Group: crashGroup}, i)
		at = at.Add(10 * time.Millisecond)
		tracker.SetUnresponsive(at, string(id(i)))
		tracker.NoteAnswer(at, known, true)
	}
	c.Assert(tracker.IsConfirmed(at, next), qt.IsFalse)
	c.Assert(tracker.IsTraitOpen(at, next.Request, next.Group), qt.IsTrue)
	at = at.Add(time.Second)
	c.Assert(tracker.IsConfirmed(at, next), qt.IsTrue)
	c.Assert(tracker.IsConfirmed(at, known), qt.IsFalse)
	confirmed := tracker.TakeConfirmedTraits(at)
	c.Assert(confirmed, qt.HasLen, 1)
	c.Assert(confirmed[0].Crash.Request, qt.Equals, crashGroup)
	c.Assert(confirmed[0].IsOwn, qt.IsTrue)
	c.Assert(tracker.TakeConfirmedTraits(at), qt.HasLen, 0)
	tracker.RecordCrash(at, crashrecorder.Crash{Request: 60, Group: crashGroup, Target: id(3), Incarnation: 9, Depth: 1, GroupDepth: 3})
	c.Assert(tracker.TakeConfirmedTraits(at), qt.HasLen, 1, qt.Commentf("a group that crashes a target again is stored again"))
	restarted := crashtracker.NewTracker()
	restarted.RecordCrash(at, confirmed[0].Crash)
	c.Assert(restarted.IsConfirmed(at, next), qt.IsTrue)
}

// TestErrorAnswersClearRequestInTime guards against an innocent request that is suspected without end because its targets
// always answer it with an error.
func TestErrorAnswersClearRequestInTime(t *testing.T) {
	c := qt.New(t)
	tracker := crashtracker.NewTracker()
	tracker.SetTargets(start, fleet(4))
	key := keyOf(innocent)
	breakAttempt(tracker, start, key, 0)
	at := start.Add(time.Second)
	c.Assert(tracker.SetUnresponsive(at, string(id(0))).Crashes, qt.HasLen, 1)
	c.Assert(tracker.NoteAnswer(at, key, false), qt.HasLen, 0)
	c.Assert(tracker.Histories(at, key).HasCrashes(), qt.IsTrue)
	for range 9 {
		tracker.NoteAnswer(at, key, false)
	}
	c.Assert(tracker.Histories(at, key).HasCrashes(), qt.IsFalse)
}

// TestSkippedCheckIsMadeLater guards against a target that is never checked again because one check could not be sent.
func TestSkippedCheckIsMadeLater(t *testing.T) {
	c := qt.New(t)
	tracker := crashtracker.NewTracker()
	tracker.SetTargets(start, fleet(2))
	breakAttempt(tracker, start, keyOf(poison), 0)
	at := start.Add(50 * time.Millisecond)
	c.Assert(tracker.DueChecks(at), qt.HasLen, 1)
	tracker.CheckSkipped(id(0))
	at = at.Add(time.Second)
	c.Assert(tracker.DueChecks(at), qt.HasLen, 1)
	c.Assert(tracker.CheckUnanswered(at, id(0)).Crashes, qt.HasLen, 1)
}

// partKey returns the key of a request that shares parts of its prompt with others.
func partKey(request identifier.Fingerprint, parts ...identifier.Fingerprint) fingerprinter.Key {
	return fingerprinter.Key{Request: request, Group: request + 1000, Parts: parts}
}

// TestPartExplainsItsNeighbours guards against refusing requests with a part of prompts, or of a group, that only came with the
// part which crashes targets.
func TestPartExplainsItsNeighbours(t *testing.T) {
	const common, neighbour, bad, group identifier.Fingerprint = 501, 502, 503, 504
	c := qt.New(t)
	tracker := crashtracker.NewTracker()
	at := start
	for i, parts := range [][]identifier.Fingerprint{{common, neighbour, bad}, {common, bad}, {common, neighbour, bad}} {
		at = at.Add(time.Second)
		tracker.SetTargets(at, fleet(4))
		key := partKey(identifier.Fingerprint(1+i), parts...)
		key.Group = group
		breakAttempt(tracker, at, key, i)
		at = at.Add(10 * time.Millisecond)
		c.Assert(tracker.SetUnresponsive(at, string(id(i))).Crashes, qt.HasLen, 1)
	}
	at = at.Add(time.Second)
	c.Check(tracker.IsConfirmed(at, partKey(20, common, bad)), qt.IsTrue)
	c.Check(tracker.IsConfirmed(at, partKey(21, bad)), qt.IsTrue)
	c.Check(tracker.IsConfirmed(at, partKey(22, common, neighbour)), qt.IsFalse)
	c.Check(tracker.IsConfirmed(at, fingerprinter.Key{Request: 23, Group: group}), qt.IsFalse)
	confirmed := tracker.TakeConfirmedTraits(at)
	c.Assert(confirmed, qt.HasLen, 1)
	c.Check(confirmed[0].Crash.Request, qt.Equals, bad)
	c.Check(confirmed[0].IsPart, qt.IsTrue)
	restarted := crashtracker.NewTracker()
	restarted.RecordCrash(at, confirmed[0].Crash)
	c.Check(restarted.IsConfirmed(at, partKey(24, common, bad)), qt.IsTrue)
	c.Check(restarted.IsConfirmed(at, partKey(25, common)), qt.IsFalse)
}

// TestWrittenPartIsSound guards against holding back or refusing requests with a part of prompts on which a target has written
// an answer, whatever crashes beside them and whoever reports it.
func TestWrittenPartIsSound(t *testing.T) {
	const common identifier.Fingerprint = 501
	c := qt.New(t)
	tracker := crashtracker.NewTracker()
	key := partKey(1, common)
	tracker.SetTargets(start, fleet(4))
	breakAttempt(tracker, start, key, 0)
	c.Assert(tracker.SetUnresponsive(start.Add(10*time.Millisecond), string(id(0))).Crashes[0].Parts, qt.HasLen, 1)
	c.Assert(tracker.IsTraitOpen(start.Add(time.Second), 2, common), qt.IsTrue)
	at := start.Add(time.Second)
	c.Assert(tracker.NoteWritten(at, partKey(2, common)), qt.DeepEquals, []identifier.Fingerprint{common})
	for i := 1; i < 4; i++ {
		at = at.Add(time.Second)
		breakAttempt(tracker, at, partKey(identifier.Fingerprint(2+i), common), i)
		c.Assert(tracker.SetUnresponsive(at.Add(10*time.Millisecond), string(id(i))).Crashes[0].Parts, qt.HasLen, 0)
		tracker.RecordCrash(at, crashrecorder.Crash{
			Request: identifier.Fingerprint(90 + i), Target: id(i), Incarnation: 5, Depth: 1, Parts: []crashrecorder.TraitCrash{{Trait: common, Depth: i}},
		})
	}
	at = at.Add(time.Second)
	c.Assert(tracker.IsTraitOpen(at, 9, common), qt.IsFalse)
	c.Assert(tracker.IsConfirmed(at, partKey(9, common)), qt.IsFalse)
}

// TestPartExplainsFrequentRequest guards against refusing a frequent request, with or without parts of its own, that was sent onto
// one target after the other just before requests with a part of prompts crashed these, seen by this node or another one.
func TestPartExplainsFrequentRequest(t *testing.T) {
	const bad identifier.Fingerprint = 503
	for _, isSeenByPeer := range []bool{false, true} {
		c := qt.New(t)
		pair := crashTargets(4, isSeenByPeer, func(at time.Time, own, other *crashtracker.Tracker, target int) {
			// The last of the targets fails for another reason.
			if target < 3 {
				breakAttempt(other, at, partKey(firstOther+identifier.Fingerprint(target), bad), target)
			}
			breakAttempt(own, at, keyOf(innocent), target)
		})
		at := start.Add(time.Minute)
		for _, x := range pair {
			c.Check(x.IsConfirmed(at, keyOf(innocent)), qt.IsFalse, qt.Commentf("seen by peer: %t", isSeenByPeer))
			c.Check(x.IsConfirmed(at, partKey(9, bad)), qt.IsTrue, qt.Commentf("seen by peer: %t", isSeenByPeer))
		}
	}
}

// TestClearedRequestLeavesAllItsTraits guards against a part of prompts, or a group, that stays accused by a request which was
// answered elsewhere, because a later report of the request's crashes did not name them.
func TestClearedRequestLeavesAllItsTraits(t *testing.T) {
	const part, group identifier.Fingerprint = 501, 502
	c := qt.New(t)
	tracker := crashtracker.NewTracker()
	parts := []crashrecorder.TraitCrash{{Trait: part, Depth: 1}}
	tracker.RecordCrash(start, crashrecorder.Crash{Request: 1, Group: group, Target: "a", Incarnation: 1, Depth: 1, Parts: parts})
	tracker.RecordCrash(start, crashrecorder.Crash{Request: 1, Target: "b", Incarnation: 1, Depth: 1, Parts: parts})
	tracker.RecordCrash(start, crashrecorder.Crash{Request: 1, Group: group, Target: "c", Incarnation: 1, Depth: 1})
	key := fingerprinter.Key{Request: 2, Group: group, Parts: []identifier.Fingerprint{part}}
	c.Assert(tracker.Histories(start, key).Traits, qt.HasLen, 2)
	tracker.Clear(1)
	c.Assert(tracker.Histories(start, key).Traits, qt.HasLen, 0)
}
