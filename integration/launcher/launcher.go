// Package launcher starts a fleet of real processes on loopback for integration tests: the
// platform stand-in, stand-ins for engines and services, and nodes, which are entry processes. Any
// of them can be put behind a fault-injecting proxy.
package launcher

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/platformcaller"
)

// Bearer keys of the fleet's client account and operator, their team, and the model that the engines serve.
const (
	AccountKey  = "test-account-key"
	OperatorKey = "test-operator-key"
	Team        = "dakar"
	Model       = "atlas"
)

const (
	startTimeout = 10 * time.Second
	dataCentre   = "plateau"
	// exitNotRun is fbctl's exit code when a node that is still starting asks it to retry later.
	exitNotRun   = 5
	pollInterval = 20 * time.Millisecond
)

// Process is one started process.
type Process struct {
	Name    string
	Address string
	// Peer is the address on which a node listens for other nodes.
	Peer   string
	cmd    *exec.Cmd
	exited chan struct{}
}

// Fleet is a set of started processes and the directory of their logs and ledgers. A ledger is the
// file in which an engine or a service records everything that it executes, one JSON object per line.
type Fleet struct {
	t        testing.TB
	dir      string
	binDir   string
	Platform *Process
	Nodes    []*Process
	Engines  map[string]*Process
	Services map[string]*Process
	// proxies holds the address of each proxy's control endpoint, by the proxy's name.
	proxies map[string]*Process
	// listedTargets holds the ids of the engines and services that were added to the VM list.
	listedTargets map[string]bool
}

// binariesDir returns the directory of the built programs.
func binariesDir(t testing.TB) string {
	t.Helper()
	bin, err := filepath.Abs("../.bin")
	if err != nil {
		t.Fatal(err)
	}
	return bin
}

// NewFleet starts a platform stand-in with the given extra flags. All processes of the fleet
// are killed when the test ends.
func NewFleet(t testing.TB, platformFlags ...string) *Fleet {
	t.Helper()
	f := &Fleet{
		t: t, dir: t.TempDir(), binDir: binariesDir(t),
		Engines: map[string]*Process{}, Services: map[string]*Process{}, proxies: map[string]*Process{}, listedTargets: map[string]bool{},
	}
	address := FreeAddress(t)
	flags := append([]string{"platform", "--listen", address, "--vm-lag", "200ms"}, platformFlags...)
	f.Platform = f.start("platform", "fbstandin", address, flags...)
	f.awaitURL("http://" + address + "/v1/vms")
	return f
}

// Ports below the kernel's ephemeral range, so that no outgoing connection takes a port
// between its selection and its use.
const (
	firstPort = 20_000
	// portStride gives test processes that run in parallel, whose process ids are close, separate port ranges.
	portStride = 211
	portCount  = 12_000
)

var nextPort atomic.Int64

// FreeAddress returns a loopback address that no process listens on.
func FreeAddress(t testing.TB) string {
	t.Helper()
	nextPort.CompareAndSwap(0, int64(os.Getpid())*portStride)
	for range portCount {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort.Add(1)%portCount)
		l, err := net.Listen("tcp", address)
		if err == nil {
			_ = l.Close()
			return address
		}
	}
	t.Fatal("no port is free")
	return ""
}

// AddEngine starts an engine with the layers from..to-1 and adds it to the VM list. Its ledger is written to the fleet's directory.
func (f *Fleet) AddEngine(id string, from, to int, flags ...string) *Process {
	f.t.Helper()
	address := FreeAddress(f.t)
	p := f.StartEngine(id, address, from, to, flags...)
	f.ListVM(platformcaller.VM{ID: id, Role: platformcaller.RoleEngine, Address: address, DataCentre: dataCentre})
	return p
}

// StartEngine starts an engine at address without adding it to the VM list.
func (f *Fleet) StartEngine(id, address string, from, to int, flags ...string) *Process {
	f.t.Helper()
	args := append([]string{
		"engine", "--id", id, "--listen", address, "--from", fmt.Sprint(from), "--to", fmt.Sprint(to),
		"--ledger", filepath.Join(f.dir, id+".ledger"),
	}, flags...)
	p := f.start(id, "fbstandin", address, args...)
	f.Engines[id] = p
	f.awaitURL("http://" + address + "/v1/status")
	return p
}

// AddService starts one replica of a plain service, that is, one without layers, and adds it to the VM list.
func (f *Fleet) AddService(service, id string, flags ...string) *Process {
	f.t.Helper()
	address := FreeAddress(f.t)
	args := append([]string{"service", "--id", id, "--listen", address, "--ledger", filepath.Join(f.dir, id+".ledger")}, flags...)
	p := f.start(id, "fbstandin", address, args...)
	f.Services[id] = p
	f.awaitURL("http://" + address + "/ran")
	f.ListVM(platformcaller.VM{
		ID: id, Role: platformcaller.RoleService, Service: identifier.ServiceID(service), Address: address, DataCentre: dataCentre,
	})
	return p
}

// AddProxy starts a proxy that forwards to the target address. Its faults are set with SetFault.
func (f *Fleet) AddProxy(name, target string) *Process {
	f.t.Helper()
	address, control := FreeAddress(f.t), FreeAddress(f.t)
	p := f.start(name, "fbstandin", address, "proxy", "--listen", address, "--control", control, "--target", target)
	f.proxies[name] = &Process{Name: name, Address: control}
	f.awaitDial(address)
	f.awaitDial(control)
	return p
}

// AddNode starts a node and adds it to the VM list. platform may be the address of a proxy;
// if it is empty, the node connects to the platform directly.
func (f *Fleet) AddNode(id, platform string, flags ...string) *Process {
	f.t.Helper()
	if platform == "" {
		platform = f.Platform.Address
	}
	p := f.startNode(id, platform, flags...)
	f.Nodes = append(f.Nodes, p)
	return p
}

// AddCuttableNode is AddNode for a node whose network to its targets can be cut, with SetCutAt at the returned address.
func (f *Fleet) AddCuttableNode(id string, flags ...string) (node *Process, control string) {
	f.t.Helper()
	control = FreeAddress(f.t)
	node = f.startProgram("cuttable", []string{control}, id, f.Platform.Address, flags...)
	f.Nodes = append(f.Nodes, node)
	return node, control
}

// ReplaceNode starts a node with the id of killed node i at new addresses.
func (f *Fleet) ReplaceNode(i int, flags ...string) *Process {
	f.t.Helper()
	f.Nodes[i] = f.startNode(f.Nodes[i].Name, f.Platform.Address, flags...)
	return f.Nodes[i]
}

func (f *Fleet) startNode(id, platform string, flags ...string) *Process {
	f.t.Helper()
	return f.startProgram("entry", nil, id, platform, flags...)
}

// startProgram starts a node that runs the given program, whose own arguments come before those of the node.
func (f *Fleet) startProgram(program string, own []string, id, platform string, flags ...string) *Process {
	f.t.Helper()
	address, peer := FreeAddress(f.t), FreeAddress(f.t)
	args := slices.Concat(own, []string{
		"--node", id, "--data-centre", dataCentre, "--listen", address, "--peer-listen", peer, "--platform", platform,
		"--operator-keys", Team + "=" + Hash(OperatorKey), "--balancer-lag", "300ms",
	}, flags)
	p := f.start(id, program, address, args...)
	p.Peer = peer
	f.awaitURL("http://" + address + "/healthz")
	f.ListVM(platformcaller.VM{ID: id, Role: platformcaller.RoleEntry, Address: peer, DataCentre: dataCentre})
	return p
}

// Restart starts an exited process again with the same arguments.
func (f *Fleet) Restart(p *Process) *Process {
	f.t.Helper()
	return f.start(p.Name, p.cmd.Path, p.Address, p.cmd.Args[1:]...)
}

// Configure sets the account, a model with the given number of layers, the services, the priority
// classes and the extra settings, each as PATH=VALUE. It waits until every node is ready and knows
// the state of every listed target.
func (f *Fleet) Configure(layers int, extraSettings ...string) {
	f.t.Helper()
	args := append([]string{
		"accounts/studio/key_sha256=" + Hash(AccountKey), fmt.Sprintf("models/%s/layers=%d", Model, layers),
		"services/ledger/idempotent=false", "services/catalogue/idempotent=true",
		"classes/counter/priority=9", "classes/bulk/priority=1",
	}, extraSettings...)
	Await(f.t, startTimeout, "the configuration is accepted", func() bool {
		out, code := f.FBCtl("set", append([]string{"--team", Team}, args...)...)
		if code != 0 && code != exitNotRun {
			f.t.Fatalf("fbctl set exited with %d: %s", code, out)
		}
		return code == 0
	})
	for _, n := range f.Nodes {
		f.awaitURL("http://" + n.Address + "/readyz")
		Await(f.t, startTimeout, n.Name+" knows the state of every target", func() bool { return f.seesTargets(n) })
	}
}

// seesTargets reports whether the node knows the state of every listed target.
func (f *Fleet) seesTargets(n *Process) bool {
	out, code := f.FBCtlAt(n, "status", "--output", "json")
	var nodes []struct {
		Status struct {
			Targets []struct {
				ID    string `json:"id"`
				State string `json:"state"`
			} `json:"targets"`
		} `json:"status"`
	}
	if code != 0 || json.Unmarshal([]byte(out), &nodes) != nil || len(nodes) != 1 {
		return false
	}
	isKnown := map[string]bool{}
	for _, t := range nodes[0].Status.Targets {
		isKnown[t.ID] = t.State != "unknown"
	}
	for id := range f.listedTargets {
		if !isKnown[id] {
			return false
		}
	}
	return true
}

// FBCtl runs an fbctl command against all nodes of the fleet and returns its output and exit code.
func (f *Fleet) FBCtl(command string, args ...string) (string, int) {
	addresses := make([]string, 0, len(f.Nodes))
	for _, n := range f.Nodes {
		addresses = append(addresses, n.Address)
	}
	return f.runFBCtl(strings.Join(addresses, ","), command, args)
}

// FBCtlAt runs an fbctl command against one node and returns its output and exit code.
func (f *Fleet) FBCtlAt(node *Process, command string, args ...string) (string, int) {
	return f.runFBCtl(node.Address, command, args)
}

func (f *Fleet) runFBCtl(nodes, command string, args []string) (string, int) {
	all := append([]string{command, "--nodes", nodes, "--key", OperatorKey}, args...)
	cmd := exec.Command(filepath.Join(f.binDir, "fbctl"), all...)
	out, _ := cmd.CombinedOutput()
	return string(out), cmd.ProcessState.ExitCode()
}

// Ledger returns the entries of a stand-in's ledger, decoded into T.
func Ledger[T any](f *Fleet, id string) []T {
	f.t.Helper()
	raw, err := os.ReadFile(filepath.Join(f.dir, id+".ledger"))
	if err != nil && !os.IsNotExist(err) {
		f.t.Fatal(err)
	}
	var entries []T
	for _, line := range bytes.Split(bytes.TrimSpace(raw), []byte("\n")) {
		if len(line) == 0 {
			continue
		}
		var e T
		if err := json.Unmarshal(line, &e); err != nil {
			f.t.Fatalf("decode ledger of %s: %v: %s", id, err, line)
		}
		entries = append(entries, e)
	}
	return entries
}

// ListVM writes one entry of the platform's VM list.
func (f *Fleet) ListVM(vm platformcaller.VM) {
	f.t.Helper()
	if vm.Role != platformcaller.RoleEntry {
		f.listedTargets[vm.ID] = true
	}
	f.post(http.MethodPut, "http://"+f.Platform.Address+"/v1/vms", vm)
}

// SetFault sets the fault that a stand-in or a proxy injects. An empty fault ends all
// faults, but connections stalled by silence_open stay stalled.
func (f *Fleet) SetFault(p *Process, fault any) {
	f.t.Helper()
	address := p.Address
	if control, ok := f.proxies[p.Name]; ok {
		address = control.Address
	}
	f.post(http.MethodPost, "http://"+address+"/fault", fault)
}

func (f *Fleet) post(method, url string, body any) {
	f.t.Helper()
	raw, err := json.Marshal(body)
	if err != nil {
		f.t.Fatal(err)
	}
	req, err := http.NewRequest(method, url, bytes.NewReader(raw))
	if err != nil {
		f.t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		f.t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		f.t.Fatalf("%s %s: status %d", method, url, resp.StatusCode)
	}
}

func (f *Fleet) start(name, program, address string, args ...string) *Process {
	f.t.Helper()
	log, err := os.OpenFile(filepath.Join(f.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		f.t.Fatal(err)
	}
	if !filepath.IsAbs(program) {
		program = filepath.Join(f.binDir, program)
	}
	cmd := exec.Command(program, args...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	p := &Process{Name: name, Address: address, cmd: cmd, exited: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.exited)
	}()
	f.t.Cleanup(func() {
		p.Kill()
		_ = log.Close()
		if f.t.Failed() {
			f.logTail(name)
		}
	})
	return p
}

// maxTailBytes limits how much of a process's log is printed when a test fails.
const maxTailBytes = 3000

func (f *Fleet) logTail(name string) {
	raw, err := os.ReadFile(filepath.Join(f.dir, name+".log"))
	if err != nil {
		return
	}
	if len(raw) > maxTailBytes {
		raw = raw[len(raw)-maxTailBytes:]
	}
	f.t.Logf("last part of the log of %s:\n%s", name, raw)
}

// Kill sends SIGKILL and waits until the process has exited.
func (p *Process) Kill() { p.signal(syscall.SIGKILL); <-p.exited }

// Stop sends SIGTERM, as the platform does for a planned stop, and does not wait.
func (p *Process) Stop() { p.signal(syscall.SIGTERM) }

// HangUp sends SIGHUP, as operators do after a change of the settings.
func (p *Process) HangUp() { p.signal(syscall.SIGHUP) }

// Pause suspends the process with SIGSTOP, like a VM that stalls.
func (p *Process) Pause() { p.signal(syscall.SIGSTOP) }

// Resume continues a paused process with SIGCONT.
func (p *Process) Resume() { p.signal(syscall.SIGCONT) }

// Exited reports whether the process has exited.
func (p *Process) Exited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// AwaitExit waits for the process to exit and returns its exit code, or false after the timeout.
func (p *Process) AwaitExit(timeout time.Duration) (int, bool) {
	select {
	case <-p.exited:
		return p.cmd.ProcessState.ExitCode(), true
	case <-time.After(timeout):
		return 0, false
	}
}

func (p *Process) signal(s syscall.Signal) {
	if !p.Exited() {
		_ = p.cmd.Process.Signal(s)
	}
}

// Await polls until the condition holds, and fails the test if it does not within the timeout.
func Await(t testing.TB, timeout time.Duration, what string, holds func() bool) {
	t.Helper()
	deadline := time.Now().Add(timeout)
	for time.Now().Before(deadline) {
		if holds() {
			return
		}
		time.Sleep(pollInterval)
	}
	t.Fatalf("timed out after %v waiting until %s", timeout, what)
}

func (f *Fleet) awaitURL(url string) {
	f.t.Helper()
	Await(f.t, startTimeout, url+" answers", func() bool {
		resp, err := http.Get(url)
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		return resp.StatusCode/100 == 2
	})
}

func (f *Fleet) awaitDial(address string) {
	f.t.Helper()
	Await(f.t, startTimeout, address+" accepts", func() bool {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return false
		}
		_ = conn.Close()
		return true
	})
}

// Hash returns the SHA-256 of a bearer key in hex, as the configuration holds it.
func Hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
