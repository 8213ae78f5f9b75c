//go:build soak

package integration_test

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"fuchsiabridge.example/integration/launcher"
)

// faultKind is one kind of fault. inject starts it and returns a function that ends it.
type faultKind struct {
	name   string
	inject func(s *soak, r *rand.Rand) (undo func())
}

func faultKinds() []faultKind {
	return []faultKind{
		{"kill an engine", killEngine},
		{"pause an engine", pauseEngine},
		{"kill a node", killNode},
		{"pause a node", pauseNode},
		{"log down", platformFault(map[string]any{"down": true})},
		{"log slow", platformFault(map[string]any{"delay_ms": 700})},
		{"answers of appends lost", platformFault(map[string]any{"lose_answers": 20})},
		{"appends dropped", platformFault(map[string]any{"drop_appends": 20})},
		{"a service drops answers", dropAnswers},
	}
}

// injectFaults injects one fault or two at once every soakFaultInterval until the run ends.
func (s *soak) injectFaults() {
	r := s.rng(1 << 32)
	kinds := faultKinds()
	for time.Now().Before(s.until) {
		var undo []func()
		for range 1 + r.IntN(2) {
			k := kinds[r.IntN(len(kinds))]
			s.t.Logf("%s fault: %s", time.Now().Format("15:04:05"), k.name)
			undo = append(undo, k.inject(s, r))
		}
		time.Sleep(soakFaultInterval / 2)
		// The platform's faults end first: it must be up to list the replacement of a killed node.
		s.f.SetFault(s.f.Platform, map[string]any{})
		for _, u := range undo {
			u()
		}
		time.Sleep(soakFaultInterval / 2)
	}
}

func killEngine(s *soak, r *rand.Rand) func() {
	i := r.IntN(soakEngines)
	id := fmt.Sprintf("engine-%d", i)
	p := s.f.Engines[id]
	p.Kill()
	return func() {
		if s.f.Engines[id] == p {
			s.f.StartEngine(id, p.Address, i%3*8, i%3*8+8, "--layer-micros", strconv.Itoa(200+100*(i%5)))
		}
	}
}

func pauseEngine(s *soak, r *rand.Rand) func() {
	return pause(s.f.Engines[fmt.Sprintf("engine-%d", r.IntN(soakEngines))])
}

func pauseNode(s *soak, r *rand.Rand) func() { return pause(s.f.Nodes[r.IntN(len(s.f.Nodes))]) }

func pause(p *launcher.Process) func() {
	p.Pause()
	return p.Resume
}

// killNode kills a node and, like the platform, later starts a replacement with the same id.
func killNode(s *soak, r *rand.Rand) func() {
	i := r.IntN(len(s.nodes))
	p := s.f.Nodes[i]
	p.Kill()
	return func() {
		if s.f.Nodes[i] != p {
			return
		}
		successor := s.f.ReplaceNode(i)
		s.mu.Lock()
		s.nodes[i] = successor.Address
		s.mu.Unlock()
	}
}

func platformFault(f map[string]any) func(*soak, *rand.Rand) func() {
	return func(s *soak, _ *rand.Rand) func() {
		s.f.SetFault(s.f.Platform, f)
		return func() {}
	}
}

func dropAnswers(s *soak, _ *rand.Rand) func() {
	s.f.SetFault(s.f.Services["ledger-1"], map[string]any{"drop_answers": 5})
	return func() {}
}
