package launcher

import (
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// Relay is a node started in relay mode: it forwards each request to the first target of a
// chain, and the targets forward it along the chain themselves.
type Relay struct {
	*Process
	// Health and Metrics are the addresses of its health and metrics endpoints.
	Health  string
	Metrics string
	fleet   *Fleet
}

// NewRelayFleet returns an empty fleet for nodes in relay mode. It starts no platform stand-in.
func NewRelayFleet(t testing.TB) *Fleet {
	t.Helper()
	return &Fleet{t: t, dir: t.TempDir(), binDir: binariesDir(t), proxies: map[string]*Process{}}
}

// AddRelay starts a node in relay mode that uses the store at the given address.
func (f *Fleet) AddRelay(id, dc, store string, flags ...string) *Relay {
	f.t.Helper()
	r := &Relay{Health: FreeAddress(f.t), Metrics: FreeAddress(f.t), fleet: f}
	address := FreeAddress(f.t)
	args := append([]string{
		"relay", "--node", id, "--data-centre", dc, "--listen", address, "--health-listen", r.Health,
		"--metrics-listen", r.Metrics, "--store", store, "--peer-listen", FreeAddress(f.t),
	}, flags...)
	r.Process = f.start(id, "entry", address, args...)
	return r
}

// IsReady reports whether the node's health endpoint answers 200.
func (r *Relay) IsReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + r.Health + "/")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// FBCtlRelays runs "fbctl relays" against the given nodes without a key and returns its output and exit code.
func (f *Fleet) FBCtlRelays(nodes ...*Relay) (string, int) {
	var addresses []string
	for _, n := range nodes {
		addresses = append(addresses, n.Metrics)
	}
	cmd := exec.Command(filepath.Join(f.binDir, "fbctl"), "relays", "--nodes", strings.Join(addresses, ","))
	out, _ := cmd.CombinedOutput()
	return string(out), cmd.ProcessState.ExitCode()
}

// Fleet returns the fleet that the node belongs to.
func (r *Relay) Fleet() *Fleet { return r.fleet }
