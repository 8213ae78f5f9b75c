// Package experimenter runs one load experiment against a running fleet and summarizes the results.
package experimenter

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"fuchsiabridge.example/common/answerlimiter"
	"fuchsiabridge.example/common/enginecaller"
	"fuchsiabridge.example/common/httpcaller"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/platformcaller"
	"fuchsiabridge.example/common/sleeper"
	"fuchsiabridge.example/fbload/internal/bounder"
	"fuchsiabridge.example/fbload/internal/ledgerreader"
	"fuchsiabridge.example/fbload/internal/runner"
	"fuchsiabridge.example/fbload/internal/scheduler"
	"fuchsiabridge.example/fbload/internal/summarizer"
	"fuchsiabridge.example/fbload/requester"
)

const (
	// blockTokens is the number of prompt tokens in one block of the engines' prefix caches.
	blockTokens = 16
	// sampleLength and sampleRate (requests per second) define the sample of arrivals from which the mean
	// draft is computed.
	sampleLength = 100 * time.Second
	sampleRate   = 100
	procStat     = "/proc/stat"
	// idleField is the index of the idle time in the first line of /proc/stat.
	idleField = 4
)

// Config describes an experiment and the fleet it runs against.
type Config struct {
	Experiment string
	// Label distinguishes this run from others of the experiment.
	Label string
	// Choice is the name of the policy in force at the nodes; it is only copied to the summary.
	Choice   string
	MixName  string
	Nodes    []string
	Platform string
	Model    identifier.ModelID
	Layers   identifier.Layer
	Accounts []scheduler.Account
	// Watched is the key of an account whose time to first token is also reported separately.
	Watched string
	// Offered is the rate of drafts as a share of the bound.
	Offered float64
	// Rate is the number of requests per second; 0 derives it from Offered.
	Rate    int
	Seed    uint64
	WarmUp  time.Duration
	Length  time.Duration
	Retry   bool
	Ledgers string
	// FaultFile holds, after the run, the time of the injected fault in Unix milliseconds. Empty means
	// that there is no fault.
	FaultFile string
	// FaultTarget is the engine that the fault stopped; empty if it was a node.
	FaultTarget string
}

// Run runs the experiment and returns its summary.
func Run(ctx context.Context, cfg Config) (summarizer.Summary, error) {
	mix, ok := scheduler.Mixes()[cfg.MixName]
	if !ok {
		return summarizer.Summary{}, errors.Newf("unknown mix %q", cfg.MixName)
	}
	plan := scheduler.Plan{Seed: cfg.Seed, Rate: sampleRate, Length: sampleLength, Mix: mix, Accounts: cfg.Accounts}
	sampleWork := scheduler.TotalWork(scheduler.Draw(plan), blockTokens)
	bound, err := fleetBound(ctx, cfg, sampleWork)
	if err != nil {
		return summarizer.Summary{}, err
	}
	draftShare := float64(sampleWork.Drafts) / (sampleRate * sampleLength.Seconds())
	plan.Rate = cfg.Offered * bound / draftShare
	if cfg.Rate > 0 {
		plan.Rate = float64(cfg.Rate)
		cfg.Offered = plan.Rate * draftShare / bound
	}
	plan.Length = cfg.WarmUp + cfg.Length
	name := fmt.Sprintf("%s-%d", cfg.Experiment, time.Now().UnixNano())
	r := requester.NewRequester()
	defer r.Close()
	start := time.Now()
	window := summarizer.Window{From: start.Add(cfg.WarmUp), To: start.Add(plan.Length)}
	cpu := measureCPU(ctx, window)
	results := runner.Run(ctx, runner.Config{Name: name, Nodes: cfg.Nodes, Model: string(cfg.Model), Retry: cfg.Retry}, r, start, scheduler.Draw(plan))
	executed, err := ledgerreader.Read(cfg.Ledgers, name)
	if err != nil {
		return summarizer.Summary{}, err
	}
	s := summarizer.Summarize(summarizer.Config{Window: window, Layers: cfg.Layers, Watched: cfg.Watched}, results, executed)
	s.Experiment, s.Label, s.Choice, s.Mix = cfg.Experiment, cfg.Label, cfg.Choice, cfg.MixName
	s.Offered, s.Rate = cfg.Offered, plan.Rate
	s.Bound = bound * float64(sampleWork.Tokens) / float64(sampleWork.Drafts)
	s.ShareOfBound = s.GoodputTokens / s.Bound
	s.CPUShare = <-cpu
	if cfg.FaultFile != "" {
		s.Recovery, err = measureRecovery(cfg, window, results, executed)
	}
	return s, err
}

// fleetBound returns the bound of the listed engines, in drafts per second, from the status that they
// report.
func fleetBound(ctx context.Context, cfg Config, work scheduler.Work) (float64, error) {
	caller := httpcaller.NewCaller(answerlimiter.NewDefault())
	vms, err := platformcaller.NewCaller(caller, cfg.Platform).VMs(ctx)
	if err != nil {
		return 0, err
	}
	var engines []enginecaller.Status
	for _, vm := range vms {
		if vm.Role != platformcaller.RoleEngine || vm.Leaving {
			continue
		}
		status, err := enginecaller.NewCaller(caller).Status(ctx, vm.Address)
		if err != nil {
			return 0, err
		}
		if status.Model == cfg.Model {
			engines = append(engines, status)
		}
	}
	return bounder.Bound(engines, cfg.Layers, bounder.Draft{
		Tokens:               float64(work.Tokens) / float64(work.Drafts),
		UncachedPromptTokens: float64(work.UncachedPromptTokens) / float64(work.Drafts),
	})
}

func measureRecovery(cfg Config, w summarizer.Window, results []runner.Result, executed ledgerreader.Executions) (*summarizer.Recovery, error) {
	raw, err := os.ReadFile(cfg.FaultFile)
	if err != nil {
		return nil, errors.Wrap(err, "reading the time of the fault")
	}
	millis, err := strconv.ParseInt(strings.TrimSpace(string(raw)), 10, 64)
	if err != nil {
		return nil, errors.Wrap(err, "reading the time of the fault")
	}
	return summarizer.MeasureRecovery(time.UnixMilli(millis), cfg.FaultTarget, w, results, executed), nil
}

// measureCPU measures the machine's CPU utilization, from 0 to 1, within the window.
func measureCPU(ctx context.Context, w summarizer.Window) <-chan float64 {
	share := make(chan float64, 1)
	go func() {
		sleeper.Sleep(ctx, time.Until(w.From))
		busy, total := cpuTicks()
		sleeper.Sleep(ctx, time.Until(w.To))
		busyAfter, totalAfter := cpuTicks()
		share <- float64(busyAfter-busy) / float64(max(1, totalAfter-total))
	}()
	return share
}

// cpuTicks returns the machine's busy and total CPU time in clock ticks, from /proc/stat.
func cpuTicks() (busy, total int64) {
	raw, err := os.ReadFile(procStat)
	if err != nil {
		return 0, 0
	}
	line, _, _ := bytes.Cut(raw, []byte("\n"))
	for i, field := range strings.Fields(string(line)) {
		n, err := strconv.ParseInt(field, 10, 64)
		if err != nil {
			continue
		}
		total += n
		if i != idleField {
			busy += n
		}
	}
	return busy, total
}
