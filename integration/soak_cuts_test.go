//go:build soak

package integration_test

import (
	"time"

	"fuchsiabridge.example/integration/launcher"
)

// cutNodes cuts some nodes, at times all but one, off from all engines and services until the run ends, whatever else happens meanwhile. A
// node that has replaced a killed one is not cut off.
func (s *soak) cutNodes() {
	r := s.rng(cutStream)
	for time.Now().Before(s.until) {
		cut := launcher.Cut{Kind: []string{"hang", "reset", "refuse"}[r.IntN(3)]}
		length := time.Duration(r.Int64N(int64(maxCutTime)))
		first, count := r.IntN(soakNodes), 1+r.IntN(soakNodes-1)
		s.t.Logf("%s cut %s at %d nodes from node %d on, for %v", time.Now().Format("15:04:05"), cut.Kind, count, first, length.Round(time.Millisecond))
		for i := range count {
			launcher.TrySetCutAt(s.controls[(first+i)%soakNodes], cut)
		}
		time.Sleep(length)
		for _, control := range s.controls {
			launcher.TrySetCutAt(control, launcher.Cut{})
		}
		time.Sleep(time.Duration(r.Int64N(int64(maxCutInterval))))
	}
}
