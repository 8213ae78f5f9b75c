package launcher

import (
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// Relay is one started node that relays to targets which lead requests along chains themselves.
type Relay struct {
	*Process
	// Health and Metrics are addresses, Log the file of its log.
	Health  string
	Metrics string
	fleet   *Fleet
}

// NewRelays returns a fleet without processes, for relays.
func NewRelays(t testing.TB) *Fleet {
	t.Helper()
	return &Fleet{t: t, dir: t.TempDir(), bin: binaries(t), proxies: map[string]*Process{}}
}

// AddRelay starts a relaying node.
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

// IsReady reports whether the node says that it is ready.
func (r *Relay) IsReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + r.Health + "/")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Relays runs fbctl relays against some relaying nodes, without a key, and returns its output and exit code.
func (f *Fleet) Relays(nodes ...*Relay) (string, int) {
	var addresses []string
	for _, n := range nodes {
		addresses = append(addresses, n.Metrics)
	}
	cmd := exec.Command(filepath.Join(f.bin, "fbctl"), "relays", "--nodes", strings.Join(addresses, ","))
	out, _ := cmd.CombinedOutput()
	return string(out), cmd.ProcessState.ExitCode()
}

// Fleet returns the fleet that the node belongs to.
func (r *Relay) Fleet() *Fleet { return r.fleet }
