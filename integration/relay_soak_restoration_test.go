package integration_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"fuchsiabridge.example/platform/callerfaker"
	"fuchsiabridge.example/platform/storefaker"
	"fuchsiabridge.example/platform/targetfaker"
)

const (
	// rewriteTime is the time within which operators and targets write again what a copy of the store lacks.
	rewriteTime = 1500 * time.Millisecond
	// soakPartComings is how often a request with the poison part comes each time that it is drawn.
	soakPartComings = 3
)

// restoreStore makes a copy of the store, lets some time pass in which a further configuration may be published, takes the store
// away and lets it return from the copy.
func (s *relaySoak) restoreStore() {
	s.store.BackUp()
	time.Sleep(time.Duration(s.rng.IntN(2000)) * time.Millisecond)
	if s.rng.IntN(2) == 0 {
		s.publishConfiguration(fmt.Sprintf("key-lost-%d", len(s.restored)))
	}
	time.Sleep(time.Duration(s.rng.IntN(700)) * time.Millisecond)
	s.store.SetFault(storefaker.Busy)
	time.Sleep(time.Duration(s.rng.IntN(600)) * time.Millisecond)
	s.store.RestoreAndRewrite(rewriteTime)
	s.mu.Lock()
	s.restored = append(s.restored, time.Now())
	s.mu.Unlock()
	s.store.SetFault(storefaker.None)
}

// checkDenial checks that a key which the newest configuration allows is not refused as unknown once that must be in force. While
// the store may still lack configurations, a node that has just started cannot know better.
func (s *relaySoak) checkDenial(a soakResult) {
	published, isPublished := s.published[a.key]
	if a.status != http.StatusUnauthorized || !isPublished || a.sentAt.Before(published.Add(changeLimit)) {
		return
	}
	if revoked, ok := s.revoked[a.key]; ok && a.endedAt.After(revoked) {
		return
	}
	for _, at := range s.restored {
		if a.endedAt.After(at) && a.sentAt.Before(at.Add(rewriteTime+changeLimit)) {
			return
		}
	}
	s.t.Errorf("%s was refused by node %d with a key that the store had accepted %v before", a.id, a.node, a.sentAt.Sub(published))
}

// sendSoakPoisonPart lets requests with the poison part in their prompts come, no two of them alike, at any node.
func (s *relaySoak) sendSoakPoisonPart(n int) {
	for coming := range soakPartComings {
		s.mu.Lock()
		c := callerfaker.Caller{
			Address: s.nodes[(n+coming)%len(s.nodes)].Address, Key: s.keys[len(s.keys)-1],
			Prompt: fmt.Sprintf("c0:40,%s:80,%x:9", targetfaker.PoisonPart, n*soakPartComings+coming),
		}
		s.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		id := fmt.Sprintf("part-%d-%d", n, coming)
		// What the caller gets is not checked: it is whatever the state of the nodes allows.
		_, _, _ = c.Send(ctx, http.MethodPost, "/draft/"+id, id)
		cancel()
		time.Sleep(time.Duration(s.rng.IntN(600)) * time.Millisecond)
	}
}

// checkPoisonPart checks that few requests with the poison part reach targets after their fifth crash.
func (s *relaySoak) checkPoisonPart() {
	var starts []time.Time
	for _, a := range s.fleet.Attempts("") {
		if strings.HasPrefix(a.Request, "part-") {
			starts = append(starts, a.StartedAt)
		}
	}
	if len(starts) <= partCrashes {
		return
	}
	late := 0
	for _, at := range starts[partCrashes:] {
		if at.After(starts[partCrashes-1].Add(eventInterval + poisonLimit)) {
			late++
		}
	}
	if late > maxLatePoison {
		s.t.Errorf("requests with the poison part reached targets %d times more than %v after their fifth crash", late, poisonLimit)
	}
}
