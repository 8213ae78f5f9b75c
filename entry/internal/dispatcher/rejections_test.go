package dispatcher_test

import (
	"net/http"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/entry/internal/avoider"
	"fuchsiabridge.example/entry/internal/dispatcher"
	"fuchsiabridge.example/entry/internal/loadtracker"
)

// TestRequestsGoAroundTargetsThatReject guards against a stage without room that is only avoided as the first one of its chain, or only by
// the node that it has rejected; against a rejection that is neither logged nor told.
func TestRequestsGoAroundTargetsThatReject(t *testing.T) {
	c := qt.New(t)
	uses := func(e messenger.Effect, address string) bool {
		return slices.ContainsFunc(e.(dispatcher.Send).Chain, func(s describer.Stage) bool { return s.Address == address })
	}
	met, told := readyHarness(), readyHarness()
	// Nodes avoid targets for longer, and tell each other, while they get load reports, as in a large fleet.
	met.apply(0, dispatcher.LoadsLearned{Reports: []loadtracker.Report{{Target: "draft-a0", Pace: 1}}})
	call, _ := met.sendRequest(0, "/draft/", "key")
	var rejections []avoider.Rejection
	for _, effect := range met.dispatcher.Apply(start, dispatcher.AttemptReported{
		Call: call, Outcome: dispatcher.NotRun, Status: http.StatusServiceUnavailable, FaultAddress: "draft-b1",
	}) {
		switch e := effect.(type) {
		case avoider.TellRejections:
			rejections = append(rejections, e.Rejections...)
		case messenger.Log:
			met.logs = append(met.logs, e)
		}
	}
	c.Assert(rejections, qt.HasLen, 1)
	told.apply(0, avoider.RejectionsLearned{Rejections: rejections})
	for _, d := range []*harness{met, told} {
		isLogged := func(l messenger.Log) bool {
			return l.Event == eventlogger.TargetRejects && l.Subject == "target/draft-b1"
		}
		c.Check(slices.ContainsFunc(d.logs, isLogged), qt.IsTrue)
		c.Check(d.dispatcher.Status(start).Rejections.Avoided, qt.Equals, 1)
		for range 50 {
			_, e := d.sendRequest(200*time.Millisecond, "/draft/", "key")
			c.Assert(uses(e, "draft-b1"), qt.IsFalse)
		}
	}
}
