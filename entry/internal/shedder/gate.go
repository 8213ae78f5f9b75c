package shedder

import (
	"math"
	"time"

	"fuchsiabridge.example/common/identifier"
)

const (
	// Each rejection by a target multiplies the factor on the limit by rejectionFactor, down to minFactor. It grows by factorRecovery
	// in a second, relative to itself. At minFactor requests may be shed while half of the places are free: the rejections show
	// that what is short is memory.
	rejectionFactor = 0.97
	minFactor       = 0.3
	factorRecovery  = 0.05
	// The rate of shed requests is the lower one of two with these half-lives: a demand that is told for longer than it lasts keeps
	// capacity from other nodes after a burst.
	demandHalfLife = 2 * time.Second
	shortHalfLife  = demandHalfLife / 4
	// assumedStreamTime is the mean time of streams as long as none has ended, newestWeight the weight of the newest one.
	assumedStreamTime = 2 * time.Second
	newestWeight      = 0.05
	// reserved is the fraction of the limit that is kept from the least urgent rank.
	reserved = 0.2
	// returningFraction is the fraction of the limit for requests that were refused before.
	returningFraction = 1.05
	// busyFraction is the fraction of the limit from which on accounts count, and maxAccountParts how many equal parts of the open
	// requests one of them may have.
	busyFraction    = 0.8
	maxAccountParts = 2.0
	// starvedFraction is the fraction of the admitted share of all requests below which a rank gets the whole limit, if at least
	// minArrivals of its requests show that.
	starvedFraction = 0.25
	minArrivals     = 4
)

// gate holds the requests of one service.
type gate struct {
	open         map[identifier.CallID]*entry
	waiting      map[identifier.CallID]*entry
	waitingBytes int
	// accounts counts the open requests of each account.
	accounts map[identifier.AccountID]int
	recent   window
	// factor is the one on the limit as of changedAt.
	factor    float64
	changedAt time.Time
	// shedRate is the number of shed requests in a second as of shedAt, and shortRate the same over a shorter time.
	shedRate  float64
	shortRate float64
	shedAt    time.Time
	// meanTime is the mean time of streams.
	meanTime time.Duration
	// admitted, waited and shedCount count requests, for the metrics.
	admitted, waited, shedCount int64
}

func newGate() *gate {
	return &gate{
		open: map[identifier.CallID]*entry{}, waiting: map[identifier.CallID]*entry{}, accounts: map[identifier.AccountID]int{},
		factor: 1, meanTime: assumedStreamTime,
	}
}

// factorAt returns the factor on the limit.
func (g *gate) factorAt(now time.Time) float64 {
	return min(1, g.factor*math.Pow(1+factorRecovery, max(0, now.Sub(g.changedAt).Seconds())))
}

func (g *gate) rejected(now time.Time) {
	g.factor, g.changedAt = max(minFactor, rejectionFactor*g.factorAt(now)), now
}

// position returns the rank of a request in the waiting order: that of the most urgent ones if its rank has starved, and one below the
// least urgent if its account has too much.
func (g *gate) position(now time.Time, e *entry, limit float64) Rank {
	accounts, own := len(g.accounts), g.accounts[e.Account]+1
	if own == 1 {
		accounts++
	}
	isBusy := float64(len(g.open)) >= busyFraction*limit
	if isBusy && float64(own) > maxAccountParts*float64(len(g.open)+1)/float64(accounts) {
		return Rank(e.Ranks)
	}
	if g.recent.isStarved(now, e.Rank) {
		return 0
	}
	return e.Rank
}

// fraction returns the fraction of the limit up to which a request is admitted.
func (g *gate) fraction(e *entry) float64 {
	switch {
	case e.IsReturning && e.position < Rank(e.Ranks):
		return returningFraction
	case e.Ranks < 2:
		return 1
	}
	return 1 - reserved*float64(e.position)/float64(e.Ranks-1)
}

// ahead counts the waiting requests that come before one.
func (g *gate) ahead(call identifier.CallID, e *entry) int {
	n := 0
	for other, w := range g.waiting {
		if other != call && g.comesBefore(w, e, other < call) {
			n++
		}
	}
	return n
}

// comesBefore reports whether a request comes before another one; isEarlier breaks a tie. What one account has too much of comes last.
func (g *gate) comesBefore(a, b *entry, isEarlier bool) bool {
	isOverA, isOverB := a.position >= Rank(a.Ranks), b.position >= Rank(b.Ranks)
	switch {
	case isOverA != isOverB:
		return isOverB
	case a.IsReturning != b.IsReturning:
		return a.IsReturning
	case a.position != b.position:
		return a.position < b.position
	case g.accounts[a.Account] != g.accounts[b.Account]:
		return g.accounts[a.Account] < g.accounts[b.Account]
	}
	return isEarlier
}

// hasRoom reports whether a request may wait.
func (g *gate) hasRoom(call identifier.CallID, e *entry) bool {
	if _, ok := g.waiting[call]; ok {
		return true
	}
	return len(g.waiting) < maxWaiting && g.waitingBytes+e.Bytes <= maxWaitingBytes
}

func (g *gate) wait(call identifier.CallID, e *entry) {
	if _, ok := g.waiting[call]; ok {
		return
	}
	g.waiting[call] = e
	g.waitingBytes += e.Bytes
	g.waited++
}

func (g *gate) stopWaiting(call identifier.CallID) {
	if e, ok := g.waiting[call]; ok {
		delete(g.waiting, call)
		g.waitingBytes -= e.Bytes
	}
}

func (g *gate) admit(now time.Time, call identifier.CallID, e *entry) {
	g.stopWaiting(call)
	e.began = now
	g.open[call] = e
	g.accounts[e.Account]++
	g.recent.add(now, e.Rank, 0, 1)
	g.admitted++
}

func (g *gate) shed(now time.Time, call identifier.CallID) {
	g.stopWaiting(call)
	age := now.Sub(g.shedAt)
	g.shedRate = g.shedRate*decay(age, demandHalfLife) + math.Ln2/demandHalfLife.Seconds()
	g.shortRate = g.shortRate*decay(age, shortHalfLife) + math.Ln2/shortHalfLife.Seconds()
	g.shedAt = now
	g.shedCount++
}

func (g *gate) leave(now time.Time, call identifier.CallID, isComplete bool) {
	g.stopWaiting(call)
	e, ok := g.open[call]
	if !ok {
		return
	}
	delete(g.open, call)
	if g.accounts[e.Account]--; g.accounts[e.Account] == 0 {
		delete(g.accounts, e.Account)
	}
	if isComplete {
		g.meanTime += time.Duration(newestWeight * float64(now.Sub(e.began)-g.meanTime))
	}
}

func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-age.Seconds() / halfLife.Seconds())
}

// demand returns the number of requests that would be open if none had been shed.
func (g *gate) demand(now time.Time) float64 {
	age := now.Sub(g.shedAt)
	rate := min(g.shedRate*decay(age, demandHalfLife), g.shortRate*decay(age, shortHalfLife))
	return float64(len(g.open)) + rate*g.meanTime.Seconds()
}
