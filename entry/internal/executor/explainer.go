package executor

import (
	"fmt"
	"sync"
	"time"

	"fuchsiabridge.example/common/messenger"
)

// maxExplanations bounds the events that a node keeps for explanations.
const maxExplanations = 20_000

// Explanation is one numbered log event about a subject.
type Explanation struct {
	At      time.Time `json:"at"`
	Event   int       `json:"event"`
	Message string    `json:"message"`
	Subject string    `json:"subject"`
	Details []string  `json:"details"`
}

// explainer keeps the newest log events in a ring buffer.
type explainer struct {
	mu   sync.Mutex
	ring []Explanation
	// next is the index of the oldest event once the ring is full.
	next int
}

func newExplainer() *explainer { return &explainer{} }

func (e *explainer) add(l messenger.Log, at time.Time) {
	x := Explanation{At: at, Event: l.Event.Number, Message: l.Event.Message, Subject: l.Subject}
	for i := 0; i+1 < len(l.Values); i += 2 {
		x.Details = append(x.Details, fmt.Sprintf("%v=%v", l.Values[i], l.Values[i+1]))
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.ring) < maxExplanations {
		e.ring = append(e.ring, x)
		return
	}
	e.ring[e.next] = x
	e.next = (e.next + 1) % maxExplanations
}

// eventsOf returns the events about the subject, oldest first.
func (e *explainer) eventsOf(subject string) []Explanation {
	e.mu.Lock()
	defer e.mu.Unlock()
	found := []Explanation{}
	for i := range e.ring {
		x := e.ring[(e.next+i)%len(e.ring)]
		if x.Subject == subject {
			found = append(found, x)
		}
	}
	return found
}
