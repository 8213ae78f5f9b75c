package sharer_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"fuchsiabridge.example/common/bootclock"
	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/crashrecorder"
	"fuchsiabridge.example/entry/internal/limiter"
	"fuchsiabridge.example/entry/internal/sharer"
)

const (
	wait = 50 * time.Millisecond
	// limit is the time within which an immediate answer must arrive.
	limit = 2 * time.Second
)

func change(id int, isLeaving bool) describer.TargetChange {
	name := identifier.TargetID(fmt.Sprint(id))
	return describer.TargetChange{ID: name, Target: &describer.Target{ID: name, IsLeaving: isLeaving}}
}

func removal(id int) describer.TargetChange {
	return describer.TargetChange{ID: identifier.TargetID(fmt.Sprint(id))}
}

func newReadingSharer() *sharer.Sharer {
	s := sharer.NewSharer()
	s.SetReading(true)
	s.RecordTargets(nil, true)
	s.RecordConfiguration(identifier.StorePosition{Offset: 1}, bootclock.Now())
	return s
}

// ask sends a query through the JSON encoding that peers use.
func ask(t testing.TB, s *sharer.Sharer, q sharer.Query) (sharer.Update, error) {
	raw, err := json.Marshal(q)
	if err != nil {
		t.Fatal(err)
	}
	answer, err := s.ServeWatch(context.Background(), raw)
	if err != nil {
		return sharer.Update{}, err
	}
	raw, err = json.Marshal(answer)
	if err != nil {
		t.Fatal(err)
	}
	var n sharer.Update
	if err := json.Unmarshal(raw, &n); err != nil {
		t.Fatal(err)
	}
	if n.IsNotReading {
		return n, sharer.ErrNotReading
	}
	return n, nil
}

// TestPeersViewFollows checks that peers that query at random times, and miss any number of changes, always
// end with the same targets as the node that reads the store.
func TestPeersViewFollows(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newReadingSharer()
		want := map[identifier.TargetID]bool{}
		peers := [2]map[identifier.TargetID]bool{{}, {}}
		var queries [2]sharer.Query
		for range rapid.IntRange(1, 30).Draw(rt, "steps") {
			id := rapid.IntRange(0, 4).Draw(rt, "target")
			switch rapid.IntRange(0, 3).Draw(rt, "step") {
			case 0:
				leaving := rapid.Bool().Draw(rt, "leaving")
				s.RecordTargets([]describer.TargetChange{change(id, leaving)}, false)
				want[change(id, false).ID] = leaving
			case 1:
				s.RecordTargets([]describer.TargetChange{removal(id)}, false)
				delete(want, removal(id).ID)
			case 2:
				s.RecordTargets([]describer.TargetChange{change(id, false)}, true)
				clear(want)
				want[change(id, false).ID] = false
			case 3:
				p := rapid.IntRange(0, 1).Draw(rt, "peer")
				n, err := ask(t, s, queries[p])
				if err != nil {
					rt.Fatal(err)
				}
				queries[p].Sharer, queries[p].Revision = n.Sharer, n.Revision
				follow(peers[p], n)
				if fmt.Sprint(peers[p]) != fmt.Sprint(want) {
					rt.Fatalf("the peer knows %v, not %v", peers[p], want)
				}
			}
		}
	})
}

func follow(view map[identifier.TargetID]bool, n sharer.Update) {
	if n.IsComplete {
		clear(view)
	}
	for _, c := range n.Changes {
		if c.Target == nil {
			delete(view, c.ID)
			continue
		}
		view[c.ID] = c.Target.IsLeaving
	}
}

// TestUpdatesAnswerWaitingQuery checks that a waiting query is answered at once on a change, and otherwise when its wait has elapsed.
func TestUpdatesAnswerWaitingQuery(t *testing.T) {
	c := qt.New(t)
	s := newReadingSharer()
	n, err := ask(t, s, sharer.Query{})
	c.Assert(err, qt.IsNil)
	q := sharer.Query{Sharer: n.Sharer, Revision: n.Revision, Configuration: n.Configuration, WaitMS: wait.Milliseconds()}
	_, err = ask(t, s, q)
	c.Assert(err, qt.IsNil)
	q.WaitMS = limit.Milliseconds()
	for _, record := range []func(){
		func() { s.RecordTargets([]describer.TargetChange{change(1, false)}, false) },
		func() { s.RecordConfiguration(identifier.StorePosition{Offset: 2}, bootclock.Now()) },
	} {
		start := time.Now()
		time.AfterFunc(wait, record)
		_, err = ask(t, s, q)
		c.Assert(err, qt.IsNil)
		c.Assert(time.Since(start) < limit, qt.IsTrue)
	}
}

// TestConfirmationIsNeverTooRecent checks that a peer that adds ConfirmedMS to the time at which it sent its
// query never takes the store's confirmation for more recent than it is.
func TestConfirmationIsNeverTooRecent(t *testing.T) {
	c := qt.New(t)
	s := sharer.NewSharer()
	s.SetReading(true)
	s.RecordTargets(nil, true)
	confirmed := bootclock.Now().Add(-time.Second)
	s.RecordConfiguration(identifier.StorePosition{Offset: 3}, confirmed)
	asked := bootclock.Now()
	n, err := ask(t, s, sharer.Query{})
	c.Assert(err, qt.IsNil)
	c.Assert(asked.Add(time.Duration(n.ConfirmedMS)*time.Millisecond).After(confirmed), qt.IsFalse)
}

// TestOnlyReadersAnswer checks that queries fail while the store is not read, has not been read yet, or is no longer read.
func TestOnlyReadersAnswer(t *testing.T) {
	c := qt.New(t)
	s := sharer.NewSharer()
	_, err := ask(t, s, sharer.Query{})
	c.Assert(err, qt.ErrorIs, sharer.ErrNotReading)
	s.SetReading(true)
	_, err = ask(t, s, sharer.Query{})
	c.Assert(err, qt.ErrorIs, sharer.ErrNotReading)
	s = newReadingSharer()
	n, err := ask(t, s, sharer.Query{})
	c.Assert(err, qt.IsNil)
	time.AfterFunc(wait, func() { s.SetReading(false) })
	_, err = ask(t, s, sharer.Query{Sharer: n.Sharer, Revision: n.Revision, Configuration: n.Configuration, WaitMS: limit.Milliseconds()})
	c.Assert(err, qt.ErrorIs, sharer.ErrNotReading)
}

// TestCrashesKeepTheirAge guards against crashes that count as new at a node that is told of them late.
func TestCrashesKeepTheirAge(t *testing.T) {
	c := qt.New(t)
	s := newReadingSharer()
	s.RecordCrashes(sharer.CrashReport{Crashes: []crashrecorder.Crash{{Request: 1, Target: "t", AgeMS: 5000}}})
	time.Sleep(wait)
	update, err := ask(t, s, sharer.Query{})
	c.Assert(err, qt.IsNil)
	c.Assert(update.Crashes, qt.HasLen, 1)
	c.Assert(update.Crashes[0].AgeMS >= 5000+wait.Milliseconds(), qt.IsTrue, qt.Commentf("%d ms", update.Crashes[0].AgeMS))
}

// TestFaultOfManyTargetsKeepsPoison guards against forgetting a poison request because a fault of many targets
// puts crashes beside thousands of other requests.
func TestFaultOfManyTargetsKeepsPoison(t *testing.T) {
	c := qt.New(t)
	s := newReadingSharer()
	for depth := range 3 {
		s.RecordCrashes(sharer.CrashReport{Crashes: []crashrecorder.Crash{{Request: 1, Target: "t", Incarnation: int64(depth), Depth: depth + 1}}})
	}
	for i := range 3000 {
		s.RecordCrashes(sharer.CrashReport{Crashes: []crashrecorder.Crash{{Request: identifier.Fingerprint(10 + i), Target: "t", Depth: 1}}})
	}
	update, err := ask(t, s, sharer.Query{})
	c.Assert(err, qt.IsNil)
	c.Assert(len(update.Crashes) <= 1024, qt.IsTrue)
	isKept := slices.ContainsFunc(update.Crashes, func(x crashrecorder.Crash) bool { return x.Request == 1 && x.Depth == 3 })
	c.Assert(isKept, qt.IsTrue)
}

// TestLimitsReachPeers guards against a node that has just started and knows nothing of the limits that others know.
func TestLimitsReachPeers(t *testing.T) {
	c := qt.New(t)
	s := sharer.NewSharer()
	s.SetReading(true)
	s.RecordTargets([]describer.TargetChange{{ID: "t", Target: &describer.Target{ID: "t"}}}, true)
	s.RecordConfiguration(identifier.StorePosition{Offset: 1}, bootclock.Now())
	first, err := s.Watch(context.Background(), sharer.Query{})
	c.Assert(err, qt.IsNil)
	c.Assert(first.Limits, qt.HasLen, 0)
	limits := func(since sharer.Revision) []limiter.Report {
		u, err := s.Watch(context.Background(), sharer.Query{Sharer: first.Sharer, Revision: since, Configuration: 1})
		c.Assert(err, qt.IsNil)
		return u.Limits
	}
	s.RecordLimits([]limiter.Report{{Target: "t", Rate: 5}})
	c.Assert(limits(first.Revision), qt.HasLen, 1)
	s.RecordLimits([]limiter.Report{{Target: "t", Rate: 5}, {Target: "t", Rate: 9, AgeMS: 5000}})
	got := limits(first.Revision)
	c.Assert(got, qt.HasLen, 1)
	c.Assert(got[0].Rate, qt.Equals, describer.RequestRate(5))
	time.Sleep(2 * time.Millisecond)
	s.RecordLimits([]limiter.Report{{Target: "t", IsEnded: true}})
	c.Assert(limits(first.Revision)[0].IsEnded, qt.IsTrue)
	s.RecordTargets([]describer.TargetChange{{ID: "t"}}, false)
	c.Assert(limits(first.Revision), qt.HasLen, 0)
}

// TestClearedGroupKeepsCrashesOfRequests guards against a poison request that is forgotten because other requests of its
// group were answered, and against a group that is accused at a node that learns late.
func TestClearedGroupKeepsCrashesOfRequests(t *testing.T) {
	c := qt.New(t)
	s := newReadingSharer()
	for depth := range 2 {
		s.RecordCrashes(sharer.CrashReport{Crashes: []crashrecorder.Crash{{Request: 1, Group: 9, Target: "t", Depth: 1, GroupDepth: depth + 1}}})
	}
	before, err := ask(t, s, sharer.Query{})
	c.Assert(err, qt.IsNil)
	c.Assert(before.Crashes, qt.HasLen, 1)
	c.Assert(before.Crashes[0].GroupDepth, qt.Equals, 2)
	s.RecordCrashes(sharer.CrashReport{Cleared: []identifier.Fingerprint{9}})
	after, err := ask(t, s, sharer.Query{})
	c.Assert(err, qt.IsNil)
	c.Assert(after.Cleared, qt.DeepEquals, []identifier.Fingerprint{9})
	c.Assert(after.Crashes, qt.HasLen, 1)
	c.Assert(after.Crashes[0].Group, qt.Equals, identifier.Fingerprint(0))
	c.Assert(after.Crashes[0].Depth, qt.Equals, 1)
}

// TestClearedPartKeepsOtherParts guards against a part of prompts that crashes targets and is forgotten, or one that does not
// and is accused at a node that learns late, because the crashes of another part of the same requests count no more.
func TestClearedPartKeepsOtherParts(t *testing.T) {
	c := qt.New(t)
	s := newReadingSharer()
	report := func(depth int) {
		s.RecordCrashes(sharer.CrashReport{Crashes: []crashrecorder.Crash{{
			Request: 1, Target: "t", Depth: 1, Parts: []crashrecorder.TraitCrash{{Trait: 7, Depth: 1}, {Trait: 8, Depth: depth}},
		}}})
	}
	report(1)
	report(2)
	s.RecordCrashes(sharer.CrashReport{Cleared: []identifier.Fingerprint{7}})
	update, err := ask(t, s, sharer.Query{})
	c.Assert(err, qt.IsNil)
	c.Assert(update.Cleared, qt.DeepEquals, []identifier.Fingerprint{7})
	c.Assert(update.Crashes, qt.HasLen, 1)
	c.Assert(update.Crashes[0].Parts, qt.DeepEquals, []crashrecorder.TraitCrash{{Trait: 8, Depth: 2}})
}

// TestStormOfChangesIsToldInFewAnswers guards against a node that reads the store and is overloaded by its followers, since
// each of very many changes lets all of them ask again.
func TestStormOfChangesIsToldInFewAnswers(t *testing.T) {
	const duration, answersPerSecond = time.Second, 41
	// The followers of one of four readers in fleets of 8, 95 and 470 nodes.
	for _, followers := range []int{1, 23, 117} {
		t.Run(fmt.Sprint(followers), func(t *testing.T) {
			c := qt.New(t)
			s := newReadingSharer()
			ctx, stop := context.WithCancel(context.Background())
			defer stop()
			var answers atomic.Int64
			views := make([]map[identifier.TargetID]bool, followers)
			var wg sync.WaitGroup
			for i := range followers {
				views[i] = map[identifier.TargetID]bool{}
				wg.Go(func() { watchAll(ctx, s, views[i], &answers) })
			}
			for id, until := 0, time.Now().Add(duration); time.Now().Before(until); id++ {
				s.RecordTargets([]describer.TargetChange{change(id%50, id%3 == 0)}, false)
				s.RecordCrashes(sharer.CrashReport{Crashes: []crashrecorder.Crash{{Request: identifier.Fingerprint(id), Target: "t"}}})
				time.Sleep(2 * time.Millisecond)
			}
			c.Check(answers.Load() <= int64(followers)*(answersPerSecond+1), qt.IsTrue, qt.Commentf("%d answers", answers.Load()))
			time.Sleep(2 * limit / 10)
			stop()
			wg.Wait()
			all, err := ask(t, s, sharer.Query{})
			c.Assert(err, qt.IsNil)
			want := map[identifier.TargetID]bool{}
			follow(want, all)
			for _, view := range views {
				c.Check(view, qt.DeepEquals, want)
			}
		})
	}
}

// watchAll applies all updates to a view until ctx ends, and counts them.
func watchAll(ctx context.Context, s *sharer.Sharer, view map[identifier.TargetID]bool, answers *atomic.Int64) {
	q := sharer.Query{WaitMS: limit.Milliseconds(), Configuration: 1}
	for {
		update, err := s.Watch(ctx, q)
		if err != nil {
			return
		}
		answers.Add(1)
		follow(view, update)
		q.Sharer, q.Revision = update.Sharer, update.Revision
	}
}

// TestConfigurationIsToldAmidChanges guards against a change of the configuration that waits for other changes.
func TestConfigurationIsToldAmidChanges(t *testing.T) {
	c := qt.New(t)
	s := newReadingSharer()
	first, err := ask(t, s, sharer.Query{})
	c.Assert(err, qt.IsNil)
	start := time.Now()
	time.AfterFunc(10*time.Millisecond, func() {
		s.RecordTargets([]describer.TargetChange{change(1, false)}, false)
		s.RecordConfiguration(identifier.StorePosition{Offset: 2}, bootclock.Now())
	})
	update, err := ask(t, s, sharer.Query{Sharer: first.Sharer, Revision: first.Revision, Configuration: first.Configuration, WaitMS: limit.Milliseconds()})
	c.Assert(err, qt.IsNil)
	c.Assert(update.Configuration, qt.Equals, identifier.Offset(2))
	c.Assert(time.Since(start) < 80*time.Millisecond, qt.IsTrue)
}

// checkCompressed checks that a compressed update takes at most a share of the bytes of the plain one.
func checkCompressed(c *qt.C, plain, packed sharer.Update, maxShare float64) {
	c.Helper()
	full, err := json.Marshal(plain)
	c.Assert(err, qt.IsNil)
	small, err := json.Marshal(packed)
	c.Assert(err, qt.IsNil)
	c.Check(float64(len(small)) < maxShare*float64(len(full)), qt.IsTrue, qt.Commentf("%d of %d bytes", len(small), len(full)))
}

// TestManyChangesAreCompressed guards against a link that is full of the changes of many targets, as when all of a large fleet get
// their layers.
func TestManyChangesAreCompressed(t *testing.T) {
	const targets, maxShare = 600, 0.25
	c := qt.New(t)
	s := newReadingSharer()
	first, err := ask(t, s, sharer.Query{AcceptsPacked: true})
	c.Assert(err, qt.IsNil)
	for id := range targets {
		s.RecordTargets([]describer.TargetChange{change(id, false)}, false)
	}
	q := sharer.Query{Sharer: first.Sharer, Revision: first.Revision, Configuration: first.Configuration}
	plain, err := ask(t, s, q)
	c.Assert(err, qt.IsNil)
	c.Assert(plain.Packed, qt.HasLen, 0)
	q.AcceptsPacked = true
	packed, err := ask(t, s, q)
	c.Assert(err, qt.IsNil)
	checkCompressed(c, plain, packed, maxShare)
	c.Assert(packed.Unpack(), qt.IsNil)
	c.Check(packed.Changes, qt.HasLen, targets)
	c.Check(packed.IsComplete, qt.IsFalse)
}

// TestCompleteUpdateIsCompressed guards against a link that is full of complete updates when many followers begin to follow a
// node: that of a large fleet with many crashes has hundreds of kilobytes. A peer of an earlier version gets it as it is.
func TestCompleteUpdateIsCompressed(t *testing.T) {
	const targets, crashes, maxShare = 222, 1000, 0.25
	c := qt.New(t)
	s := newReadingSharer()
	for id := range targets {
		s.RecordTargets([]describer.TargetChange{change(id, false)}, false)
	}
	for id := range crashes {
		s.RecordCrashes(sharer.CrashReport{Crashes: []crashrecorder.Crash{{
			Request: identifier.Fingerprint(rand.Uint64()), Group: identifier.Fingerprint(rand.Uint64()), Depth: 1, GroupDepth: 1, Incarnation: 1788539263007,
			Target: identifier.TargetID(fmt.Sprint("target-", id%targets)), Parts: []crashrecorder.TraitCrash{{Trait: identifier.Fingerprint(id % 60), Depth: 1}},
		}}})
	}
	plain, err := ask(t, s, sharer.Query{})
	c.Assert(err, qt.IsNil)
	c.Assert(plain.Packed, qt.HasLen, 0)
	packed, err := ask(t, s, sharer.Query{AcceptsPacked: true})
	c.Assert(err, qt.IsNil)
	c.Assert(packed.Changes, qt.HasLen, 0)
	checkCompressed(c, plain, packed, maxShare)
	c.Assert(packed.Unpack(), qt.IsNil)
	c.Check(packed.Changes, qt.HasLen, targets)
	c.Check(packed.Crashes, qt.HasLen, crashes)
	c.Check(packed.IsComplete, qt.IsTrue)
}
