package continuer_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/entry/internal/continuer"
)

var start = time.Unix(1_000_000, 0)

const ms = time.Millisecond

// TestRefusedStreamIsSentAgainThenWaits guards against streams that ask targets without room three times at once, and against those that
// ask no more: after two refusals a stream is sent again, and if it may not be, it is rerouted after 100, 200, 400 and 400 ms.
func TestRefusedStreamIsSentAgainThenWaits(t *testing.T) {
	c := qt.New(t)
	var p continuer.Progress
	lost := continuer.State{Loss: continuer.LaterStage}
	now := start
	c.Assert(p.Decide(now, lost), qt.Equals, continuer.Reroute)
	p.Refused()
	c.Assert(p.Decide(now, lost), qt.Equals, continuer.Reroute)
	for i, delay := range []time.Duration{100 * ms, 200 * ms, 400 * ms, 400 * ms} {
		p.Refused()
		c.Assert(p.Decide(now, lost), qt.Equals, continuer.SendAgain)
		until, isFirst := p.Postpone(now)
		c.Assert(until.Sub(now), qt.Equals, delay)
		c.Assert(isFirst, qt.Equals, i == 0)
		c.Assert(p.Decide(until.Add(-ms), lost), qt.Equals, continuer.Wait)
		now = until
		c.Assert(p.Decide(now, lost), qt.Equals, continuer.Reroute)
	}
	p.Resumed()
	c.Assert(p.Decide(now, lost), qt.Equals, continuer.Reroute)
}

// TestSilenceIsJudgedByGaps guards against streams that leave targets which are only slow, that read their prompt, or of which nothing is
// known, and against those that wait for a silent chain until their gap is late.
func TestSilenceIsJudgedByGaps(t *testing.T) {
	for _, row := range []struct {
		name                      string
		silence, typical, longest time.Duration
		isReading, isOff, isSpent bool
		want                      continuer.Action
	}{
		{name: "silent chain", silence: 145 * ms, typical: 40 * ms, longest: 110 * ms, want: continuer.LeaveSilent},
		{name: "within the longest gap", silence: 140 * ms, typical: 40 * ms, longest: 110 * ms, want: continuer.Wait},
		{name: "slow target", silence: 250 * ms, typical: 70 * ms, longest: 200 * ms, want: continuer.Wait},
		{name: "slow target that is probed", silence: 259 * ms, typical: 90 * ms, longest: 90 * ms, want: continuer.Wait},
		{name: "fast chain", silence: 79 * ms, typical: 5 * ms, longest: 20 * ms, want: continuer.Wait},
		{name: "no known gap", silence: 200 * ms, want: continuer.Wait},
		{name: "reading the prompt", silence: 200 * ms, typical: 20 * ms, longest: 20 * ms, isReading: true, want: continuer.Wait},
		{name: "no gap objective", silence: 200 * ms, typical: 20 * ms, longest: 20 * ms, isOff: true, want: continuer.Wait},
		{name: "others have moved", silence: 200 * ms, typical: 20 * ms, longest: 20 * ms, isSpent: true, want: continuer.Wait},
		{name: "nobody may move", silence: 260 * ms, typical: 20 * ms, longest: 20 * ms, isSpent: true, want: continuer.Probe},
	} {
		t.Run(row.name, func(t *testing.T) {
			var p continuer.Progress
			got := p.Decide(start, continuer.State{
				HasEvents: !row.isReading, FollowsGaps: !row.isOff, MayMove: !row.isSpent,
				Silence: row.silence, TypicalGap: row.typical, LongestGap: row.longest,
			})
			qt.Assert(t, got, qt.Equals, row.want)
		})
	}
}

// TestStreamsOnTimeGoFirst guards against room that streams take which are late anyway, while others become late for want of it: the
// late ones of a lost target wait for 200 ms, well before their callers leave.
func TestStreamsOnTimeGoFirst(t *testing.T) {
	c := qt.New(t)
	var p continuer.Progress
	late := continuer.State{Loss: continuer.LaterStage, IsLate: true}
	c.Assert(p.Decide(start, late), qt.Equals, continuer.Wait)
	c.Assert(p.Decide(start.Add(199*ms), late), qt.Equals, continuer.Wait)
	c.Assert(p.Decide(start.Add(200*ms), late), qt.Equals, continuer.Reroute)
}

// TestLostFirstTargetIsNotAsked guards against orders to a target that has failed: the stream is sent again at once.
func TestLostFirstTargetIsNotAsked(t *testing.T) {
	var p continuer.Progress
	qt.Assert(t, p.Decide(start, continuer.State{Loss: continuer.FirstTarget}), qt.Equals, continuer.SendAgain)
}
