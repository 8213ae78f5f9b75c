package heartbeater

import (
	"sort"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/watcher"
)

const (
	// Bounds on what one heartbeat carries; above meshLimit a heartbeat must stay small.
	meshReports  = 128
	fewReports   = 2
	fewMembers   = 6
	reportsLimit = 4096
)

type reportKey struct {
	target   identifier.TargetID
	observer identifier.NodeID
	// unseen keeps a mark from replacing what the observer saw.
	unseen bool
}

type outgoingReport struct {
	report watcher.Report
	left   int
}

type outgoingMember struct {
	member Member
	left   int
}

// outbox holds what is still to be told, each item a number of times.
type outbox struct {
	reports map[reportKey]*outgoingReport
	members map[identifier.NodeID]*outgoingMember
}

func newOutbox() outbox {
	return outbox{reports: map[reportKey]*outgoingReport{}, members: map[identifier.NodeID]*outgoingMember{}}
}

func (o *outbox) hasReports() bool { return len(o.reports) > 0 }

// addReports replaces older reports of the same target by the same observer. A whole
// report that was not told yet keeps its status when only the load came since.
func (o *outbox) addReports(reports []watcher.Report, copies int) {
	for _, r := range reports {
		key := reportKey{r.Target, r.Observer, r.Unseen}
		waiting, ok := o.reports[key]
		if ok && r.Sequence <= waiting.report.Sequence {
			continue
		}
		if ok && r.Status == nil && waiting.report.Status != nil && waiting.report.Generation == r.Generation {
			status := *waiting.report.Status
			status.Queued = r.Queued
			r.Status = &status
		}
		if !ok && len(o.reports) >= reportsLimit {
			continue
		}
		o.reports[key] = &outgoingReport{r, copies}
	}
}

func (o *outbox) addMember(m Member, copies int) {
	o.members[m.Node] = &outgoingMember{m, copies}
}

// take returns what the next heartbeat carries: what was told least goes first.
func (o *outbox) take(isMesh bool) ([]watcher.Report, []Member) {
	reportsWanted, membersWanted := fewReports, fewMembers
	if isMesh {
		reportsWanted = meshReports
	}
	var reports []watcher.Report
	for _, key := range o.reportKeys() {
		if len(reports) == reportsWanted {
			break
		}
		item := o.reports[key]
		reports = append(reports, item.report)
		if item.left--; item.left <= 0 {
			delete(o.reports, key)
		}
	}
	var members []Member
	for _, id := range o.memberKeys() {
		if len(members) == membersWanted {
			break
		}
		item := o.members[id]
		members = append(members, item.member)
		if item.left--; item.left <= 0 {
			delete(o.members, id)
		}
	}
	return reports, members
}

func (o *outbox) reportKeys() []reportKey {
	keys := make([]reportKey, 0, len(o.reports))
	for key := range o.reports {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool {
		a, b := o.reports[keys[i]], o.reports[keys[j]]
		if a.left != b.left {
			return a.left > b.left
		}
		if keys[i].target != keys[j].target {
			return keys[i].target < keys[j].target
		}
		if keys[i].observer != keys[j].observer {
			return keys[i].observer < keys[j].observer
		}
		return keys[i].unseen
	})
	return keys
}

func (o *outbox) memberKeys() []identifier.NodeID {
	keys := make([]identifier.NodeID, 0, len(o.members))
	for key := range o.members {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool {
		a, b := o.members[keys[i]], o.members[keys[j]]
		if a.left != b.left {
			return a.left > b.left
		}
		return keys[i] < keys[j]
	})
	return keys
}
