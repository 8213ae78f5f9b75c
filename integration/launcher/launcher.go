// Package launcher starts a fleet of real processes on loopback for tests: the
// platform, engines, services and nodes, each behind a fault-injecting proxy when asked.
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
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/platformcaller"
)

// Keys of the fleet's one client account and one operator, and their team.
const (
	AccountKey  = "test-account-key"
	OperatorKey = "test-operator-key"
	Team        = "dakar"
	Model       = "atlas"
)

const (
	startTimeout = 10 * time.Second
	dataCentre   = "plateau"
	// exitNotRun is how fbctl ends when a node that has just started says to come back.
	exitNotRun = 5
	poll       = 20 * time.Millisecond
)

// Process is one started process.
type Process struct {
	Name    string
	Address string
	// Peer is a node's address for the other nodes.
	Peer string
	cmd  *exec.Cmd
	done chan struct{}
}

// Fleet is a set of started processes and the folder of their files.
type Fleet struct {
	t        testing.TB
	dir      string
	bin      string
	Platform *Process
	Nodes    []*Process
	Engines  map[string]*Process
	Services map[string]*Process
	proxies  map[string]*Process
	// targets holds the ids of the targets that were listed.
	targets map[string]bool
}

// binaries returns the folder of the programs.
func binaries(t testing.TB) string {
	t.Helper()
	bin, err := filepath.Abs("../.bin")
	if err != nil {
		t.Fatal(err)
	}
	return bin
}

// NewFleet starts a platform with the given extra flags; all its processes end with the test.
func NewFleet(t testing.TB, platformFlags ...string) *Fleet {
	t.Helper()
	f := &Fleet{
		t: t, dir: t.TempDir(), bin: binaries(t),
		Engines: map[string]*Process{}, Services: map[string]*Process{}, proxies: map[string]*Process{}, targets: map[string]bool{},
	}
	address := FreeAddress(t)
	flags := append([]string{"platform", "--listen", address, "--vm-lag", "200ms"}, platformFlags...)
	f.Platform = f.start("platform", "fbstandin", address, flags...)
	f.awaitURL("http://" + address + "/v1/vms")
	return f
}

// Ports below the range that the system gives to outgoing connections, so that no
// connection takes an address between its choice and its use.
const (
	firstPort = 20_000
	// portStride keeps test processes that run side by side, whose process ids are close, apart.
	portStride = 211
	portCount  = 12_000
)

var nextPort atomic.Int64

// FreeAddress returns a loopback address that nothing listens on.
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

// AddEngine starts an engine with the layers from..to-1 and lists it. Its ledger is written to the fleet's folder.
func (f *Fleet) AddEngine(id string, from, to int, flags ...string) *Process {
	f.t.Helper()
	address := FreeAddress(f.t)
	p := f.StartEngine(id, address, from, to, flags...)
	f.ListVM(platformcaller.VM{ID: id, Role: platformcaller.RoleEngine, Address: address, DataCentre: dataCentre})
	return p
}

// StartEngine starts an engine at address without listing it.
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

// AddService starts one replica of a plain service and lists it.
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

// AddProxy starts a proxy before the address and returns it; its faults are set with SetFault.
func (f *Fleet) AddProxy(name, target string) *Process {
	f.t.Helper()
	address, control := FreeAddress(f.t), FreeAddress(f.t)
	p := f.start(name, "fbstandin", address, "proxy", "--listen", address, "--control", control, "--target", target)
	f.proxies[name] = &Process{Name: name, Address: control}
	f.awaitDial(address)
	f.awaitDial(control)
	return p
}

// AddNode starts a node and lists it. Its platform may be a proxy's address; empty means the platform itself.
func (f *Fleet) AddNode(id, platform string, flags ...string) *Process {
	f.t.Helper()
	if platform == "" {
		platform = f.Platform.Address
	}
	p := f.startNode(id, platform, flags...)
	f.Nodes = append(f.Nodes, p)
	return p
}

// ReplaceNode starts a node with the same id at new addresses in the place of a killed one.
func (f *Fleet) ReplaceNode(i int, flags ...string) *Process {
	f.t.Helper()
	f.Nodes[i] = f.startNode(f.Nodes[i].Name, f.Platform.Address, flags...)
	return f.Nodes[i]
}

func (f *Fleet) startNode(id, platform string, flags ...string) *Process {
	f.t.Helper()
	address, peer := FreeAddress(f.t), FreeAddress(f.t)
	args := append([]string{
		"--node", id, "--data-centre", dataCentre, "--listen", address, "--peer-listen", peer, "--platform", platform,
		"--operator-keys", Team + "=" + Hash(OperatorKey), "--balancer-lag", "300ms",
	}, flags...)
	p := f.start(id, "entry", address, args...)
	p.Peer = peer
	f.awaitURL("http://" + address + "/healthz")
	f.ListVM(platformcaller.VM{ID: id, Role: platformcaller.RoleEntry, Address: peer, DataCentre: dataCentre})
	return p
}

// Restart starts an ended process again, with the same settings.
func (f *Fleet) Restart(p *Process) *Process {
	f.t.Helper()
	return f.start(p.Name, filepath.Base(p.cmd.Path), p.Address, p.cmd.Args[1:]...)
}

// Configure sets the account, the model of the given layers and the services, and waits until every node is ready.
func (f *Fleet) Configure(layers int, more ...string) {
	f.t.Helper()
	args := append([]string{
		"accounts/studio/key_sha256=" + Hash(AccountKey), fmt.Sprintf("models/%s/layers=%d", Model, layers),
		"services/ledger/idempotent=false", "services/catalogue/idempotent=true",
		"classes/counter/priority=9", "classes/bulk/priority=1",
	}, more...)
	Await(f.t, startTimeout, "the configuration is accepted", func() bool {
		out, code := f.Ctl("set", append([]string{"--team", Team}, args...)...)
		if code != 0 && code != exitNotRun {
			f.t.Fatalf("configuring ended %d: %s", code, out)
		}
		return code == 0
	})
	for _, n := range f.Nodes {
		f.awaitURL("http://" + n.Address + "/readyz")
		Await(f.t, startTimeout, n.Name+" has seen every target", func() bool { return f.seesTargets(n) })
	}
}

// seesTargets reports whether the node knows the state of every target that was listed.
func (f *Fleet) seesTargets(n *Process) bool {
	out, code := f.CtlAt(n, "status", "--output", "json")
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
	seen := map[string]bool{}
	for _, t := range nodes[0].Status.Targets {
		seen[t.ID] = t.State != "unknown"
	}
	for id := range f.targets {
		if !seen[id] {
			return false
		}
	}
	return true
}

// Ctl runs one command of fbctl against the fleet's nodes and returns its output and exit code.
func (f *Fleet) Ctl(command string, args ...string) (string, int) {
	addresses := make([]string, 0, len(f.Nodes))
	for _, n := range f.Nodes {
		addresses = append(addresses, n.Address)
	}
	return f.ctl(strings.Join(addresses, ","), command, args)
}

// CtlAt runs one command of fbctl against one node and returns its output and exit code.
func (f *Fleet) CtlAt(node *Process, command string, args ...string) (string, int) {
	return f.ctl(node.Address, command, args)
}

func (f *Fleet) ctl(nodes, command string, args []string) (string, int) {
	all := append([]string{command, "--nodes", nodes, "--key", OperatorKey}, args...)
	cmd := exec.Command(filepath.Join(f.bin, "fbctl"), all...)
	out, _ := cmd.CombinedOutput()
	return string(out), cmd.ProcessState.ExitCode()
}

// Ledger returns the lines of a stand-in's ledger, decoded into T.
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
			f.t.Fatalf("ledger of %s: %v: %s", id, err, line)
		}
		entries = append(entries, e)
	}
	return entries
}

// ListVM writes one row of the VM list.
func (f *Fleet) ListVM(vm platformcaller.VM) {
	f.t.Helper()
	if vm.Role != platformcaller.RoleEntry {
		f.targets[vm.ID] = true
	}
	f.post(http.MethodPut, "http://"+f.Platform.Address+"/v1/vms", vm)
}

// SetFault sets the fault of a stand-in (by its process) or of a proxy.
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
	cmd := exec.Command(filepath.Join(f.bin, program), args...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	p := &Process{Name: name, Address: address, cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.done)
	}()
	f.t.Cleanup(func() {
		p.Kill()
		_ = log.Close()
		if f.t.Failed() {
			f.printTail(name)
		}
	})
	return p
}

const tailBytes = 3000

func (f *Fleet) printTail(name string) {
	raw, err := os.ReadFile(filepath.Join(f.dir, name+".log"))
	if err != nil {
		return
	}
	if len(raw) > tailBytes {
		raw = raw[len(raw)-tailBytes:]
	}
	f.t.Logf("end of %s's log:\n%s", name, raw)
}

// Kill ends the process at once, as kill -9 does.
func (p *Process) Kill() { p.signal(syscall.SIGKILL); <-p.done }

// Stop asks the process to stop, as a planned stop does.
func (p *Process) Stop() { p.signal(syscall.SIGTERM) }

// Freeze pauses the process, as a VM that stalls does.
func (p *Process) Freeze() { p.signal(syscall.SIGSTOP) }

// Thaw lets a frozen process go on.
func (p *Process) Thaw() { p.signal(syscall.SIGCONT) }

// Ended reports whether the process has ended.
func (p *Process) Ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// AwaitEnd waits until the process has ended and returns its exit code.
func (p *Process) AwaitEnd(timeout time.Duration) (int, bool) {
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode(), true
	case <-time.After(timeout):
		return 0, false
	}
}

func (p *Process) signal(s syscall.Signal) {
	if !p.Ended() {
		_ = p.cmd.Process.Signal(s)
	}
}

// Await polls until the condition holds, or fails the test at the deadline.
func Await(t testing.TB, timeout time.Duration, what string, holds func() bool) {
	t.Helper()
	deadline := time.Now().Add(timeout)
	for time.Now().Before(deadline) {
		if holds() {
			return
		}
		time.Sleep(poll)
	}
	t.Fatalf("not within %v: %s", timeout, what)
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

// Hash returns the hex SHA-256 of a bearer key.
func Hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
