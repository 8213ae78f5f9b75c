// Package lab starts one or more entry processes beside stand-ins of the store, of plain targets and of callers, all on
// loopback addresses, and writes down what they see.
package lab

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"fuchsiabridge.example/platform/storefaker"
)

const (
	startTimeout = 15 * time.Second
	pollInterval = 50 * time.Millisecond
	// maxRun bounds a whole run.
	maxRun = 116 * time.Second
	// grace is grace_s.
	grace = 8 * time.Second
	// zone is the zone of all machines and targets.
	zone = "plateau"
)

// Exit codes of a case.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitNotRun = 2
)

// Lab is one run of a case.
type Lab struct {
	// Trouble is false in a run without the disruption.
	Trouble bool
	Store   *storefaker.Store

	ctx    context.Context
	entry  string
	dir    string
	begun  time.Time
	mu     sync.Mutex
	record *os.File
	nodes  []*Node
}

// Node is one entry process.
type Node struct {
	// Address is where it serves callers, Ready where it answers the readiness check.
	Address string
	Ready   string

	name   string
	env    []string
	cmd    *exec.Cmd
	exited chan struct{}
}

// Run runs a case and ends the process with the case's exit code. play returns whether the rule was broken.
func Run(play func(l *Lab) (isBroken bool, err error)) {
	entry := flag.String("entry", "../target/entry", "the program under test")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	os.Exit(run(*entry, *record, play))
}

func run(entry, record string, play func(l *Lab) (bool, error)) int {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l, err := newLab(ctx, entry, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return ExitNotRun
	}
	defer l.close()
	time.AfterFunc(maxRun, func() {
		l.Note("the case could not run: it takes longer than %s", maxRun)
		l.close()
		os.Exit(ExitNotRun)
	})
	isBroken, err := play(l)
	switch {
	case err != nil:
		l.Note("the case could not run: %v", err)
		return ExitNotRun
	case isBroken:
		l.Note("RESULT: the rule was broken")
		return ExitBroken
	}
	l.Note("RESULT: the rule held")
	return ExitHeld
}

func newLab(ctx context.Context, entry, record string) (*Lab, error) {
	program, err := filepath.Abs(entry)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	store, err := storefaker.NewStore(ctx)
	if err != nil {
		return nil, err
	}
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	l := &Lab{Trouble: os.Getenv("TROUBLE") != "0", Store: store, ctx: ctx, entry: program, dir: dir, begun: time.Now(), record: f}
	l.Note("disruption: %v", l.Trouble)
	return l, nil
}

// Note writes a line with the time since the start of the run to the record and to standard output.
func (l *Lab) Note(format string, args ...any) {
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(l.begun).Seconds(), fmt.Sprintf(format, args...))
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Print(line)
	_, _ = l.record.WriteString(line)
}

func (l *Lab) close() {
	for _, n := range l.nodes {
		n.Kill()
	}
	_ = l.record.Close()
	_ = os.RemoveAll(l.dir)
}

// freeAddress returns a loopback address on which nothing listens.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// StartNode starts an entry process with the command of the deploy file and the settings of the Dakar deployment.
func (l *Lab) StartNode(name string) (*Node, error) {
	var addresses [4]string
	for i := range addresses {
		var err error
		if addresses[i], err = freeAddress(); err != nil {
			return nil, err
		}
	}
	env := []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + l.dir, "LANG=C",
		"FUCHSIABRIDGE_NODE=" + name, "FUCHSIABRIDGE_DATA_CENTRE=" + zone,
		"FUCHSIABRIDGE_LISTEN=" + addresses[0], "FUCHSIABRIDGE_HEALTH_LISTEN=" + addresses[1],
		"FUCHSIABRIDGE_PEER_LISTEN=" + addresses[2], "FUCHSIABRIDGE_METRICS_LISTEN=" + addresses[3],
		"FUCHSIABRIDGE_STORE=" + l.Store.Address(), "FUCHSIABRIDGE_REVOCATION_LIMIT=5000ms", "FUCHSIABRIDGE_CHANGE_LIMIT=2000ms",
		"FUCHSIABRIDGE_HEARTBEAT=1200ms", "FUCHSIABRIDGE_RETRY_RATIO=0.2", "FUCHSIABRIDGE_RETRY_SLACK=200",
		"FUCHSIABRIDGE_STORE_PARTS=12", "FUCHSIABRIDGE_RETRY_WINDOW=10s", "FUCHSIABRIDGE_STOP_LIMIT=8s",
	}
	n := &Node{Address: addresses[0], Ready: addresses[1], name: name, env: env}
	if err := l.start(n); err != nil {
		return nil, err
	}
	l.nodes = append(l.nodes, n)
	return n, l.awaitReady(n)
}

// start starts a node's process.
func (l *Lab) start(n *Node) error {
	log, err := os.OpenFile(filepath.Join(l.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(l.entry, "relay")
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = n.env
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.cmd, n.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	l.Note("node %s started, for callers at %s", n.name, n.Address)
	return nil
}

// Restart stops a node as the platform does for planned work, and starts it again. It returns when the node is ready.
func (l *Lab) Restart(n *Node) error {
	l.Note("platform: SIGTERM to node %s", n.name)
	n.Signal(syscall.SIGTERM)
	select {
	case <-n.exited:
	case <-time.After(grace):
		l.Note("platform: SIGKILL to node %s", n.name)
		n.Kill()
	}
	if err := l.start(n); err != nil {
		return err
	}
	return l.awaitReady(n)
}

func (l *Lab) awaitReady(n *Node) error {
	client := http.Client{Timeout: time.Second}
	for until := time.Now().Add(startTimeout); time.Now().Before(until); time.Sleep(pollInterval) {
		resp, err := client.Get("http://" + n.Ready + "/api/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New("the node did not become ready")
}

// Signal sends a signal, unless the process has exited.
func (n *Node) Signal(s syscall.Signal) {
	if !n.HasExited() {
		_ = n.cmd.Process.Signal(s)
	}
}

// Kill kills the process and waits for its end.
func (n *Node) Kill() {
	n.Signal(syscall.SIGKILL)
	<-n.exited
}

// HasExited reports whether the process has ended.
func (n *Node) HasExited() bool {
	select {
	case <-n.exited:
		return true
	default:
		return false
	}
}
