package limiter_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/entry/internal/limiter"
)

var start = time.Unix(1_000_000, 0)

func at(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

func named(rate describer.RequestRate) describer.NamedLimit {
	return describer.NamedLimit{Kind: describer.Limited, Rate: rate}
}

// TestLimitIsReadFromEachKindOfAnswer guards against a limit that is missed because a refusal or a report names it,
// and against one that counts as ended because such an answer does not name it.
func TestLimitIsReadFromEachKindOfAnswer(t *testing.T) {
	for _, kind := range []limiter.AnswerKind{limiter.RequestAnswer, limiter.RefusalAnswer, limiter.ReportAnswer} {
		c := qt.New(t)
		tracker := limiter.NewTracker()
		c.Assert(tracker.IsLimited("i-1"), qt.IsFalse)
		c.Assert(tracker.Read(at(1), limiter.AnswerRead{Target: "i-1", Kind: kind, Limit: named(5), SentAt: at(0.9)}), qt.Equals, limiter.Named)
		c.Assert(tracker.Read(at(2), limiter.AnswerRead{Target: "i-1", Kind: kind, Limit: named(3), SentAt: at(1.9)}), qt.Equals, limiter.Changed)
		c.Assert(tracker.Limits(at(3)), qt.DeepEquals, []describer.LimitStatus{{Target: "i-1", Rate: 3, LimitedMS: 2000, NamedMSAgo: 1000}})
		want := limiter.Unchanged
		if kind == limiter.RequestAnswer {
			want = limiter.Ended
		}
		c.Assert(tracker.Read(at(4), limiter.AnswerRead{Target: "i-1", Kind: kind, SentAt: at(3.9)}), qt.Equals, want)
		c.Assert(tracker.IsLimited("i-1"), qt.Equals, kind != limiter.RequestAnswer)
	}
}

// TestLateAnswerEndsNoLimit guards against a limit that counts as ended because of an answer from before it was named.
func TestLateAnswerEndsNoLimit(t *testing.T) {
	c := qt.New(t)
	tracker := limiter.NewTracker()
	tracker.Read(at(1), limiter.AnswerRead{Target: "i-1", Limit: named(5), SentAt: at(0.9)})
	c.Assert(tracker.Read(at(2), limiter.AnswerRead{Target: "i-1", SentAt: at(0.95)}), qt.Equals, limiter.Unchanged)
	c.Assert(tracker.IsLimited("i-1"), qt.IsTrue)
	c.Assert(tracker.Read(at(2), limiter.AnswerRead{Target: "i-1", SentAt: at(1.1)}), qt.Equals, limiter.Ended)
}

// TestMalformedLimitChangesNothing guards against a limit that begins or ends with an answer that cannot be read.
func TestMalformedLimitChangesNothing(t *testing.T) {
	c := qt.New(t)
	tracker := limiter.NewTracker()
	malformed := limiter.AnswerRead{Target: "i-1", Limit: describer.NamedLimit{Kind: describer.MalformedLimit}, SentAt: at(3)}
	c.Assert(tracker.Read(at(3.1), malformed), qt.Equals, limiter.Malformed)
	c.Assert(tracker.Read(at(3.1), malformed), qt.Equals, limiter.Unchanged)
	c.Assert(tracker.IsLimited("i-1"), qt.IsFalse)
	tracker.Read(at(4), limiter.AnswerRead{Target: "i-1", Limit: named(5), SentAt: at(3.9)})
	c.Assert(tracker.Read(at(5), malformed), qt.Equals, limiter.Malformed)
	c.Assert(tracker.IsLimited("i-1"), qt.IsTrue)
}
