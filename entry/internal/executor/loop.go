package executor

import (
	"context"
	"sync"
	"time"

	"fuchsiabridge.example/common/messenger"
)

// tickInterval is the time between two ticks.
const tickInterval = 10 * time.Millisecond

// loop applies the events of one mailbox to one reducer, one at a time. The mailbox needs no limit
// of its own: the server limits the open requests, and each has a bounded number of pending events.
type loop struct {
	reducer messenger.Reducer
	run     func(messenger.Effect)
	wake    chan struct{}

	mu      sync.Mutex
	mailbox []messenger.Event
}

func newLoop(reducer messenger.Reducer, run func(messenger.Effect)) *loop {
	return &loop{reducer: reducer, run: run, wake: make(chan struct{}, 1)}
}

func (l *loop) submit(event messenger.Event) {
	l.mu.Lock()
	l.mailbox = append(l.mailbox, event)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *loop) drain() []messenger.Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	events := l.mailbox
	l.mailbox = nil
	return events
}

// serve applies events until ctx ends.
func (l *loop) serve(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			l.apply(messenger.Tick{})
		case <-l.wake:
		}
		for _, event := range l.drain() {
			l.apply(event)
		}
	}
}

func (l *loop) apply(event messenger.Event) {
	for _, effect := range l.reducer.Apply(time.Now(), event) {
		l.run(effect)
	}
}
