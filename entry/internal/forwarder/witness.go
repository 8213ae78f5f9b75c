package forwarder

import (
	"sync"
	"time"
)

// newestShare is the weight of the newest pause in the average.
const newestShare = 0.05

// Witness notes when each target was last heard of by any request, and its usual pause between events.
type Witness struct {
	mu   sync.Mutex
	seen map[string]sight
}

type sight struct {
	heard time.Time
	pause time.Duration
}

// NewWitness returns a witness that has heard of no target.
func NewWitness() *Witness { return &Witness{seen: map[string]sight{}} }

func (w *Witness) hear(address string, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.seen[address]
	s.heard = now
	w.seen[address] = s
}

// pace takes in a pause between two events.
func (w *Witness) pace(address string, pause time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.seen[address]
	if s.pause == 0 {
		s.pause = pause
	}
	s.pause += time.Duration(newestShare * float64(pause-s.pause))
	w.seen[address] = s
}

// quiet returns for how long a target was not heard of, at most since an instant, and its usual pause.
func (w *Witness) quiet(address string, since, now time.Time) (time.Duration, time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.seen[address]
	if s.heard.After(since) {
		since = s.heard
	}
	return now.Sub(since), s.pause
}
