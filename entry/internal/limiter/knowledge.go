package limiter

import (
	"time"

	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/common/identifier"
)

// Knowledge is what a node knows of a target's limit, and since when.
type Knowledge struct {
	Rate describer.RequestRate
	// IsEnded says that the target no longer names a limit.
	IsEnded bool
	// At is when the answer was read that shows it.
	At time.Time
}

// Report tells another node what this one knows of a target's limit.
type Report struct {
	Target  identifier.TargetID   `json:"target"`
	Rate    describer.RequestRate `json:"rate"`
	IsEnded bool                  `json:"is_ended,omitempty"`
	// AgeMS is the age of the knowledge, in milliseconds, as the clocks of nodes differ.
	AgeMS int64 `json:"age_ms"`
}

// Ask asks the node that grants whether a request may be sent to a target, and tells it what the asking node knows.
type Ask struct {
	Report
	// IsReport says that no grant is asked for.
	IsReport bool `json:"is_report,omitempty"`
}

// NewReport returns a report of what is known now.
func NewReport(now time.Time, target identifier.TargetID, k Knowledge) Report {
	return Report{Target: target, Rate: k.Rate, IsEnded: k.IsEnded, AgeMS: now.Sub(k.At).Milliseconds()}
}

// Knowledge returns what a report that arrives now tells.
func (r Report) Knowledge(now time.Time) Knowledge {
	return Knowledge{Rate: r.Rate, IsEnded: r.IsEnded, At: now.Add(-time.Duration(r.AgeMS) * time.Millisecond)}
}

// IsSameAs reports whether two nodes know the same, whenever they have learned it.
func (k Knowledge) IsSameAs(other Knowledge) bool {
	return k.IsEnded == other.IsEnded && (k.IsEnded || k.Rate == other.Rate)
}

// LimitsLearned is the event that another node has told what it knows of limits.
type LimitsLearned struct{ Reports []Report }
