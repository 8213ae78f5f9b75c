package integration_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/platform/callerfaker"
	"fuchsiabridge.example/platform/targetfaker"
)

const (
	// Requests with the poison part may be handed to targets maxLatePoison times later than poisonLimit after the crash
	// numbered partCrashes. From soundLimit after it, minSound of the sound requests must be served.
	partCrashes = 5
	soundLimit  = 2 * poisonLimit
	minSound    = 0.5

	partDuration  = 20 * time.Second
	partInterval  = 300 * time.Millisecond
	soundInterval = 50 * time.Millisecond
	commonPart    = "c0"
)

// partRun sends streams with the poison part, no two of them alike, and sound ones that share its other parts.
type partRun struct {
	*poisonRun
	// prefix returns the parts of the n-th poison request before its own.
	prefix func(n int) []string

	soundMu sync.Mutex
	sound   []soundResult
}

// soundResult is a sound request and whether it was served.
type soundResult struct {
	sentAt   time.Time
	isServed bool
}

func (s *partRun) stream(node int, id string, parts []string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	prefix := ""
	for _, part := range parts {
		prefix += part + ":40,"
	}
	c := callerfaker.Caller{Address: s.node(node).Address, Key: "key-0", Prompt: prefix + fmt.Sprintf("%x:700", len(id)*1_000_000+node)}
	n, err := c.Stream(ctx, "/draft/"+id, id, nil)
	return err == nil && n == relayEvents
}

// playParts sends requests for the duration of the run, and calls disturb at half of it.
func (s *partRun) playParts(disturb func()) {
	s.until = time.Now().Add(partDuration)
	var wg sync.WaitGroup
	wg.Go(func() {
		for n := 0; time.Now().Before(s.until); n++ {
			wg.Go(func() {
				if s.stream(n, fmt.Sprint("poison-", n), s.prefix(n)) {
					s.t.Errorf("request %d with the poison part was answered", n)
				}
			})
			time.Sleep(partInterval)
		}
	})
	wg.Go(func() {
		for n := 0; time.Now().Before(s.until); n++ {
			wg.Go(func() { s.sendSound(n) })
			time.Sleep(soundInterval)
		}
	})
	wg.Go(func() {
		time.Sleep(partDuration / 2)
		disturb()
	})
	wg.Wait()
}

func (s *partRun) sendSound(n int) {
	parts := []string{commonPart, fmt.Sprintf("d%d", n%20)}
	result := soundResult{sentAt: time.Now()}
	result.isServed = s.stream(n, fmt.Sprint("sound-", n), parts)
	s.soundMu.Lock()
	defer s.soundMu.Unlock()
	s.sound = append(s.sound, result)
}

// checkParts checks how often targets got the poison part after the limit, and that sound requests were served.
func (s *partRun) checkParts() {
	crashes := s.fleet.Crashes()
	s.Assert(len(crashes) >= 2, qt.IsTrue, qt.Commentf("%d crashes", len(crashes)))
	counted := crashes[min(partCrashes, len(crashes))-1].At
	late, sends := 0, 0
	for _, a := range s.fleet.Attempts("") {
		if !strings.HasPrefix(a.Request, "poison") {
			continue
		}
		sends++
		if len(crashes) >= partCrashes && a.StartedAt.After(counted.Add(poisonLimit)) {
			late++
		}
	}
	sent, served := 0, 0
	for _, r := range s.sound {
		if r.sentAt.Before(counted.Add(soundLimit)) {
			continue
		}
		sent++
		if r.isServed {
			served++
		}
	}
	s.t.Logf("%d sends, %d of them late, %d crashes, %d of %d sound requests served after the limit", sends, late, len(crashes), served, sent)
	s.Check(late <= maxLatePoison, qt.IsTrue, qt.Commentf("%d late sends of %d", late, sends))
	s.Check(float64(served) >= minSound*float64(sent), qt.IsTrue, qt.Commentf("%d of %d sound requests served", served, sent))
}

// TestPoisonPartIsRefusedByAllNodes guards against requests that go on crashing targets because they share nothing but a part of
// their prompts, and against refusing sound requests with their caller and other parts, while one node restarts.
func TestPoisonPartIsRefusedByAllNodes(t *testing.T) {
	t.Parallel()
	for name, prefix := range map[string]func(n int) []string{
		"after the common part": func(int) []string { return []string{commonPart, targetfaker.PoisonPart} },
		"before a rare part":    func(n int) []string { return []string{targetfaker.PoisonPart, fmt.Sprintf("d%d", n%20)} },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := &partRun{poisonRun: newPoisonRun(t, ""), prefix: prefix}
			s.playParts(func() {
				s.node(1).Kill()
				s.restart(1)
			})
			s.checkParts()
		})
	}
}
