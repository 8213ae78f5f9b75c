package callerguard

import "time"

const (
	// connBytes is what the process holds for a connection without a request: buffers and the stack of a goroutine.
	connBytes = 16 << 10
	// writeStall is the time from which on a write counts as one whose caller does not read.
	writeStall = time.Second
	// minStalled is added to the time without progress, so that what a connection holds counts while it still makes progress.
	minStalled = 100 * time.Millisecond
	// Callers may hold callerShare / wholeShare of the memory. The rest is left to other nodes, so that callers cannot cut a node off from them.
	callerShare = 3
	wholeShare  = 4
	// Connections without a request that take 1 / idleShare of the memory are closed before those whose requests are being read. Otherwise many of
	// them would leave no memory to read a request.
	idleShare = 2
)

// Group is a kind of connections with limits of its own.
type Group int

// The groups of connections: those of callers, and those to the ports for other nodes and operators.
const (
	Callers Group = iota
	Nodes
)

func (g Group) String() string {
	if g == Callers {
		return "callers"
	}
	return "nodes"
}

// Limits are the bounds of a process. LiveBytes is what all connections may hold together, Connections their number in each group.
type Limits struct {
	LiveBytes   int64
	Connections int
}

type state int

const (
	// idle is the state of a connection without a request, reading while a request is read, serving from then on to the end of the answer.
	idle state = iota
	reading
	serving
)

// account is what the process holds for one connection.
type account struct {
	group Group
	close func()
	state state
	// bytes is held for the request, writing for the answer that is being written.
	bytes, writing int64
	// progress is the time of the last byte, change of state, or beginning of a write.
	progress time.Time
	isGone   bool
}

func (a *account) held() int64 { return connBytes + a.bytes + a.writing }

func (a *account) stalled(now time.Time) time.Duration { return now.Sub(a.progress) }

// isDroppable reports whether the connection can be closed without breaking off a request that may run, or an answer that is being read.
func (a *account) isDroppable(now time.Time) bool {
	return a.state == reading || a.writing > 0 && a.stalled(now) >= writeStall
}

// weight is larger for connections that hold more for longer without progress.
func (a *account) weight(now time.Time) float64 {
	return float64(a.held()) * (a.stalled(now) + minStalled).Seconds()
}

// ledger keeps the accounts of all connections. It does no I/O.
type ledger struct {
	limits   Limits
	held     int64
	counts   map[Group]int
	accounts map[*account]struct{}
}

func newLedger(l Limits) *ledger {
	return &ledger{limits: l, counts: map[Group]int{}, accounts: map[*account]struct{}{}}
}

// open takes a connection. If its group has too many, it returns the one that is given up for it: one without a request if there is
// one, else one whose request is being read, else the new one.
func (l *ledger) open(now time.Time, a *account) []*account {
	a.progress = now
	var dropped []*account
	if l.counts[a.group] >= l.limits.Connections {
		victim := l.longestIdle(now, a.group, true)
		if victim == nil {
			victim = l.heaviest(now, a.group, true)
		}
		if victim == nil {
			a.isGone = true
			return []*account{a}
		}
		l.remove(victim)
		dropped = append(dropped, victim)
	}
	l.accounts[a] = struct{}{}
	l.counts[a.group]++
	l.held += a.held()
	return dropped
}

// remove ends an account.
func (l *ledger) remove(a *account) {
	if a.isGone {
		return
	}
	a.isGone = true
	l.held -= a.held()
	l.counts[a.group]--
	delete(l.accounts, a)
}

// add notes that bytes of a request are held, at most the given number in all unless that is 0.
func (l *ledger) add(now time.Time, a *account, bytes, limit int64) {
	if a.isGone {
		return
	}
	if limit > 0 {
		bytes = min(bytes, limit-a.bytes)
	}
	if a.state == idle {
		a.state = reading
	}
	a.bytes += bytes
	a.progress = now
	l.held += bytes
}

// beginWrite notes that bytes of an answer are held until they are written.
func (l *ledger) beginWrite(now time.Time, a *account, bytes int64) {
	if a.isGone {
		return
	}
	a.writing, a.progress = a.writing+bytes, now
	l.held += bytes
}

// endWrite notes that a write of so many bytes has ended.
func (l *ledger) endWrite(now time.Time, a *account, bytes int64) {
	if a.isGone {
		return
	}
	a.writing, a.progress = a.writing-bytes, now
	l.held -= bytes
}

// setState changes the state of a connection. Without a request it holds no bytes of one.
func (l *ledger) setState(now time.Time, a *account, s state) {
	if a.isGone {
		return
	}
	a.state, a.progress = s, now
	if s == idle {
		l.held -= a.bytes
		a.bytes = 0
	}
}

// limit returns the number of bytes up to which a group may add to what is held.
func (l *ledger) limit(g Group) int64 {
	if g == Callers {
		return l.limits.LiveBytes / wholeShare * callerShare
	}
	return l.limits.LiveBytes
}

// trim gives up connections until the group's limit is kept.
func (l *ledger) trim(now time.Time, g Group) []*account {
	var dropped []*account
	for l.held > l.limit(g) {
		victim := l.victim(now, g)
		if victim == nil {
			return dropped
		}
		l.remove(victim)
		dropped = append(dropped, victim)
	}
	return dropped
}

// victim returns the connection that is given up next for want of memory: the one that holds most for longest without progress, or the
// one that has been without a request for longest if there is no such one, or if those without a request take too much.
func (l *ledger) victim(now time.Time, g Group) *account {
	heaviest := l.heaviest(now, g, false)
	if heaviest != nil && l.idleBytes() <= l.limit(g)/idleShare {
		return heaviest
	}
	if longest := l.longestIdle(now, g, false); longest != nil {
		return longest
	}
	return heaviest
}

// idleBytes returns what is held for connections without a request.
func (l *ledger) idleBytes() int64 {
	held := int64(0)
	for a := range l.accounts {
		if a.state == idle {
			held += a.held()
		}
	}
	return held
}

// heaviest returns the droppable account with the largest weight, of all groups or of one.
func (l *ledger) heaviest(now time.Time, g Group, isOwnOnly bool) *account {
	var found *account
	for a := range l.accounts {
		if isOwnOnly && a.group != g || !a.isDroppable(now) {
			continue
		}
		if found == nil || a.weight(now) > found.weight(now) {
			found = a
		}
	}
	return found
}

// longestIdle returns the account that has been without a request for longest, of all groups or of one.
func (l *ledger) longestIdle(now time.Time, g Group, isOwnOnly bool) *account {
	var found *account
	for a := range l.accounts {
		if isOwnOnly && a.group != g || a.state != idle || a.writing > 0 {
			continue
		}
		if found == nil || a.stalled(now) > found.stalled(now) {
			found = a
		}
	}
	return found
}
