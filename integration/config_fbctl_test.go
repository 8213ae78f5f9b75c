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

	"fuchsiabridge.example/common/answerlimiter"
	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/httpcaller"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/platformcaller"
	"fuchsiabridge.example/integration/launcher"
)

// Exit codes of fbctl, as documented in its help.
const (
	exitOK       = 0
	exitUsage    = 2
	exitRejected = 3
	exitUnknown  = 4
	exitNotRun   = 5
)

func writeTempFile(t *testing.T, name, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// TestFBCtlAppliesAndExplainsChanges guards the operators' command line: an invalid file is
// rejected with the line of each problem, a dry run changes nothing, a repeated change id is
// applied once, and "explain" shows why a change was accepted or rejected.
func TestFBCtlAppliesAndExplainsChanges(t *testing.T) {
	c := qt.New(t)
	f := launcher.NewFleet(t)
	f.AddNode("node-1", "")
	f.AddNode("node-2", "")
	f.Configure(24, weightPath+"=1")
	revision := teamRevision(f.Nodes[0])

	invalid := writeTempFile(t, "bad.conf", "classes/bulk/priority=99\nnowhere=1\nnothing\n")
	out, code := f.FBCtl("apply", "--team", launcher.Team, invalid)
	c.Assert(code, qt.Equals, exitRejected)
	for _, problem := range []string{"bad.conf:1: classes/bulk/priority", "bad.conf:2: nowhere", "bad.conf:3: must be PATH=VALUE"} {
		c.Check(out, qt.Contains, problem)
	}
	valid := writeTempFile(t, "good.json", `{"classes": {"bulk": {"priority": 2, "deadline_ms": 9000}}}`)
	out, code = f.FBCtl("apply", "--team", launcher.Team, "--dry-run", valid)
	c.Assert(code, qt.Equals, exitOK)
	c.Assert(out, qt.Contains, "classes/bulk/deadline_ms")
	c.Assert(teamRevision(f.Nodes[0]), qt.Equals, revision)

	out, code = f.FBCtl("apply", "--team", launcher.Team, "--change-id", "first", "--expected", revisionText(revision), "--author", "amina", valid)
	c.Assert(code, qt.Equals, exitOK, qt.Commentf(out))
	out, code = f.FBCtl("apply", "--team", launcher.Team, "--change-id", "first", "--expected", revisionText(revision), valid)
	c.Assert(code, qt.Equals, exitOK, qt.Commentf(out))
	for _, node := range f.Nodes {
		awaitRevision(t, node, revision+1)
	}
	out, code = f.FBCtl("set", "--team", launcher.Team, "--change-id", "second", "--expected", revisionText(revision), "classes/bulk/priority=3")
	c.Assert(code, qt.Equals, exitRejected)
	c.Assert(out, qt.Contains, "change first at offset")

	out, code = f.FBCtl("explain", "change/second")
	c.Assert(code, qt.Equals, exitOK)
	c.Assert(out, qt.Contains, "change second of team dakar was rejected")
	for _, node := range f.Nodes {
		c.Check(out, qt.Contains, node.Address)
	}
	out, code = f.FBCtl("explain", "--output", "json", "change/first")
	c.Assert(code, qt.Equals, exitOK)
	var events []struct{ Event int }
	c.Assert(json.Unmarshal([]byte(out), &events), qt.IsNil, qt.Commentf(out))
	c.Assert(len(events) >= 3, qt.IsTrue)
}

func revisionText(r identifier.Revision) string {
	raw, _ := json.Marshal(r)
	return string(raw)
}

// TestFBCtlExitCodesUnderFaults checks fbctl's exit codes with a paused node, when the answer to
// an append is lost, during a log outage, with wrong arguments and with a wrong key.
func TestFBCtlExitCodesUnderFaults(t *testing.T) {
	c := qt.New(t)
	f := launcher.NewFleet(t)
	f.AddNode("node-1", "")
	f.AddNode("node-2", "")
	f.Configure(24, weightPath+"=1")
	set := func(args ...string) (string, int) {
		return f.FBCtl("set", append([]string{"--team", launcher.Team}, args...)...)
	}

	f.Nodes[0].Pause()
	out, code := set(weightPath + "=2")
	c.Assert(code, qt.Equals, exitOK, qt.Commentf(out))
	out, code = f.FBCtl("status")
	c.Assert(code, qt.Equals, exitOK)
	c.Assert(out, qt.Contains, "no answer")
	c.Assert(out, qt.Contains, "node-2")
	f.Nodes[0].Resume()

	f.SetFault(f.Platform, map[string]any{"lose_answers": 1})
	out, code = set(weightPath + "=3")
	c.Assert(code, qt.Equals, exitOK, qt.Commentf(out))
	f.SetFault(f.Platform, map[string]any{"down": true})
	launcher.Await(t, maxPropagationTime, "both nodes detect the outage", func() bool {
		return slices.Contains(logEventNumbers(f.Nodes[0]), eventlogger.LogUnreachable.Number) &&
			slices.Contains(logEventNumbers(f.Nodes[1]), eventlogger.LogUnreachable.Number)
	})
	// During the outage, a new change is known not to have run. A resubmitted one, which has an explicit
	// change id, may have been appended by an earlier call, so its outcome is unknown.
	started := time.Now()
	out, code = set(weightPath + "=5")
	c.Assert(code, qt.Equals, exitNotRun, qt.Commentf(out))
	c.Assert(time.Since(started) < 2*time.Second, qt.IsTrue)
	out, code = set("--change-id", "asked-before", "--expected", "1", weightPath+"=5")
	c.Assert(code, qt.Equals, exitUnknown, qt.Commentf(out))
	c.Assert(out, qt.Contains, "--change-id asked-before --expected 1")

	for _, args := range [][]string{{}, {"no-equals-sign"}, {"--change-id", "x", weightPath + "=5"}, {"--expected", "many", weightPath + "=5"}} {
		out, code = set(args...)
		c.Check(code == exitUsage || code == exitRejected, qt.IsTrue, qt.Commentf("%v: %s", args, out))
	}
	out, code = f.FBCtlAt(f.Nodes[0], "get", "--key", "a-wrong-secret", "--team", launcher.Team)
	c.Assert(code, qt.Equals, exitRejected)
	c.Assert(strings.Contains(out, "a-wrong-secret"), qt.IsFalse)
	out, code = f.FBCtl("no-such-command")
	c.Assert(code, qt.Equals, exitUsage)
	c.Assert(out, qt.Contains, "usage: fbctl")
	out, code = f.FBCtl("completion")
	c.Assert(code, qt.Equals, exitOK)
	c.Assert(out, qt.Contains, "complete -o nospace -F _fbctl fbctl")
}

// TestBeginOnTruncatedLog starts a node on a log whose oldest records have been trimmed and that
// holds no configuration. The node cannot tell whether a configuration was lost, so it refuses
// changes until the operator runs "fbctl begin".
func TestBeginOnTruncatedLog(t *testing.T) {
	c := qt.New(t)
	f := launcher.NewFleet(t, "--keep", "1s")
	caller := platformcaller.NewCaller(httpcaller.NewCaller(answerlimiter.NewDefault()), f.Platform.Address)
	ctx := t.Context()
	_, err := caller.Append(ctx, []platformcaller.Record{{ID: "other", Stream: "other"}})
	c.Assert(err, qt.IsNil)
	launcher.Await(t, 5*time.Second, "the log trims its oldest record", func() bool {
		page, err := caller.Read(ctx, platformcaller.ReadRequest{})
		return err == nil && page.First > 0
	})
	node := f.AddNode("node-1", "", "--log-keep", "1m")
	_, code := f.FBCtl("set", "--team", launcher.Team, weightPath+"=1")
	c.Assert(code, qt.Equals, exitNotRun)
	c.Assert(logEventNumbers(node), qt.Contains, eventlogger.RecordsLost.Number)
	out, code := f.FBCtl("begin")
	c.Assert(code, qt.Equals, exitOK, qt.Commentf(out))
	f.Configure(24, weightPath+"=1")
	_, code = f.FBCtl("begin")
	c.Assert(code, qt.Equals, exitRejected)
}
