package crashrecorder_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/crashrecorder"
	"fuchsiabridge.example/entry/internal/fingerprinter"
)

const (
	poisonRequest identifier.Fingerprint = 1
	// After the third crash, poison may be handed to targets three times more.
	maxCrashes = 6
	// firstNeighbour is the first innocent request that runs on targets which the poison request crashes, and firstPart the first
	// part of their prompts.
	firstNeighbour identifier.Fingerprint = 1_000
	firstPart      identifier.Fingerprint = 1_000_000
)

// record records the crash numbered n by the poison request, beside neighbours, one for each of some parts.
func record(x *crashrecorder.Recorder, now time.Time, n int, parts ...identifier.Fingerprint) {
	c := crashrecorder.Crash{Request: poisonRequest, Target: identifier.TargetID(fmt.Sprint("t", n)), Incarnation: 1, Depth: n + 1}
	x.RecordOwnCrash(now, c)
	for i, part := range parts {
		c.Request, c.Depth = firstNeighbour+identifier.Fingerprint(n*len(parts)+i), 1
		c.Parts = []crashrecorder.TraitCrash{{Trait: part, Depth: n + 1}}
		x.RecordOwnCrash(now, c)
	}
}

// TestRareBystandersExplainNoPoisonRequest guards against a poison request that is never confirmed because each of its crashes is
// put down to another part of the prompts of innocent requests, each of which was there at some of the crashes in a row.
func TestRareBystandersExplainNoPoisonRequest(t *testing.T) {
	for _, span := range []int{3, 4} {
		t.Run(fmt.Sprint(span, " in a row"), func(t *testing.T) {
			c := qt.New(t)
			x := crashrecorder.NewRecorder()
			now := time.Unix(0, 0)
			for n := range maxCrashes + 4 {
				var parts []identifier.Fingerprint
				for first := max(0, n-span+1); first <= n; first++ {
					parts = append(parts, firstPart+identifier.Fingerprint(first))
				}
				record(x, now, n, parts...)
				now = now.Add(time.Second)
				if n+1 >= maxCrashes {
					c.Check(x.IsRequestConfirmed(now, poisonRequest), qt.IsTrue, qt.Commentf("after %d crashes", n+1))
				}
			}
		})
	}
}

// TestPoisonPartExplainsNeighbour guards against refusing an innocent request that was sent again to each of the targets that a
// poison part has crashed.
func TestPoisonPartExplainsNeighbour(t *testing.T) {
	c := qt.New(t)
	x := crashrecorder.NewRecorder()
	now := time.Unix(0, 0)
	for n := range 5 {
		crash := crashrecorder.Crash{
			Request: firstNeighbour + identifier.Fingerprint(n), Target: identifier.TargetID(fmt.Sprint("t", n)), Incarnation: 1, Depth: 1,
			Parts: []crashrecorder.TraitCrash{{Trait: firstPart, Depth: n + 1}},
		}
		x.RecordOwnCrash(now, crash)
		if n > 0 && n < 4 {
			crash.Request, crash.Depth, crash.Parts = poisonRequest, n, nil
			x.RecordOwnCrash(now, crash)
		}
		now = now.Add(time.Second)
	}
	c.Check(x.IsRequestConfirmed(now, poisonRequest), qt.IsFalse)
}

// TestTwoPoisonPartsExplainFrequentRequest guards against refusing a frequent request for good that ran on all targets which two
// poison parts have crashed. It had succeeded before, which no poison request does.
func TestTwoPoisonPartsExplainFrequentRequest(t *testing.T) {
	const crashesPerPart = 3
	for _, hasSucceeded := range []bool{false, true} {
		t.Run(fmt.Sprint("succeeded before: ", hasSucceeded), func(t *testing.T) {
			c := qt.New(t)
			x := crashrecorder.NewRecorder()
			now := time.Unix(0, 0)
			x.NoteAnswer(now, fingerprinter.Key{Request: poisonRequest}, hasSucceeded)
			for n := range 2 * crashesPerPart {
				crash := crashrecorder.Crash{
					Request: firstNeighbour + identifier.Fingerprint(n), Target: identifier.TargetID(fmt.Sprint("t", n)), Incarnation: 1, Depth: 1,
					Parts: []crashrecorder.TraitCrash{{Trait: firstPart + identifier.Fingerprint(n/crashesPerPart), Depth: n%crashesPerPart + 1}},
				}
				x.RecordOwnCrash(now, crash)
				crash.Request, crash.Depth, crash.Parts = poisonRequest, n+1, nil
				x.RecordOwnCrash(now, crash)
				now = now.Add(time.Second)
			}
			c.Check(x.IsRequestConfirmed(now, poisonRequest), qt.Equals, !hasSucceeded)
		})
	}
}
