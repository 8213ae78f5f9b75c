package crashreporter_test

import (
	"context"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/crashrecorder"
	"fuchsiabridge.example/entry/internal/crashreporter"
	"fuchsiabridge.example/entry/internal/sharer"
	"fuchsiabridge.example/platform/storecaller"
)

// store counts how often poison requests are stored.
type store struct {
	mu  sync.Mutex
	put int
}

func (s *store) NewestPoison(context.Context) ([]storecaller.Poison, error) { return nil, nil }

func (s *store) PutPoison(context.Context, storecaller.Poison) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put++
	return nil
}

func (s *store) DeletePoison(context.Context, identifier.Fingerprint) error { return nil }

func (s *store) Era() identifier.Era { return 1 }

func (s *store) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.put
}

func (s *store) awaitPut(n int) bool {
	for until := time.Now().Add(2 * time.Second); time.Now().Before(until); time.Sleep(time.Millisecond) {
		if s.count() >= n {
			return true
		}
	}
	return false
}

// TestPoisonConfirmedAgainIsStoredAgain guards against a poison request that is known to no node after a restart of all,
// because the node that confirmed it again, after its quarantine had ended, had stored it once before.
func TestPoisonConfirmedAgainIsStoredAgain(t *testing.T) {
	c := qt.New(t)
	const interval = 50 * time.Millisecond
	s := &store{}
	r := crashreporter.NewReporter(crashreporter.Config{Store: s, Sharer: sharer.NewSharer(), SaveInterval: interval})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go r.KeepPoison(ctx)
	for range 10 {
		r.SavePoison(crashrecorder.ConfirmingCrash(1, "t", 7, 0))
	}
	c.Assert(s.awaitPut(1), qt.IsTrue)
	time.Sleep(interval)
	c.Assert(s.count(), qt.Equals, 1)
	r.SavePoison(crashrecorder.ConfirmingCrash(1, "t", 8, 0))
	c.Assert(s.awaitPut(2), qt.IsTrue)
}
