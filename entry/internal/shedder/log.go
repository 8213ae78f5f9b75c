package shedder

import (
	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
)

// Log logs that a request is shed, or begins to wait.
func (v Verdict) Log(id identifier.RequestID, rank Rank) []messenger.Effect {
	if v.Outcome == Admitted || (v.Outcome == Waits && !v.IsFirst) {
		return nil
	}
	return []messenger.Effect{messenger.Log{Event: eventlogger.RequestNotAdmitted, Subject: "request/" + string(id), Values: []any{
		"outcome", v.Outcome, "rank", rank, "open", v.Open, "limit", v.Limit, "share", v.Share, "share_age_ms", v.ShareAge.Milliseconds(), "factor", v.Factor,
	}}}
}
