package dispatcher_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/dispatcher"
)

const (
	// A part of prompts that crashes targets may be handed to targets maxLatePart times later than detectionLimit after the
	// crash numbered partCrashes.
	partCrashes = 5
	maxLatePart = 3
	// minSoundShare is the share of the sound requests that must be served once the part is known.
	minSoundShare = 0.5
	// partSettleTime is the time after the last crash that counts for that from which on sound requests must be served.
	partSettleTime = 6 * time.Second

	commonPart    identifier.PromptPart = 1
	poisonPart    identifier.PromptPart = 2
	neighbourPart identifier.PromptPart = 3
	// firstRarePart is the first of the parts that few requests share.
	firstRarePart identifier.PromptPart = 100
)

// rareParts is the number of parts that few requests share.
const rareParts = 40

// partPlacement is where the poison part stands in the prompts of a run.
type partPlacement struct {
	name  string
	parts func(n int) []identifier.PromptPart
}

func placements() []partPlacement {
	constant := func(parts ...identifier.PromptPart) func(int) []identifier.PromptPart {
		return func(int) []identifier.PromptPart { return parts }
	}
	return []partPlacement{
		{"alone", constant(poisonPart)},
		{"after the common part", constant(commonPart, poisonPart)},
		{"between the common part and a neighbour", constant(commonPart, poisonPart, neighbourPart)},
		{"after a rare part", func(n int) []identifier.PromptPart {
			return []identifier.PromptPart{commonPart, firstRarePart + identifier.PromptPart(n%rareParts), poisonPart}
		}},
	}
}

// partRun plays requests with a poison part, no two of them alike, among sound ones.
type partRun struct {
	*simulation
	placement partPlacement
	// comingTogether is how many poison requests come at the same time.
	comingTogether int
	// sound holds the calls of sound requests and when they came.
	sound map[identifier.CallID]time.Duration
}

func newPartRun(s scenario, p partPlacement, comingTogether int) *partRun {
	s.breaksOthers = true
	return &partRun{simulation: newSimulation(s), placement: p, comingTogether: comingTogether, sound: map[identifier.CallID]time.Duration{}}
}

// play lets poison requests and sound ones come. Poison requests come from second two on, each of them twice.
func (x *partRun) play() {
	const firstComing = 2 * time.Second
	n := 0
	for at := firstComing; at < x.duration; at += x.interval {
		for i := range x.comingTogether {
			key := requestKey{firstVariant + identifier.Fingerprint(n), firstVariant + identifier.Fingerprint(n)}
			parts := x.placement.parts(n)
			for try := range 2 {
				x.at(at+time.Duration(try)*200*time.Millisecond+time.Duration(i)*hop, func() {
					x.arriveWithParts((n+i+try)%len(x.nodes), x.path, key, parts, true, 1500*time.Millisecond)
				})
			}
			n++
		}
	}
	x.repeatSound()
	x.run()
}

// repeatSound lets sound requests come that share the caller, the common part and the other parts of the poison requests.
func (x *partRun) repeatSound() {
	const interval = 30 * time.Millisecond
	for n := 0; time.Duration(n)*interval < x.duration-time.Second; n++ {
		parts := []identifier.PromptPart{commonPart, firstRarePart + identifier.PromptPart(n%rareParts)}
		if n%10 == 0 {
			parts = []identifier.PromptPart{commonPart, neighbourPart}
		}
		key := requestKey{firstSibling + identifier.Fingerprint(n), firstSibling + identifier.Fingerprint(n)}
		x.at(time.Duration(n)*interval+hop, func() {
			call := x.arriveWithParts(n%len(x.nodes), x.path, key, parts, false, time.Second)
			x.sound[call] = x.now
		})
	}
}

// servedShare returns which share of the sound requests was served that came after the part had to be known.
func (x *partRun) servedShare() float64 {
	from := x.duration / 2
	if len(x.crashes) > 0 {
		from = x.crashes[min(partCrashes, len(x.crashes))-1] + partSettleTime
	}
	sent, served := 0, 0
	for call, at := range x.sound {
		if at < from {
			continue
		}
		sent++
		if x.calls[call].status == 200 {
			served++
		}
	}
	return float64(served) / float64(max(1, sent))
}

func (x *partRun) fault() string {
	late, share := x.sendsAfterCrash(partCrashes), x.servedShare()
	if late <= maxLatePart && share >= minSoundShare {
		return ""
	}
	return fmt.Sprintf("%d late sends, %d sends, %d targets crashed, %.2f of the sound requests served", late, len(x.sends), len(x.crashes), share)
}

// TestPoisonPartIsRefused guards against requests that go on crashing targets because they have nothing in common but a part
// of their prompts, and against refusing sound requests that share their caller and their other parts.
func TestPoisonPartIsRefused(t *testing.T) {
	for _, mode := range []crashMode{beforeFirstByte, afterFirstEvent, silence, afterCallerLeft, lastStageOfChain} {
		for _, path := range []string{"/draft/", "/once/"} {
			for _, placement := range placements() {
				for _, together := range []int{1, 3} {
					t.Run(fmt.Sprint(mode, " ", path, " ", placement.name, " ", together, " at once"), func(t *testing.T) {
						s := defaults(mode, path)
						s.downtime = 4 * time.Second
						x := newPartRun(s, placement, together)
						x.play()
						qt.Check(t, x.fault(), qt.Equals, "")
						qt.Check(t, len(x.crashes) >= 2, qt.IsTrue, x.summary())
					})
				}
			}
		}
	}
}

// TestPoisonPartIsRefusedUnderRandomConditions plays requests with a poison part under random ways of crashing, views and reports.
func TestPoisonPartIsRefusedUnderRandomConditions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		mode := rapid.SampledFrom([]crashMode{beforeFirstByte, afterFirstEvent, silence, afterCallerLeft, lastStageOfChain}).Draw(t, "mode")
		s := defaults(mode, rapid.SampledFrom([]string{"/draft/", "/once/"}).Draw(t, "path"))
		s.interval = time.Duration(rapid.IntRange(300, 3000).Draw(t, "interval")) * time.Millisecond
		s.drawConditions(t)
		x := newPartRun(s, rapid.SampledFrom(placements()).Draw(t, "placement"), rapid.IntRange(1, 4).Draw(t, "at once"))
		x.play()
		if late := x.sendsAfterCrash(partCrashes); late > maxLatePart {
			t.Fatalf("%d late sends, %d sends, %d targets crashed", late, len(x.sends), len(x.crashes))
		}
	})
}

// TestSoundPartsAreServedBesideCrashes guards against refusing requests with a common part because targets fail while they
// run some of them: racks at once, and one after the other.
func TestSoundPartsAreServedBesideCrashes(t *testing.T) {
	c := qt.New(t)
	s := defaults(beforeFirstByte, "/draft/")
	x := newPartRun(s, placements()[0], 0)
	for at := 2 * time.Second; at < 20*time.Second; at += 1500 * time.Millisecond {
		x.at(at, func() { x.failRack(false) })
		x.at(at+700*time.Millisecond, func() { x.crash(0, x.targets[len(x.targets)-1], false) })
	}
	x.play()
	calls := make([]identifier.CallID, 0, len(x.sound))
	for call := range x.sound {
		calls = append(calls, call)
	}
	c.Assert(x.countAccused(calls), qt.Equals, 0, qt.Commentf("of %d sound requests", len(calls)))
}

// TestPartOfLongAnswerIsSound guards against a part of prompts that many requests share and that is accused by streams which
// a crash has cut off long after their first event.
func TestPartOfLongAnswerIsSound(t *testing.T) {
	c := qt.New(t)
	d := readyHarness()
	for n := range 6 {
		at := time.Duration(n) * 5 * time.Second
		d.apply(at, dispatcher.ConfigurationConfirmed{AsOf: start.Add(at)})
		d.next++
		call := d.next
		e := d.apply(at, dispatcher.RequestArrived{
			Call: call, ID: identifier.RequestID(fmt.Sprint(call)), Host: "h", Path: "/once/", Key: "key",
			Fingerprint: identifier.Fingerprint(call), Group: identifier.Fingerprint(call), Parts: []identifier.PromptPart{commonPart},
		})
		send, ok := e.(dispatcher.Send)
		c.Assert(ok, qt.IsTrue, qt.Commentf("request %d: %T", n, e))
		d.apply(at+time.Second, dispatcher.AttemptReported{Call: call, Outcome: dispatcher.Broken, Status: 200, Events: 30, FirstByte: 50 * time.Millisecond})
		d.apply(at+1010*time.Millisecond, dispatcher.TargetChecked{Target: send.Target, Address: send.Address, IsUnanswered: true})
		d.apply(at+4*time.Second, dispatcher.TargetChecked{Target: send.Target, Address: send.Address, Incarnation: int64(n + 2)})
	}
	for _, x := range d.crashes {
		c.Check(x.Parts, qt.HasLen, 0)
	}
}

// TestPartCrashesTargetThatNodeHasLeft guards against a crash that is put down to others, because the node has left the attempt for
// an answer of no use, and the target has answered a check before it crashed.
func TestPartCrashesTargetThatNodeHasLeft(t *testing.T) {
	c := qt.New(t)
	d := readyHarness()
	d.next++
	call := d.next
	e := d.apply(0, dispatcher.RequestArrived{
		Call: call, ID: "part", Host: "h", Path: "/once/", Key: "key", Fingerprint: firstVariant, Group: firstVariant, Parts: []identifier.PromptPart{poisonPart},
	})
	send, ok := e.(dispatcher.Send)
	c.Assert(ok, qt.IsTrue, qt.Commentf("%T", e))
	d.apply(10*time.Millisecond, dispatcher.AttemptReported{Call: call, Outcome: dispatcher.Broken, IsLeft: true, Status: 200, Events: 1})
	d.apply(11*time.Millisecond, dispatcher.TargetChecked{Target: send.Target, Address: send.Address})
	d.apply(25*time.Millisecond, dispatcher.TargetChecked{Target: send.Target, Address: send.Address, IsUnanswered: true})
	c.Assert(d.crashes, qt.HasLen, 1)
	c.Assert(d.crashes[0].Parts, qt.HasLen, 1)
}
