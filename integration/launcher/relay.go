package launcher

import (
	"bytes"
	"encoding/json"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"fuchsiabridge.example/common/describer"
)

// Relay is a node started in relay mode: it forwards each request to the first target of a
// chain, and the targets forward it along the chain themselves.
type Relay struct {
	*Process
	// Health and Metrics are the addresses of its health and metrics endpoints.
	Health  string
	Metrics string
	// Delegates is the address for requests of other nodes.
	Delegates string
	// Program is the file of the node's program, empty for the one that is tested.
	Program string
	// Control is the address at which the network of a cuttable node is cut, empty for any other node.
	Control string
	fleet   *Fleet
}

// Cut is what is cut of the network between a node and its targets, and how.
type Cut struct {
	// Kind is hang, reset or refuse (new connections only), or empty for a network that works.
	Kind string `json:"kind"`
	// Addresses are the targets that are cut off; if there are none, all are.
	Addresses []string `json:"addresses,omitempty"`
}

// NewRelayFleet returns an empty fleet for nodes in relay mode. It starts no platform stand-in.
func NewRelayFleet(t testing.TB) *Fleet {
	t.Helper()
	return &Fleet{t: t, dir: t.TempDir(), binDir: binariesDir(t), proxies: map[string]*Process{}}
}

// AddRelay starts a node in relay mode that uses the store at the given address.
func (f *Fleet) AddRelay(id, dc, store string, flags ...string) *Relay {
	f.t.Helper()
	return f.addRelay(&Relay{fleet: f}, id, dc, store, flags...)
}

// AddCuttableRelay is AddRelay for a node whose network can be cut.
func (f *Fleet) AddCuttableRelay(id, dc, store string, flags ...string) *Relay {
	f.t.Helper()
	return f.addRelay(&Relay{fleet: f, Control: FreeAddress(f.t)}, id, dc, store, flags...)
}

// AddEarlierRelay is AddRelay for a node that runs the program of an earlier version, as built by BuildEarlier.
func (f *Fleet) AddEarlierRelay(program, id, dc, store string, flags ...string) *Relay {
	f.t.Helper()
	return f.addRelay(&Relay{fleet: f, Program: program}, id, dc, store, flags...)
}

// BuildEarlier builds the node of an earlier version from the repository's history, and returns the file of its program.
func BuildEarlier(t testing.TB, commit string) string {
	t.Helper()
	if exec.Command("git", "-C", "..", "cat-file", "-e", commit).Run() != nil {
		t.Skipf("the history lacks %s, as in a shallow clone", commit)
	}
	dir := t.TempDir()
	program := filepath.Join(dir, "entry")
	for _, args := range [][]string{
		{"git", "clone", "--quiet", "--no-checkout", "--shared", "..", filepath.Join(dir, "src")},
		{"git", "-C", filepath.Join(dir, "src"), "checkout", "--quiet", commit},
		{"go", "-C", filepath.Join(dir, "src"), "build", "-o", program, "./entry"},
	} {
		if out, err := exec.Command(args[0], args[1:]...).CombinedOutput(); err != nil {
			t.Fatalf("%s: %v\n%s", strings.Join(args, " "), err, out)
		}
	}
	return program
}

// Status returns the node's state, as it shows it on its metrics endpoint.
func (r *Relay) Status(t testing.TB) describer.RelayStatus {
	t.Helper()
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + r.Metrics + "/debug/vars")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var vars struct {
		Relay describer.RelayStatus `json:"relay"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&vars); err != nil {
		t.Fatal(err)
	}
	return vars.Relay
}

// SetCut replaces the cut between a cuttable node and its targets.
func (f *Fleet) SetCut(r *Relay, c Cut) {
	f.t.Helper()
	f.SetCutAt(r.Control, c)
}

// SetCutAt is SetCut for the node whose network is cut at the address control.
func (f *Fleet) SetCutAt(control string, c Cut) {
	f.t.Helper()
	f.post(http.MethodPost, "http://"+control+"/", c)
}

// TrySetCut replaces the cut between a cuttable node and its targets, unless the node does not run now.
func (r *Relay) TrySetCut(c Cut) { TrySetCutAt(r.Control, c) }

// TrySetCutAt is TrySetCut for the node whose network is cut at the address control.
func TrySetCutAt(control string, c Cut) {
	body, err := json.Marshal(c)
	if err != nil {
		return
	}
	client := http.Client{Timeout: time.Second}
	if resp, err := client.Post("http://"+control+"/", "application/json", bytes.NewReader(body)); err == nil {
		_ = resp.Body.Close()
	}
}

func (f *Fleet) addRelay(r *Relay, id, dc, store string, flags ...string) *Relay {
	f.t.Helper()
	r.Health, r.Metrics = FreeAddress(f.t), FreeAddress(f.t)
	address, peer := FreeAddress(f.t), FreeAddress(f.t)
	program := r.Program
	var args []string
	switch {
	case r.Control != "":
		program, args = "cuttable", []string{r.Control}
	case program == "":
		program = "entry"
	}
	args = append(args, append([]string{
		"relay", "--node", id, "--data-centre", dc, "--listen", address, "--health-listen", r.Health,
		"--metrics-listen", r.Metrics, "--store", store, "--peer-listen", peer,
	}, flags...)...)
	if r.Program == "" {
		r.Delegates = FreeAddress(f.t)
		args = append(args, "--delegate-listen", r.Delegates)
	}
	r.Process = f.start(id, program, address, args...)
	r.Peer = peer
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
