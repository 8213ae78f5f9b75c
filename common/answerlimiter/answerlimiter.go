// Package answerlimiter bounds the memory that a process holds of the answers it reads, all of them together. When the bound is reached,
// it gives up answers of the source that holds most, large ones first.
package answerlimiter

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/machinereader"
)

const (
	// freeBytes is the size up to which an answer is ordinary. Ordinary answers are given up only from ordinaryFactor times the limit on.
	freeBytes      = 64 << 10
	ordinaryFactor = 2
	// minAge is added to the time for which an answer has held memory, so that its size counts from the beginning.
	minAge = 100 * time.Millisecond
	// logInterval limits the log lines on answers that were given up to one in an interval.
	logInterval = time.Second

	// machineShare divides the machine's memory by default: a sixth is for answers, a third for callers.
	machineShare = 6
	// The default is at least minBytes, enough to relay the largest answer beside ordinary ones, and at most maxBytes.
	minBytes = 48 << 20
	maxBytes = 256 << 20
	// heapFactor is the size that Go's heap reaches, relative to what is live in it, before garbage is collected (GOGC=100).
	heapFactor = 2
	bytesPerMB = 1 << 20
)

// ErrMemory is returned for an answer that was given up because no memory is left for it.
var ErrMemory = errors.New("no memory is left for an answer of this size")

// Bytes returns how many live bytes all answers of a process may hold for the given setting in MB, which is about resident memory. 0 stands
// for a share of what the machine has.
func Bytes(megabytes int) int64 {
	memory := int64(megabytes) * bytesPerMB
	if memory == 0 {
		memory = min(maxBytes, max(minBytes, machinereader.MemoryBytes()/machineShare))
	}
	return memory / heapFactor
}

// Limiter bounds what its answers hold together.
type Limiter struct {
	*shared
	limit int64
	// parent is the limiter whose answers include those of this one, or nil.
	parent *Limiter
	held   int64
	// answers are those that can be given up.
	answers map[*Answer]struct{}
}

// shared is what a limiter and its parts have in common.
type shared struct {
	mu sync.Mutex
	// dropped counts the answers that were given up, unlogged those since the last log line.
	dropped  int64
	unlogged int
	loggedAt time.Time
}

// NewLimiter returns a limiter of a number of live bytes.
func NewLimiter(limit int64) *Limiter {
	return &Limiter{shared: &shared{}, limit: limit, answers: map[*Answer]struct{}{}}
}

// NewDefault returns the limiter for a program that has no setting for it.
func NewDefault() *Limiter { return NewLimiter(Bytes(0)) }

// Part returns a limiter for some of the answers, which also keep to this limiter. It counts what they hold beyond the size of ordinary ones.
func (l *Limiter) Part(limit int64) *Limiter {
	return &Limiter{shared: l.shared, limit: limit, parent: l, answers: map[*Answer]struct{}{}}
}

// Held returns the number of bytes held now, and the number of answers given up since the start.
func (l *Limiter) Held() (held, dropped int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held, l.dropped
}

// Source is the address from which answers come.
type Source string

// Answer is what the process holds of one answer.
type Answer struct {
	limiter *Limiter
	source  Source
	drop    func()
	// bytes is the part of the answer for which memory was taken, factor the number of bytes held for each of them, as they are copied.
	bytes  int64
	factor int64
	// since is when the answer began to hold memory.
	since     time.Time
	isDropped bool
}

// Open returns an answer of which nothing was read. factor is the number of bytes that are held for each of its bytes, as it is copied. drop
// is called if the answer is given up, and must end reading it.
func (l *Limiter) Open(source Source, factor int, drop func()) *Answer {
	return &Answer{limiter: l, source: source, drop: drop, factor: int64(factor)}
}

// Hold notes that memory was taken for a number of bytes of the answer in all. It returns ErrMemory if the answer was given up, now or before.
func (a *Answer) Hold(bytes int) error {
	a.limiter.mu.Lock()
	given := a.hold(time.Now(), int64(bytes))
	err := a.err()
	a.limiter.mu.Unlock()
	for _, other := range given {
		other.drop()
	}
	return err
}

// Complete notes that the answer was read completely: it is not given up any more, but holds what it holds until Close. It returns ErrMemory
// if the answer was given up before.
func (a *Answer) Complete() error {
	a.limiter.mu.Lock()
	defer a.limiter.mu.Unlock()
	for l := a.limiter; l != nil; l = l.parent {
		delete(l.answers, a)
	}
	return a.err()
}

// Close notes that the answer holds nothing any more.
func (a *Answer) Close() {
	a.limiter.mu.Lock()
	defer a.limiter.mu.Unlock()
	a.set(0)
}

func (a *Answer) err() error {
	if a.isDropped {
		return ErrMemory
	}
	return nil
}

// hold notes for how many bytes of the answer memory was taken, and returns the answers that are given up for it.
func (a *Answer) hold(now time.Time, bytes int64) []*Answer {
	if a.isDropped {
		return nil
	}
	if a.bytes == 0 {
		a.since = now
	}
	a.set(bytes)
	var given []*Answer
	for l := a.limiter; l != nil; l = l.parent {
		given = append(given, l.trim(now, a)...)
	}
	return given
}

// set changes how many bytes of the answer are held.
func (a *Answer) set(bytes int64) {
	for l := a.limiter; l != nil; l = l.parent {
		l.held += l.count(bytes)*a.factor - l.count(a.bytes)*a.factor
		if bytes > 0 {
			l.answers[a] = struct{}{}
		} else {
			delete(l.answers, a)
		}
	}
	a.bytes = bytes
}

// count returns how many of an answer's bytes count.
func (l *Limiter) count(bytes int64) int64 {
	if l.parent == nil {
		return bytes
	}
	return max(0, bytes-freeBytes)
}

// weight is larger for answers that hold more for longer.
func (a *Answer) weight(now time.Time) float64 {
	return float64(a.bytes*a.factor) * (now.Sub(a.since) + minAge).Seconds()
}

// trim gives up answers until the limit is kept that an answer has exceeded.
func (l *Limiter) trim(now time.Time, last *Answer) []*Answer {
	var given []*Answer
	for l.held > l.limit {
		victim := l.victim(now, last)
		if victim == nil {
			break
		}
		l.note(now, victim)
		victim.isDropped = true
		victim.set(0)
		given = append(given, victim)
	}
	return given
}

// victim returns the answer that is given up next, or nil if there is none. It is one of the source that holds most, so that a source whose
// answers do not end cannot displace the answers of others: the last one to grow, which releases its memory at once, or the one that holds
// most for longest.
func (l *Limiter) victim(now time.Time, last *Answer) *Answer {
	source := l.largestSource()
	if l.isDroppable(last) && last.source == source {
		return last
	}
	var found *Answer
	for a := range l.answers {
		if l.isDroppable(a) && a.source == source && (found == nil || a.weight(now) > found.weight(now)) {
			found = a
		}
	}
	return found
}

// isDroppable reports whether an answer may be given up now.
func (l *Limiter) isDroppable(a *Answer) bool {
	_, ok := l.answers[a]
	return ok && (a.bytes > freeBytes || l.held > ordinaryFactor*l.limit)
}

// largestSource returns the source whose droppable answers hold most together.
func (l *Limiter) largestSource() Source {
	held := map[Source]int64{}
	var largest Source
	for a := range l.answers {
		if !l.isDroppable(a) {
			continue
		}
		if held[a.source] += a.bytes * a.factor; held[a.source] > held[largest] {
			largest = a.source
		}
	}
	return largest
}

// note logs that an answer is given up.
func (l *Limiter) note(now time.Time, a *Answer) {
	l.dropped++
	l.unlogged++
	if now.Sub(l.loggedAt) < logInterval {
		return
	}
	eventlogger.Info(eventlogger.AnswerDropped, "source", a.source, "bytes", a.bytes, "age_ms", now.Sub(a.since).Milliseconds(), "held", l.held, "limit", l.limit, "dropped", l.unlogged)
	l.loggedAt, l.unlogged = now, 0
}
