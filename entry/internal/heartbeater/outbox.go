package heartbeater

import (
	"sort"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/watcher"
)

const (
	// Limits of what one heartbeat carries. Above maxMeshPeers heartbeats must stay small.
	maxMeshReports   = 128
	maxGossipReports = 2
	maxMembers       = 6
	// maxQueuedReports bounds the reports that wait to be sent.
	maxQueuedReports = 4096
)

type reportKey struct {
	target   identifier.TargetID
	observer identifier.NodeID
	// noPollResult keeps a forwarded leaving state from replacing the observer's own report on the target.
	noPollResult bool
}

type outgoingReport struct {
	report        watcher.Report
	transmitsLeft int
}

type outgoingMember struct {
	member        Member
	transmitsLeft int
}

// outbox holds the updates that are still to be sent, each a number of times.
type outbox struct {
	reports map[reportKey]*outgoingReport
	members map[identifier.NodeID]*outgoingMember
}

func newOutbox() outbox {
	return outbox{reports: map[reportKey]*outgoingReport{}, members: map[identifier.NodeID]*outgoingMember{}}
}

func (o *outbox) hasReports() bool { return len(o.reports) > 0 }

// addReports replaces older reports on the same target by the same observer. A full report that is
// still queued keeps its status if the newer one only brings the load.
func (o *outbox) addReports(reports []watcher.Report, transmits int) {
	for _, r := range reports {
		key := reportKey{r.Target, r.Observer, r.NoPollResult}
		queued, ok := o.reports[key]
		if ok && r.Sequence <= queued.report.Sequence {
			continue
		}
		if ok && r.Status == nil && queued.report.Status != nil && queued.report.Generation == r.Generation {
			status := *queued.report.Status
			status.Queued = r.Queued
			r.Status = &status
		}
		if !ok && len(o.reports) >= maxQueuedReports {
			continue
		}
		o.reports[key] = &outgoingReport{r, transmits}
	}
}

func (o *outbox) addMember(m Member, transmits int) {
	o.members[m.Node] = &outgoingMember{m, transmits}
}

// nextBatch returns what the next heartbeat carries. The updates sent least often come first.
func (o *outbox) nextBatch(isMesh bool) ([]watcher.Report, []Member) {
	reportLimit, memberLimit := maxGossipReports, maxMembers
	if isMesh {
		reportLimit = maxMeshReports
	}
	var reports []watcher.Report
	for _, key := range o.reportKeys() {
		if len(reports) == reportLimit {
			break
		}
		item := o.reports[key]
		reports = append(reports, item.report)
		if item.transmitsLeft--; item.transmitsLeft <= 0 {
			delete(o.reports, key)
		}
	}
	var members []Member
	for _, id := range o.memberKeys() {
		if len(members) == memberLimit {
			break
		}
		item := o.members[id]
		members = append(members, item.member)
		if item.transmitsLeft--; item.transmitsLeft <= 0 {
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
		if a.transmitsLeft != b.transmitsLeft {
			return a.transmitsLeft > b.transmitsLeft
		}
		if keys[i].target != keys[j].target {
			return keys[i].target < keys[j].target
		}
		if keys[i].observer != keys[j].observer {
			return keys[i].observer < keys[j].observer
		}
		return keys[i].noPollResult
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
		if a.transmitsLeft != b.transmitsLeft {
			return a.transmitsLeft > b.transmitsLeft
		}
		return keys[i] < keys[j]
	})
	return keys
}
