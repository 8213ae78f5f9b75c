package integration_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/httpcaller"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/platformcaller"
	"fuchsiabridge.example/integration/launcher"
)

// Exit codes of fbctl, as its help gives them.
const (
	exitOK       = 0
	exitUsage    = 2
	exitRejected = 3
	exitUnknown  = 4
	exitNotRun   = 5
)

func writeFile(t *testing.T, name, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// TestOperatorsCommandLine applies files, good and bad, and asks why changes went as they did.
func TestOperatorsCommandLine(t *testing.T) {
	c := qt.New(t)
	f := launcher.NewFleet(t)
	f.AddNode("node-1", "")
	f.AddNode("node-2", "")
	f.Configure(24, configPath+"=1")
	revision := revisionOf(f.Nodes[0])

	bad := writeFile(t, "bad.conf", "classes/bulk/priority=99\nnowhere=1\nnothing\n")
	out, code := f.Ctl("apply", "--team", launcher.Team, bad)
	c.Assert(code, qt.Equals, exitRejected)
	for _, place := range []string{"bad.conf:1: classes/bulk/priority", "bad.conf:2: nowhere", "bad.conf:3: must be PATH=VALUE"} {
		c.Check(out, qt.Contains, place)
	}
	good := writeFile(t, "good.json", `{"classes": {"bulk": {"priority": 2, "deadline_ms": 9000}}}`)
	out, code = f.Ctl("apply", "--team", launcher.Team, "--dry-run", good)
	c.Assert(code, qt.Equals, exitOK)
	c.Assert(out, qt.Contains, "classes/bulk/deadline_ms")
	c.Assert(revisionOf(f.Nodes[0]), qt.Equals, revision)

	out, code = f.Ctl("apply", "--team", launcher.Team, "--change-id", "first", "--expected", revisionText(revision), "--author", "amina", good)
	c.Assert(code, qt.Equals, exitOK, qt.Commentf(out))
	out, code = f.Ctl("apply", "--team", launcher.Team, "--change-id", "first", "--expected", revisionText(revision), good)
	c.Assert(code, qt.Equals, exitOK, qt.Commentf(out))
	for _, node := range f.Nodes {
		awaitRevision(t, node, revision+1)
	}
	out, code = f.Ctl("set", "--team", launcher.Team, "--change-id", "second", "--expected", revisionText(revision), "classes/bulk/priority=3")
	c.Assert(code, qt.Equals, exitRejected)
	c.Assert(out, qt.Contains, "change first at offset")

	out, code = f.Ctl("explain", "change/second")
	c.Assert(code, qt.Equals, exitOK)
	c.Assert(out, qt.Contains, "change second of team dakar was rejected")
	for _, node := range f.Nodes {
		c.Check(out, qt.Contains, node.Address)
	}
	out, code = f.Ctl("explain", "--output", "json", "change/first")
	c.Assert(code, qt.Equals, exitOK)
	var events []struct{ Event int }
	c.Assert(json.Unmarshal([]byte(out), &events), qt.IsNil, qt.Commentf(out))
	c.Assert(len(events) >= 3, qt.IsTrue)
}

func revisionText(r identifier.Revision) string {
	raw, _ := json.Marshal(r)
	return string(raw)
}

// TestCommandLineWhenThingsFail uses the command line with a frozen node, in an outage, when
// appends get no answer, with a wrong key and with wrong arguments.
func TestCommandLineWhenThingsFail(t *testing.T) {
	c := qt.New(t)
	f := launcher.NewFleet(t)
	f.AddNode("node-1", "")
	f.AddNode("node-2", "")
	f.Configure(24, configPath+"=1")
	set := func(args ...string) (string, int) {
		return f.Ctl("set", append([]string{"--team", launcher.Team}, args...)...)
	}

	f.Nodes[0].Freeze()
	out, code := set(configPath + "=2")
	c.Assert(code, qt.Equals, exitOK, qt.Commentf(out))
	out, code = f.Ctl("status")
	c.Assert(code, qt.Equals, exitOK)
	c.Assert(out, qt.Contains, "no answer")
	c.Assert(out, qt.Contains, "node-2")
	f.Nodes[0].Thaw()

	f.SetFault(f.Platform, map[string]any{"lose_answers": 1})
	out, code = set(configPath + "=3")
	c.Assert(code, qt.Equals, exitOK, qt.Commentf(out))
	f.SetFault(f.Platform, map[string]any{"down": true})
	launcher.Await(t, inForceWithin, "the nodes know of the outage", func() bool {
		return slices.Contains(logEventsOf(f.Nodes[0]), eventlogger.LogUnreachable.Number) &&
			slices.Contains(logEventsOf(f.Nodes[1]), eventlogger.LogUnreachable.Number)
	})
	from := time.Now()
	out, code = set(configPath + "=5")
	c.Assert(code, qt.Equals, exitNotRun, qt.Commentf(out))
	c.Assert(time.Since(from) < 2*time.Second, qt.IsTrue)
	out, code = set("--change-id", "asked-before", "--expected", "1", configPath+"=5")
	c.Assert(code, qt.Equals, exitUnknown, qt.Commentf(out))
	c.Assert(out, qt.Contains, "--change-id asked-before --expected 1")

	for _, args := range [][]string{{}, {"no-equals-sign"}, {"--change-id", "x", configPath + "=5"}, {"--expected", "many", configPath + "=5"}} {
		out, code = set(args...)
		c.Check(code == exitUsage || code == exitRejected, qt.IsTrue, qt.Commentf("%v: %s", args, out))
	}
	out, code = f.CtlAt(f.Nodes[0], "get", "--key", "a-wrong-secret", "--team", launcher.Team)
	c.Assert(code, qt.Equals, exitRejected)
	c.Assert(strings.Contains(out, "a-wrong-secret"), qt.IsFalse)
	out, code = f.Ctl("no-such-command")
	c.Assert(code, qt.Equals, exitUsage)
	c.Assert(out, qt.Contains, "usage: fbctl")
	out, code = f.Ctl("completion")
	c.Assert(code, qt.Equals, exitOK)
	c.Assert(out, qt.Contains, "complete -o nospace -F _fbctl fbctl")
}

// TestBeginOnAnOldLog starts on a log whose oldest records are gone and which never held a
// configuration: the node does not guess, and begins when the operator says so.
func TestBeginOnAnOldLog(t *testing.T) {
	c := qt.New(t)
	f := launcher.NewFleet(t, "--keep", "1s")
	caller := platformcaller.NewCaller(httpcaller.NewCaller(), f.Platform.Address)
	ctx := t.Context()
	_, err := caller.Append(ctx, []platformcaller.Record{{ID: "other", Stream: "other"}})
	c.Assert(err, qt.IsNil)
	launcher.Await(t, 5*time.Second, "the log drops its oldest record", func() bool {
		page, err := caller.Read(ctx, platformcaller.ReadRequest{})
		return err == nil && page.First > 0
	})
	node := f.AddNode("node-1", "", "--log-keep", "1m")
	_, code := f.Ctl("set", "--team", launcher.Team, configPath+"=1")
	c.Assert(code, qt.Equals, exitNotRun)
	c.Assert(logEventsOf(node), qt.Contains, eventlogger.RecordsLost.Number)
	out, code := f.Ctl("begin")
	c.Assert(code, qt.Equals, exitOK, qt.Commentf(out))
	f.Configure(24, configPath+"=1")
	_, code = f.Ctl("begin")
	c.Assert(code, qt.Equals, exitRejected)
}
