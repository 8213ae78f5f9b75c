package watcher_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"fuchsiabridge.example/common/enginecaller"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/common/platformcaller"
	"fuchsiabridge.example/entry/internal/watcher"
)

var start = time.Unix(1_000_000, 0)

// testExecutor applies events to one watcher and keeps the last published targets.
type testExecutor struct {
	watcher *watcher.Watcher
	now     time.Time
	targets []watcher.Target
	polls   []messenger.Effect
}

func newTestExecutor() *testExecutor {
	return &testExecutor{watcher: watcher.NewWatcher(watcher.Observer{Node: "self", DataCentre: "plateau"}, 1), now: start}
}

func (s *testExecutor) apply(event messenger.Event) {
	for _, effect := range s.watcher.Apply(s.now, event) {
		switch e := effect.(type) {
		case messenger.Broadcast:
			s.targets = e.Event.(watcher.TargetsChanged).Targets
		case watcher.ReadStatus, watcher.ProbeService:
			s.polls = append(s.polls, e)
		}
	}
}

func (s *testExecutor) state(id identifier.TargetID) watcher.State {
	for _, t := range s.targets {
		if t.ID == id {
			return t.State
		}
	}
	return ""
}

func vm(id, role, address string, leaving bool) platformcaller.VM {
	return platformcaller.VM{ID: id, Role: role, Address: address, DataCentre: "plateau", Leaving: leaving}
}

// TestLeavingIsNotReverted feeds VM lists, polls and reports in any order. Once the node saw a sign
// of leaving, the target must get no work until a later generation without that sign.
func TestLeavingIsNotReverted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newTestExecutor()
		s.apply(watcher.VMsRead{VMs: []platformcaller.VM{vm("e", platformcaller.RoleEngine, "a", false)}})
		var markedGeneration, latestGeneration identifier.Generation
		isMarked := false
		sequence := uint64(1)
		for range rapid.IntRange(1, 30).Draw(t, "events") {
			generation := identifier.Generation(rapid.IntRange(1, 3).Draw(t, "generation"))
			// The engine is leaving only in generation 2.
			leaving := generation == 2 && rapid.Bool().Draw(t, "leaving")
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				s.apply(watcher.VMsRead{VMs: []platformcaller.VM{vm("e", platformcaller.RoleEngine, "a", false)}})
				continue
			case 1:
				s.apply(watcher.StatusRead{Address: "a", Status: enginecaller.Status{Target: "e", Generation: generation, Leaving: leaving}})
			case 2:
				sequence++
				status := enginecaller.Status{Target: "e", Generation: generation, Leaving: leaving}
				s.apply(watcher.ReportsReceived{Reports: []watcher.Report{{
					Target: "e", Observer: "peer", Sequence: sequence - uint64(rapid.IntRange(0, 2).Draw(t, "age")),
					Leaving: leaving, Generation: generation, Status: &status,
				}}})
			case 3:
				s.now = s.now.Add(100 * time.Millisecond)
				s.apply(messenger.Tick{})
				continue
			}
			latestGeneration = max(latestGeneration, generation)
			if leaving {
				isMarked, markedGeneration = true, generation
			}
			if isMarked && latestGeneration <= markedGeneration && s.state("e") == watcher.StateUp {
				t.Fatalf("target is up in generation %d, which is leaving", latestGeneration)
			}
		}
	})
}

// TestStaleListDoesNotClearLeaving checks that a leaving mark that came only from the VM list
// survives an outdated list.
func TestStaleListDoesNotClearLeaving(t *testing.T) {
	c := qt.New(t)
	s := newTestExecutor()
	s.apply(watcher.VMsRead{VMs: []platformcaller.VM{vm("e", platformcaller.RoleEngine, "a", true)}})
	s.apply(watcher.VMsRead{VMs: []platformcaller.VM{vm("e", platformcaller.RoleEngine, "a", false)}})
	s.apply(watcher.StatusRead{Address: "a", Status: enginecaller.Status{Target: "e", Generation: 7}})
	c.Assert(s.state("e"), qt.Equals, watcher.StateLeaving)
	s.apply(watcher.StatusRead{Address: "a", Status: enginecaller.Status{Target: "e", Generation: 8}})
	c.Assert(s.state("e"), qt.Equals, watcher.StateUp)
}

// TestLeavingReportBeforeTargetIsListed applies a leaving report for a target that the lagging VM
// list does not contain yet.
func TestLeavingReportBeforeTargetIsListed(t *testing.T) {
	c := qt.New(t)
	s := newTestExecutor()
	s.apply(watcher.ReportsReceived{Reports: []watcher.Report{{Target: "e", Observer: "peer", Sequence: 1, Leaving: true, Generation: 7}}})
	s.apply(watcher.VMsRead{VMs: []platformcaller.VM{vm("e", platformcaller.RoleEngine, "a", false)}})
	s.apply(watcher.StatusRead{Address: "a", Status: enginecaller.Status{Target: "e", Generation: 7}})
	c.Assert(s.state("e"), qt.Equals, watcher.StateLeaving)
}

// TestMissingTargetIsKeptForGracePeriod checks that a target survives a gap in the VM list and an
// empty list, but not a permanent absence.
func TestMissingTargetIsKeptForGracePeriod(t *testing.T) {
	c := qt.New(t)
	s := newTestExecutor()
	other := vm("other", platformcaller.RoleEngine, "b", false)
	s.apply(watcher.VMsRead{VMs: []platformcaller.VM{vm("e", platformcaller.RoleEngine, "a", false), other}})
	s.apply(watcher.StatusRead{Address: "a", Status: enginecaller.Status{Target: "e", Generation: 7}})
	s.now = s.now.Add(time.Second)
	s.apply(watcher.VMsRead{VMs: []platformcaller.VM{other}})
	s.apply(messenger.Tick{})
	c.Assert(s.state("e"), qt.Equals, watcher.StateUp)
	s.now = s.now.Add(time.Second)
	s.apply(watcher.VMsRead{})
	s.apply(messenger.Tick{})
	c.Assert(s.state("e"), qt.Equals, watcher.StateUp)
	for range 30 {
		s.now = s.now.Add(100 * time.Millisecond)
		s.apply(watcher.VMsRead{VMs: []platformcaller.VM{other}})
		s.apply(messenger.Tick{})
	}
	c.Assert(s.state("e"), qt.Equals, watcher.State(""))
}

// TestTargetsSurviveListOutage checks that the last VM list stays valid when none can be read for a
// minute.
func TestTargetsSurviveListOutage(t *testing.T) {
	c := qt.New(t)
	s := newTestExecutor()
	s.apply(watcher.VMsRead{VMs: []platformcaller.VM{vm("e", platformcaller.RoleEngine, "a", false)}})
	for range 600 {
		s.now = s.now.Add(100 * time.Millisecond)
		s.apply(messenger.Tick{})
		s.apply(watcher.StatusRead{Address: "a", Status: enginecaller.Status{Target: "e", Generation: 7}})
	}
	c.Assert(s.state("e"), qt.Equals, watcher.StateUp)
}

// TestReusedIDStartsNewTarget reuses a target's id for a VM with another role.
func TestReusedIDStartsNewTarget(t *testing.T) {
	c := qt.New(t)
	s := newTestExecutor()
	s.apply(watcher.VMsRead{VMs: []platformcaller.VM{vm("e", platformcaller.RoleEngine, "a", true)}})
	s.apply(watcher.StatusRead{Address: "a", Status: enginecaller.Status{Target: "e", Generation: 7}})
	s.apply(watcher.VMsRead{VMs: []platformcaller.VM{vm("e", platformcaller.RoleService, "b", false)}})
	c.Assert(s.state("e"), qt.Equals, watcher.StateUp)
	s.apply(watcher.StatusRead{Address: "a", Status: enginecaller.Status{Target: "e", Generation: 7}})
	c.Assert(s.targets[0].Status, qt.Equals, enginecaller.Status{})
}

// TestServiceRecovers checks that a service is down after a failed request and up again once it can
// be dialled.
func TestServiceRecovers(t *testing.T) {
	c := qt.New(t)
	s := newTestExecutor()
	s.apply(watcher.VMsRead{VMs: []platformcaller.VM{vm("s", platformcaller.RoleService, "a", false)}})
	c.Assert(s.state("s"), qt.Equals, watcher.StateUp)
	s.apply(watcher.TargetFailed{Target: "s"})
	c.Assert(s.state("s"), qt.Equals, watcher.StateDown)
	s.now = s.now.Add(time.Second)
	s.apply(messenger.Tick{})
	c.Assert(s.polls, qt.DeepEquals, []messenger.Effect{watcher.ProbeService{Target: "s", Address: "a"}})
	s.apply(watcher.ServiceReached{Target: "s", Address: "a"})
	c.Assert(s.state("s"), qt.Equals, watcher.StateUp)
}

// TestObserversAreLocalAndStable checks that observers are local where possible, and that the end
// of one node changes only the targets it observed.
func TestObserversAreLocalAndStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		local := rapid.IntRange(1, 6).Draw(t, "near")
		var nodes []watcher.Observer
		for i := range 8 {
			dataCentre := identifier.DataCentre("plateau")
			if i >= local {
				dataCentre = "almadies"
			}
			nodes = append(nodes, watcher.Observer{Node: identifier.NodeID(string(rune('a' + i))), DataCentre: dataCentre})
		}
		target := identifier.TargetID(rapid.StringN(1, 8, -1).Draw(t, "target"))
		chosen := watcher.Observers(nodes, target, "plateau")
		if len(chosen) != 3 {
			t.Fatalf("got %d observers, want 3", len(chosen))
		}
		for i, node := range chosen {
			if isLocal := int(node[0]-'a') < local; isLocal != (i < local) {
				t.Fatalf("chose %v, want local nodes first (%d are local)", chosen, local)
			}
		}
		// Removing node "a" must not remove any other observer.
		after := watcher.Observers(nodes[1:], target, "plateau")
		for _, node := range chosen {
			if node != "a" && !slices.Contains(after, node) {
				t.Fatalf("removing node a changed the observers %v to %v", chosen, after)
			}
		}
	})
}
