// Package granter exchanges, between the nodes, grants to send requests to targets that name a request limit. The
// store assigns the targets to the nodes in partitions; the holder of a target's partition grants what its limit allows.
package granter

import (
	"context"
	"encoding/json"
	"maps"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"fuchsiabridge.example/common/bootclock"
	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/messenger"
	"fuchsiabridge.example/common/sleeper"
	"fuchsiabridge.example/entry/internal/limiter"
	"fuchsiabridge.example/entry/internal/peercaller"
	"fuchsiabridge.example/platform/storecaller"
)

// Names of the peer calls that ask for a grant and report limits.
const (
	GrantMethod  = "grant"
	LimitsMethod = "limits"
)

const (
	// grantTimeout bounds a call for a grant, and grantLifetime the time from that call to the send.
	grantTimeout  = 150 * time.Millisecond
	grantLifetime = 250 * time.Millisecond
	// unknownHolderDelay is how long a target gets no requests if its holder is not known, silentHolderDelay if it
	// does not answer.
	unknownHolderDelay = 100 * time.Millisecond
	silentHolderDelay  = 500 * time.Millisecond
	// reportTimeout bounds a report of a limit to a peer. One that fails is sent again after reportInterval, until
	// reportTime has passed.
	reportTimeout  = 400 * time.Millisecond
	reportInterval = 100 * time.Millisecond
	reportTime     = 2 * time.Second
	// minLookupInterval and maxLookupInterval bound the time between two lookups of the holders in the store. It
	// doubles while lookups fail.
	minLookupInterval = time.Second
	maxLookupInterval = 4 * time.Second
)

// Reasons for which a grant is denied, in logs.
const (
	ReasonSpent         = "the limit is used up"
	ReasonUnknownHolder = "the node that grants is not known"
	ReasonSilentHolder  = "the node that grants does not answer"
)

var errUnknownHolder = errors.New("the node that grants is not known")

// Peers calls other nodes.
type Peers interface {
	Call(ctx context.Context, address, method string, params, result any) error
}

// Holders tells which nodes hold the partitions.
type Holders interface {
	// Tenure returns the time for which this node holds a partition, and false if it does not.
	Tenure(partition int) (limiter.Tenure, bool)
	// Holder returns the node that held a partition at the last lookup, and false if none is known.
	Holder(partition int) (storecaller.Member, bool)
	// LookUpHolders asks the store which nodes hold the partitions.
	LookUpHolders(ctx context.Context) error
	// CurrentReaders returns the other nodes that read the store for their peers.
	CurrentReaders(ctx context.Context) ([]storecaller.Member, error)
}

// Recorder keeps limits for peers that ask for updates.
type Recorder interface {
	RecordLimits(reports []limiter.Report)
}

// Config holds what a granter works with.
type Config struct {
	// Self is the address at which this node serves its peers, empty if it does not.
	Self string
	// Partitions is the number of partitions among which targets are divided.
	Partitions int
	Peers      Peers
	Holders    Holders
	Recorder   Recorder
	// Submit passes events to the reducer.
	Submit func(messenger.Event)
}

// Granter asks for grants, and gives them for the partitions that this node holds.
type Granter struct {
	cfg Config
	// lookup asks for a lookup of the holders.
	lookup chan struct{}

	mu      sync.Mutex
	buckets *limiter.Buckets
	// silentUntil holds, by address, until when a node that did not answer is not asked.
	silentUntil map[string]time.Time
}

// NewGranter returns a granter that knows of no limit.
func NewGranter(cfg Config) *Granter {
	return &Granter{cfg: cfg, lookup: make(chan struct{}, 1), buckets: limiter.NewBuckets(), silentUntil: map[string]time.Time{}}
}

// Answer says whether a request may be sent.
type Answer struct {
	IsGranted bool
	// Until is until when the request may be sent or, if that was denied, when to ask again.
	Until time.Time
	// Reason says why it was denied.
	Reason string
	// Known is what the holder knows of the limit, nil if it did not answer.
	Known *limiter.Report
}

// Grant asks the holder of a target's partition whether a request may be sent to it.
func (g *Granter) Grant(ctx context.Context, asked limiter.Report) Answer {
	partition := g.partition(asked.Target)
	sent := bootclock.Now()
	if grant, ok := g.take(limiter.Ask{Report: asked}, partition); ok {
		return answer(sent, grant)
	}
	holder, ok := g.cfg.Holders.Holder(partition)
	if !ok || holder.Address == "" || holder.Address == g.cfg.Self {
		g.requestLookup()
		return Answer{Until: sent.Add(unknownHolderDelay), Reason: ReasonUnknownHolder}
	}
	if until := g.silence(holder.Address); sent.Before(until) {
		return Answer{Until: until, Reason: ReasonSilentHolder}
	}
	grant, err := g.call(ctx, holder.Address, limiter.Ask{Report: asked})
	if err != nil {
		return g.silent(holder, err)
	}
	if grant.IsNotHolder {
		g.requestLookup()
		return Answer{Until: bootclock.Now().Add(unknownHolderDelay), Reason: ReasonUnknownHolder}
	}
	if grant.IsExpired {
		g.requestLookup()
	}
	return answer(sent, grant)
}

// answer returns the answer that a grant makes. A grant is valid from when it was asked for.
func answer(sent time.Time, grant limiter.Grant) Answer {
	if grant.IsGranted {
		return Answer{IsGranted: true, Until: sent.Add(grantLifetime), Known: &grant.Known}
	}
	wait := time.Duration(grant.WaitMS) * time.Millisecond
	return Answer{Until: bootclock.Now().Add(wait), Reason: ReasonSpent, Known: &grant.Known}
}

func (g *Granter) partition(target identifier.TargetID) int {
	return int(xxhash.Sum64String(string(target)) % uint64(g.cfg.Partitions))
}

// take takes a grant from this node's own buckets, and returns false if it does not hold the partition.
func (g *Granter) take(asked limiter.Ask, partition int) (limiter.Grant, bool) {
	tenure, ok := g.cfg.Holders.Tenure(partition)
	if !ok {
		return limiter.Grant{}, false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.buckets.Take(bootclock.Now(), asked, tenure), true
}

// call asks another node. It goes on if ctx is cancelled, because a cancelled call closes the connection to the peer.
func (g *Granter) call(ctx context.Context, address string, asked limiter.Ask) (limiter.Grant, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), grantTimeout)
	defer cancel()
	var grant limiter.Grant
	err := g.cfg.Peers.Call(ctx, address, GrantMethod, asked, &grant)
	return grant, err
}

// silent denies a grant because the holder did not answer.
func (g *Granter) silent(holder storecaller.Member, err error) Answer {
	now := bootclock.Now()
	until := now.Add(silentHolderDelay)
	eventlogger.Error(err, eventlogger.CallFailed, "doing", "asking a peer for a grant", "peer", holder.Node, "address", holder.Address)
	g.setSilent(holder.Address, now, until)
	g.requestLookup()
	return Answer{Until: until, Reason: ReasonSilentHolder}
}

func (g *Granter) setSilent(address string, now, until time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	maps.DeleteFunc(g.silentUntil, func(_ string, until time.Time) bool { return !now.Before(until) })
	g.silentUntil[address] = until
}

func (g *Granter) silence(address string) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.silentUntil[address]
}

// ServeGrant answers a peer that asks for a grant.
func (g *Granter) ServeGrant(_ context.Context, params json.RawMessage) (any, error) {
	var asked limiter.Ask
	if err := json.Unmarshal(params, &asked); err != nil {
		return nil, errors.Wrap(err, "decoding a request for a grant")
	}
	grant, ok := g.take(asked, g.partition(asked.Target))
	if !ok {
		return limiter.Grant{IsNotHolder: true}, nil
	}
	return grant, nil
}

// Report tells the holder of a target's partition, and the nodes from which others get their updates, what this node
// knows of a limit.
func (g *Granter) Report(ctx context.Context, report limiter.Report) {
	known := report.Knowledge(bootclock.Now())
	g.learn([]limiter.Report{report})
	ctx, cancel := context.WithTimeout(ctx, reportTime)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() {
		repeatReport(ctx, report.Target, func() error { return g.reportToHolder(ctx, limiter.NewReport(bootclock.Now(), report.Target, known)) })
	})
	for _, address := range g.readers(ctx) {
		wg.Go(func() {
			repeatReport(ctx, report.Target, func() error {
				return g.reportTo(ctx, address, limiter.NewReport(bootclock.Now(), report.Target, known))
			})
		})
	}
	wg.Wait()
}

// repeatReport sends a report until it has arrived or ctx ends. What is lost all the same is made up for by the next
// request for a grant.
func repeatReport(ctx context.Context, target identifier.TargetID, send func() error) {
	for {
		err := send()
		if err == nil {
			return
		}
		if errors.Is(err, peercaller.ErrNoMethod) || !sleeper.Sleep(ctx, reportInterval) {
			eventlogger.Error(err, eventlogger.CallFailed, "doing", "reporting a limit to a peer", "target", target)
			return
		}
	}
}

func (g *Granter) reportToHolder(ctx context.Context, report limiter.Report) error {
	partition := g.partition(report.Target)
	asked := limiter.Ask{Report: report, IsReport: true}
	if _, ok := g.take(asked, partition); ok {
		return nil
	}
	holder, ok := g.cfg.Holders.Holder(partition)
	if !ok || holder.Address == "" || holder.Address == g.cfg.Self {
		g.requestLookup()
		return errUnknownHolder
	}
	grant, err := g.call(ctx, holder.Address, asked)
	if err == nil && grant.IsNotHolder {
		err = errUnknownHolder
	}
	if err != nil {
		g.requestLookup()
	}
	return err
}

// readers returns the addresses of the nodes from which others get their updates.
func (g *Granter) readers(ctx context.Context) []string {
	if g.cfg.Self == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	readers, err := g.cfg.Holders.CurrentReaders(ctx)
	if err != nil {
		eventlogger.Error(err, eventlogger.CallFailed, "doing", "looking up peers to report a limit to")
	}
	var addresses []string
	for _, m := range readers {
		addresses = append(addresses, m.Address)
	}
	return addresses
}

func (g *Granter) reportTo(ctx context.Context, address string, report limiter.Report) error {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var out struct{}
	return g.cfg.Peers.Call(ctx, address, LimitsMethod, []limiter.Report{report}, &out)
}

// ServeLimits records limits that a peer has reported.
func (g *Granter) ServeLimits(_ context.Context, params json.RawMessage) (any, error) {
	var reports []limiter.Report
	if err := json.Unmarshal(params, &reports); err != nil {
		return nil, errors.Wrap(err, "decoding limits")
	}
	g.Learn(reports)
	return struct{}{}, nil
}

// Learn applies what a peer has told of limits, and keeps it for other peers.
func (g *Granter) Learn(reports []limiter.Report) {
	if len(reports) == 0 {
		return
	}
	g.learn(reports)
	g.cfg.Submit(limiter.LimitsLearned{Reports: reports})
}

func (g *Granter) learn(reports []limiter.Report) {
	g.cfg.Recorder.RecordLimits(reports)
	g.mu.Lock()
	defer g.mu.Unlock()
	now := bootclock.Now()
	for _, r := range reports {
		g.buckets.Learn(now, r)
	}
}

// requestLookup asks KeepHolders for a lookup.
func (g *Granter) requestLookup() {
	select {
	case g.lookup <- struct{}{}:
	default:
	}
}

// KeepHolders looks up the holders of partitions when that is requested, until ctx ends.
func (g *Granter) KeepHolders(ctx context.Context) {
	interval := minLookupInterval
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.lookup:
		}
		err := g.cfg.Holders.LookUpHolders(ctx)
		if err == nil {
			interval = minLookupInterval
		} else {
			eventlogger.Error(err, eventlogger.CallFailed, "doing", "looking up the nodes that grant")
			interval = min(maxLookupInterval, 2*interval)
		}
		sleeper.Sleep(ctx, interval)
	}
}
