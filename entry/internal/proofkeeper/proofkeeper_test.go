package proofkeeper_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/proofkeeper"
)

// maxParts is how many parts are remembered.
const maxParts = 8192

// TestProofsExpireAndAreBounded guards against proofs that count for ever, against a node that remembers parts without end, and
// against a part that is in use and no longer known as sound because there are too many others.
func TestProofsExpireAndAreBounded(t *testing.T) {
	c := qt.New(t)
	k := proofkeeper.NewKeeper()
	start := time.Unix(1_000_000, 0)
	k.Note(start, 1)
	c.Check(k.IsSound(start.Add(time.Minute-1), 1), qt.IsTrue)
	c.Check(k.IsSound(start.Add(time.Minute), 1), qt.IsFalse)
	for part := identifier.Fingerprint(2); part <= 2*maxParts; part++ {
		k.Note(start.Add(time.Second), part)
	}
	later := start.Add(50 * time.Second)
	k.Note(later, 1)
	c.Check(k.IsSound(later, 1), qt.IsTrue)
	c.Check(k.IsSound(later, maxParts), qt.IsTrue)
	c.Check(k.IsSound(later, maxParts+1), qt.IsFalse)
	afterwards := start.Add(2 * time.Minute)
	k.Note(afterwards, maxParts+1)
	c.Check(k.IsSound(afterwards, maxParts+1), qt.IsTrue)
}
