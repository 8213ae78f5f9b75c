package accuser_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/accuser"
	"fuchsiabridge.example/entry/internal/registrar"
)

const (
	poison   identifier.Fingerprint = 1
	innocent identifier.Fingerprint = 2
)

var start = time.Unix(1_000_000, 0)

// fleet returns so many targets without those that have crashed.
func fleet(n int, crashed ...int) []registrar.Target {
	var out []registrar.Target
	for i := range n {
		t := registrar.Target{Target: describer.Target{ID: id(i), Born: 1}}
		for _, c := range crashed {
			t.IsEjected = t.IsEjected || c == i
		}
		out = append(out, t)
	}
	return out
}

func id(i int) identifier.TargetID { return identifier.TargetID(fmt.Sprint("t", i)) }

// TestThreeCrashedTargetsConvict plays a request that crashes each target that runs it, at
// other nodes too: after the third it is guilty, and nobody else is.
func TestThreeCrashedTargetsConvict(t *testing.T) {
	c := qt.New(t)
	here, there := accuser.NewAccuser(), accuser.NewAccuser()
	for _, a := range []*accuser.Accuser{here, there} {
		a.SetTargets(start, fleet(4))
	}
	now := start
	for i := range 3 {
		now = now.Add(time.Second)
		c.Assert(there.IsGuilty(now, poison), qt.IsFalse)
		here.Suspect(now, poison, []identifier.TargetID{id(i)})
		if i == 0 {
			here.Suspect(now, innocent, []identifier.TargetID{id(i)})
		}
		crashes := here.SetTargets(now.Add(time.Second), fleet(4, i))
		c.Assert(len(crashes) > 0, qt.IsTrue)
		for _, x := range crashes {
			c.Assert(there.Tell(now, x), qt.IsTrue)
			c.Assert(there.Tell(now, x), qt.IsFalse, qt.Commentf("one crash counts once"))
		}
		here.SetTargets(now.Add(time.Second), fleet(4))
	}
	for _, a := range []*accuser.Accuser{here, there} {
		c.Assert(a.IsGuilty(now, poison), qt.IsTrue)
		c.Assert(a.IsGuilty(now, innocent), qt.IsFalse)
		c.Assert(a.IsGuilty(now.Add(time.Hour), poison), qt.IsFalse)
	}
	here.Clear(poison)
	c.Assert(here.IsGuilty(now, poison), qt.IsFalse)
}

// TestOneFaultIsNoCrashOfARequest plays the pattern of a key that gets much of the traffic while
// several targets go at once: runs of like requests break at all of them, and are not convicted.
func TestOneFaultIsNoCrashOfARequest(t *testing.T) {
	c := qt.New(t)
	a := accuser.NewAccuser()
	a.SetTargets(start, fleet(8))
	for i := range 6 {
		a.Suspect(start.Add(time.Duration(i)*10*time.Millisecond), innocent, []identifier.TargetID{id(i)})
	}
	// They are seen to be gone one after the other.
	for i := range 6 {
		a.SetTargets(start.Add(time.Duration(i)*600*time.Millisecond), fleet(8, []int{0, 1, 2, 3, 4, 5}[:i+1]...))
	}
	c.Assert(a.IsGuilty(start.Add(4*time.Second), innocent), qt.IsFalse)
}

// TestBrokenRunIsNoCrash does not hold it against a request that its run broke where no
// target crashed, or one crashed long after.
func TestBrokenRunIsNoCrash(t *testing.T) {
	c := qt.New(t)
	a := accuser.NewAccuser()
	a.SetTargets(start, fleet(4))
	for i := range 4 {
		a.Suspect(start, poison, []identifier.TargetID{id(i)})
	}
	c.Assert(a.SetTargets(start, fleet(4)), qt.HasLen, 0)
	c.Assert(a.SetTargets(start.Add(time.Minute), fleet(4, 0, 1, 2, 3)), qt.HasLen, 0)
	c.Assert(a.IsGuilty(start, poison), qt.IsFalse)
}
