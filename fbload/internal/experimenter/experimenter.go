// Package experimenter runs one experiment against a running fleet and sums it up.
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

	"fuchsiabridge.example/common/enginecaller"
	"fuchsiabridge.example/common/httpcaller"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/platformcaller"
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
	// sampleLength is the length of the plan that the mean draft is taken from.
	sampleLength = 100 * time.Second
	sampleRate   = 100
	procStat     = "/proc/stat"
	idleField    = 4
)

// Config says what to run, and where.
type Config struct {
	Experiment string
	Label      string
	Choice     string
	MixName    string
	Nodes      []string
	Platform   string
	Model      identifier.ModelID
	Layers     identifier.Layer
	Accounts   []scheduler.Account
	Watched    string
	// Offered is the share of the bound at which drafts arrive.
	Offered float64
	// Rate is the requests a second; by Offered when 0.
	Rate    int
	Seed    uint64
	WarmUp  time.Duration
	Length  time.Duration
	Repeat  bool
	Ledgers string
	// FaultFile is where the instant of a fault is found after the run, in Unix milliseconds; none when empty.
	FaultFile   string
	FaultTarget string
}

// Run runs the experiment and returns what it showed.
func Run(ctx context.Context, cfg Config) (summarizer.Summary, error) {
	mix, ok := scheduler.Mixes()[cfg.MixName]
	if !ok {
		return summarizer.Summary{}, errors.Newf("there is no mix %q", cfg.MixName)
	}
	plan := scheduler.Plan{Seed: cfg.Seed, Rate: sampleRate, Length: sampleLength, Mix: mix, Accounts: cfg.Accounts}
	work := scheduler.WorkOf(scheduler.Draw(plan), blockTokens)
	bound, err := boundOf(ctx, cfg, work)
	if err != nil {
		return summarizer.Summary{}, err
	}
	draftShare := float64(work.Drafts) / (sampleRate * sampleLength.Seconds())
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
	cpu := startMeter(ctx, window)
	results := runner.Run(ctx, runner.Config{Name: name, Nodes: cfg.Nodes, Model: string(cfg.Model), Repeat: cfg.Repeat}, r, start, scheduler.Draw(plan))
	ran, err := ledgerreader.Read(cfg.Ledgers, name)
	if err != nil {
		return summarizer.Summary{}, err
	}
	s := summarizer.Summarize(summarizer.Config{Window: window, Layers: cfg.Layers, Watched: cfg.Watched}, results, ran)
	s.Experiment, s.Label, s.Choice, s.Mix = cfg.Experiment, cfg.Label, cfg.Choice, cfg.MixName
	s.Offered, s.Rate = cfg.Offered, plan.Rate
	s.Bound = bound * float64(work.Tokens) / float64(work.Drafts)
	s.Share = s.Tokens / s.Bound
	s.CPUShare = <-cpu
	if cfg.FaultFile != "" {
		s.Recovery, err = recovery(cfg, window, results, ran)
	}
	return s, err
}

// boundOf reads what the listed engines declare and returns the bound in drafts a second.
func boundOf(ctx context.Context, cfg Config, work scheduler.Work) (float64, error) {
	caller := httpcaller.NewCaller()
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

func recovery(cfg Config, w summarizer.Window, results []runner.Result, ran ledgerreader.Ran) (*summarizer.Recovery, error) {
	raw, err := os.ReadFile(cfg.FaultFile)
	if err != nil {
		return nil, errors.Wrap(err, "reading the instant of the fault")
	}
	millis, err := strconv.ParseInt(strings.TrimSpace(string(raw)), 10, 64)
	if err != nil {
		return nil, errors.Wrap(err, "reading the instant of the fault")
	}
	return summarizer.Recover(time.UnixMilli(millis), cfg.FaultTarget, w, results, ran), nil
}

// startMeter measures the share of the machine's processor time that is used within the window.
func startMeter(ctx context.Context, w summarizer.Window) <-chan float64 {
	share := make(chan float64, 1)
	go func() {
		waitUntil(ctx, w.From)
		busy, all := processorTime()
		waitUntil(ctx, w.To)
		busyAfter, allAfter := processorTime()
		share <- float64(busyAfter-busy) / float64(max(1, allAfter-all))
	}()
	return share
}

func waitUntil(ctx context.Context, at time.Time) {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// processorTime returns the machine's busy and whole processor time, in the kernel's ticks.
func processorTime() (busy, all int64) {
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
		all += n
		if i != idleField {
			busy += n
		}
	}
	return busy, all
}
