//go:build soak

package integration_test

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"fuchsiabridge.example/integration/launcher"
)

// fault is one kind of failure; undo ends it.
type fault struct {
	name string
	do   func(s *soak, r *rand.Rand) (undo func())
}

func faults() []fault {
	return []fault{
		{"kill an engine", killEngine},
		{"freeze an engine", freezeEngine},
		{"kill a node", killNode},
		{"freeze a node", freezeNode},
		{"log down", platformFault(map[string]any{"down": true})},
		{"log slow", platformFault(map[string]any{"delay_ms": 700})},
		{"answers of appends lost", platformFault(map[string]any{"lose_answers": 20})},
		{"appends dropped", platformFault(map[string]any{"drop_appends": 20})},
		{"a service drops answers", dropAnswers},
	}
}

// injectFaults brings about one fault, or two at once, every few seconds until the end.
func (s *soak) injectFaults() {
	r := s.rng(1 << 32)
	kinds := faults()
	for time.Now().Before(s.until) {
		var undo []func()
		for range 1 + r.IntN(2) {
			k := kinds[r.IntN(len(kinds))]
			s.t.Logf("%s fault: %s", time.Now().Format("15:04:05"), k.name)
			undo = append(undo, k.do(s, r))
		}
		time.Sleep(soakFaultEvery / 2)
		// The platform heals first: a node's successor is listed with it.
		s.f.SetFault(s.f.Platform, map[string]any{})
		for _, u := range undo {
			u()
		}
		time.Sleep(soakFaultEvery / 2)
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

func freezeEngine(s *soak, r *rand.Rand) func() {
	return freeze(s.f.Engines[fmt.Sprintf("engine-%d", r.IntN(soakEngines))])
}

func freezeNode(s *soak, r *rand.Rand) func() { return freeze(s.f.Nodes[r.IntN(len(s.f.Nodes))]) }

func freeze(p *launcher.Process) func() {
	p.Freeze()
	return p.Thaw
}

// killNode replaces a node, as the platform does, by a new one in its place.
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
