package limiter

import (
	"maps"
	"math"
	"time"

	"fuchsiabridge.example/common/identifier"
)

const (
	// takeoverTime is how long a new holder grants little: its predecessor may not know yet that it has been replaced.
	takeoverTime = 2500 * time.Millisecond
	// partialShare is the part of a limit that a holder grants while another node may hold the same partition.
	partialShare = 0.35
	// minRate is the number of grants per second of a target that names a lower limit: the end of the limit shows
	// only in its answers.
	minRate = 1.0 / 3
	// minBurst and burstTime bound the grants that are saved up while nobody asks.
	minBurst  = 2
	burstTime = 50 * time.Millisecond
	// waitPerDenial is added to the time after which a node may ask again, for each denial in pressureTime, so
	// that many nodes do not ask more often than there are grants.
	waitPerDenial = 10 * time.Millisecond
	pressureTime  = time.Second
	// maxWait is the longest time after which a node asks again, and so learns that a limit has ended.
	maxWait = 2 * time.Second
	// bucketLifetime is how long a bucket is kept that nobody asks for.
	bucketLifetime = time.Minute
)

// Tenure is the time in which a node holds a partition of targets, and grants what their limits allow.
type Tenure struct {
	Since time.Time
	// Until is when another node may hold the partition.
	Until time.Time
}

// IsExpired reports whether another node may hold the partition.
func (t Tenure) IsExpired(now time.Time) bool { return !now.Before(t.Until) }

// isExclusive reports whether no other node can still or already grant for the partition.
func (t Tenure) isExclusive(now time.Time) bool {
	return !t.IsExpired(now) && now.Sub(t.Since) >= takeoverTime
}

// Grant is the answer to a node that asks whether it may send a request to a target.
type Grant struct {
	IsGranted bool `json:"is_granted,omitempty"`
	// WaitMS is the time after which it may ask again, in milliseconds, if it was not granted.
	WaitMS int64 `json:"wait_ms,omitempty"`
	// IsNotHolder says that the answering node does not hold the target's partition.
	IsNotHolder bool `json:"is_not_holder,omitempty"`
	// IsExpired says that another node may hold it by now.
	IsExpired bool `json:"is_expired,omitempty"`
	// Known is what the holder knows of the limit.
	Known Report `json:"known"`
}

// bucket holds the grants that are left for one target.
type bucket struct {
	known    Knowledge
	grants   float64
	filledAt time.Time
	// pressure counts recent denials; it decays over pressureTime.
	pressure float64
	askedAt  time.Time
}

// Buckets hand out what the limits of targets allow, to all nodes together.
type Buckets struct {
	buckets  map[identifier.TargetID]*bucket
	prunedAt time.Time
}

// NewBuckets returns buckets for no target yet.
func NewBuckets() *Buckets { return &Buckets{buckets: map[identifier.TargetID]*bucket{}} }

// Learn applies what another node knows of a limit.
func (b *Buckets) Learn(now time.Time, r Report) {
	k := r.Knowledge(now)
	held, ok := b.buckets[r.Target]
	if !ok {
		b.prune(now)
		b.buckets[r.Target] = &bucket{known: k, filledAt: now, askedAt: now}
		return
	}
	if k.At.After(held.known.At) {
		held.known = k
	}
}

// Take answers a node that asks for a grant or reports a limit.
func (b *Buckets) Take(now time.Time, asked Ask, tenure Tenure) Grant {
	b.Learn(now, asked.Report)
	held := b.buckets[asked.Target]
	grant := Grant{IsExpired: tenure.IsExpired(now), Known: NewReport(now, asked.Target, held.known)}
	if asked.IsReport {
		return grant
	}
	if held.known.IsEnded {
		grant.IsGranted = true
		return grant
	}
	held.decay(now)
	rate := held.fill(now, tenure)
	if held.grants >= 1 {
		held.grants--
		grant.IsGranted = true
		return grant
	}
	held.pressure++
	next := time.Duration((1 - held.grants) / rate * float64(time.Second))
	wait := min(maxWait, next+time.Duration(held.pressure*float64(waitPerDenial)))
	grant.WaitMS = max(1, wait.Milliseconds())
	return grant
}

// fill adds the grants that have become free since the last time, and returns their number per second. What was
// saved up before the tenure is not granted: the predecessor may have granted it.
func (b *bucket) fill(now time.Time, tenure Tenure) float64 {
	rate, burst := max(float64(b.known.Rate), minRate), float64(minBurst)
	if tenure.isExclusive(now) {
		burst = max(burst, rate*burstTime.Seconds())
	} else {
		rate, burst = partialShare*rate, 1
	}
	if b.filledAt.Before(tenure.Since) {
		b.grants, b.filledAt = 0, tenure.Since
	}
	passed := max(0, now.Sub(b.filledAt).Seconds())
	b.grants = min(burst, b.grants+rate*passed)
	b.filledAt = now
	return rate
}

func (b *bucket) decay(now time.Time) {
	passed := now.Sub(b.askedAt)
	b.pressure *= math.Exp(-float64(passed) / float64(pressureTime))
	b.askedAt = now
}

// prune forgets buckets that nobody asks for.
func (b *Buckets) prune(now time.Time) {
	if now.Sub(b.prunedAt) < bucketLifetime {
		return
	}
	b.prunedAt = now
	maps.DeleteFunc(b.buckets, func(_ identifier.TargetID, held *bucket) bool { return now.Sub(held.askedAt) > bucketLifetime })
}
