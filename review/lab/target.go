package lab

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	heartbeat = 1200 * time.Millisecond
	// slots is how many requests a target works on at once. Others wait.
	slots = 6
)

// Execution is one request that a target has begun to work on.
type Execution struct {
	Target string
	// Attempt is the id of the client's attempt.
	Attempt string
	Method  string
	Path    string
	Header  http.Header
	Bytes   int
	At      time.Time
}

// Target is a stand-in of a plain target: it rejects requests for another instance, and answers all others once with a seal
// and the request's id.
type Target struct {
	id, service, address string
	lab                  *Lab
	// work is how long a request takes, and free has a place for each request that may be worked on at once.
	work time.Duration
	free chan struct{}

	mu   sync.Mutex
	runs []Execution
}

// StartTarget starts a target, and keeps its entry in the store alive.
func (l *Lab) StartTarget(id, service string, work time.Duration) (*Target, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	t := &Target{id: id, service: service, address: listener.Addr().String(), lab: l, work: work, free: make(chan struct{}, slots)}
	server := &http.Server{Handler: http.HandlerFunc(t.serve), IdleTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	if err := t.beat(0); err != nil {
		return nil, err
	}
	go t.keepAlive()
	return t, nil
}

// Executions returns what the target has begun to work on.
func (t *Target) Executions() []Execution {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Execution(nil), t.runs...)
}

func (t *Target) keepAlive() {
	for sequence := 1; t.lab.ctx.Err() == nil; sequence++ {
		time.Sleep(heartbeat)
		if err := t.beat(sequence); err != nil {
			return
		}
	}
}

func (t *Target) beat(sequence int) error {
	return t.lab.Store.PutTarget(t.id, map[string]any{
		"service": t.service, "address": t.address, "zone": zone, "version": "v1", "slots": slots, "state": "ready",
		"cold_remaining_ms": 0, "sequence": sequence, "born": t.lab.begun.UnixMilli(),
	})
}

func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	if r.URL.Path == "/healthz" {
		w.Header().Set("X-Instance-Id", t.id)
		return
	}
	if r.URL.Path == "/api/report" {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("X-Attempt-Id", id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != t.id {
		w.Header().Set("X-Instance-Id", t.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	t.free <- struct{}{}
	defer func() { <-t.free }()
	t.mu.Lock()
	t.runs = append(t.runs, Execution{
		Target: t.id, Attempt: id, Method: r.Method, Path: r.URL.RequestURI(), Header: r.Header.Clone(), Bytes: int(n), At: time.Now(),
	})
	t.mu.Unlock()
	time.Sleep(t.work)
	w.Header().Set("X-Response-Seal", "seal."+id)
	fmt.Fprintf(w, "answer to %s", id)
}
