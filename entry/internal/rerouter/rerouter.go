// Package rerouter makes calls to targets, by way of another node while this node does not reach them.
package rerouter

import (
	"context"
	"net"
	"net/url"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"fuchsiabridge.example/common/answerlimiter"
	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/httpcaller"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/delegator"
)

const (
	// checkInterval is the time between two checks whether targets are reached again. Each checks up to checksAtOnce of them.
	checkInterval = 100 * time.Millisecond
	checksAtOnce  = 4
	checkTimeout  = 80 * time.Millisecond
	// lostTargets is how many targets must have been lost since one was reached until the path to all of them counts as lost.
	lostTargets = 3
	// unusedAge is how long a target that is not reached is remembered after its last use.
	unusedAge = 5 * time.Second
	// searchInterval is the minimum time between two searches for a node that reaches a target, if the last one has found none.
	searchInterval = 2 * time.Second
	// maxDelegates is how many nodes a call is given to at most.
	maxDelegates = 2
	// answerGrace is what the other node may take longer to answer than the target may.
	answerGrace = 100 * time.Millisecond
	// defaultTimeout bounds a call without a deadline.
	defaultTimeout = 5 * time.Second
	// dialTimeout bounds the opening of a connection to a target.
	dialTimeout = 500 * time.Millisecond
)

// ErrPathLost marks a call that was not sent while this node reaches no target: that says nothing of the target, nor of what runs there.
var ErrPathLost = errors.New("the path to the targets is lost")

// Delegates finds other nodes that reach a target, and forgets them.
type Delegates interface {
	Find(ctx context.Context, target identifier.ServiceID, tried []identifier.NodeID) (delegator.Delegate, bool)
	Drop(target identifier.ServiceID, node identifier.NodeID)
}

// Peers calls other nodes.
type Peers interface {
	Call(ctx context.Context, address, method string, params, result any) error
}

// Config is what a caller uses.
type Config struct {
	// Targets opens connections to targets.
	Targets httpcaller.Dialer
	// Answers bounds what the process holds of answers.
	Answers   *answerlimiter.Limiter
	Peers     Peers
	Delegates Delegates
	// Serves reports whether this node makes calls to the target at an address for other nodes now.
	Serves func(address string) bool
}

// Caller makes calls to targets, for its own node and for others.
type Caller struct {
	ctx context.Context
	cfg Config
	// direct makes calls of this node, forOthers those of other nodes.
	direct    *httpcaller.Caller
	forOthers *httpcaller.Caller
	gate      delegator.Gate

	mu sync.Mutex
	// lost holds, by address, the targets that this node does not reach. isChecking says that they are being checked.
	lost       map[string]*lostTarget
	isChecking bool
	// losses counts the targets that were lost since one was reached.
	losses int
}

// lostTarget is a target that this node does not reach.
type lostTarget struct {
	usedAt time.Time
	// searchAt is when other nodes may be asked again, after none was found that reaches the target.
	searchAt time.Time
}

// NewCaller returns a caller whose checks end with ctx.
func NewCaller(ctx context.Context, cfg Config) *Caller {
	cfg.Targets = limitedDialer{cfg.Targets}
	return &Caller{
		ctx: ctx, cfg: cfg,
		direct:    httpcaller.NewCallerWith(httpcaller.Config{Answers: cfg.Answers, Dialer: cfg.Targets}),
		forOthers: httpcaller.NewCallerWith(httpcaller.Config{Answers: cfg.Answers, Dialer: cfg.Targets, MaxBytes: maxAnswerBytes}),
		lost:      map[string]*lostTarget{},
	}
}

// limitedDialer opens connections within dialTimeout, and within half of the time that is left, so that another node can be asked.
type limitedDialer struct{ httpcaller.Dialer }

// DialContext opens a connection.
func (d limitedDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	limit := dialTimeout
	if deadline, ok := ctx.Deadline(); ok {
		limit = min(limit, time.Until(deadline)/2)
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return d.Dialer.DialContext(ctx, network, address)
}

// Do makes one call, bounded by the deadline of ctx, by way of another node if this one does not reach the target. Its error is marked
// httpcaller.ErrNotSent only if no byte of the call can have reached the target.
func (c *Caller) Do(ctx context.Context, r httpcaller.Request) (httpcaller.Response, error) {
	if err := ctx.Err(); err != nil {
		return httpcaller.Response{}, errors.Mark(err, httpcaller.ErrNotSent)
	}
	address, err := addressOf(r.URL)
	if err != nil {
		return httpcaller.Response{}, errors.Mark(err, httpcaller.ErrNotSent)
	}
	if !c.isLost(address) {
		response, err := c.direct.Do(ctx, r)
		if err == nil {
			c.noteReached()
		}
		if !errors.Is(err, httpcaller.ErrNotSent) {
			return response, err
		}
		c.lose(address, err)
	}
	response, err := c.doThrough(ctx, address, r)
	if errors.Is(err, httpcaller.ErrNotSent) && c.isPathLost() {
		err = errors.Mark(err, ErrPathLost)
	}
	return response, err
}

// Reach reports whether this node, or another one that can make calls for it, reaches a target. It sends the target nothing.
func (c *Caller) Reach(ctx context.Context, address string) bool {
	if !c.isLost(address) {
		err := c.dial(ctx, address)
		if err == nil {
			c.noteReached()
			return true
		}
		c.lose(address, err)
	}
	_, ok := c.find(ctx, address, nil)
	return ok
}

// Open returns the number of calls in progress for other nodes.
func (c *Caller) Open() int {
	open, _ := c.gate.Open()
	return open
}

// doThrough makes a call by way of another node. It turns to a second one only if the call has certainly not been sent.
func (c *Caller) doThrough(ctx context.Context, address string, r httpcaller.Request) (httpcaller.Response, error) {
	err := errors.Mark(errors.Newf("no node reaches %s", address), httpcaller.ErrNotSent)
	var tried []identifier.NodeID
	for len(tried) < maxDelegates && errors.Is(err, httpcaller.ErrNotSent) {
		d, ok := c.find(ctx, address, tried)
		if !ok {
			break
		}
		var response httpcaller.Response
		if response, err = c.callThrough(ctx, d, address, r); err == nil {
			return response, nil
		}
		tried = append(tried, d.Node)
	}
	return httpcaller.Response{}, err
}

// callThrough makes a call by way of the given node. Without an answer of that node, the target may have got the call.
func (c *Caller) callThrough(ctx context.Context, d delegator.Delegate, address string, r httpcaller.Request) (httpcaller.Response, error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(defaultTimeout)
	}
	// The other node answers at the deadline at the latest, and a call without an answer would close the connection of all calls to it.
	ctx, cancel := context.WithDeadline(c.ctx, deadline.Add(answerGrace))
	defer cancel()
	var answer targetAnswer
	err := c.cfg.Peers.Call(ctx, d.Peer, CallMethod, newTargetCall(r, time.Until(deadline)), &answer)
	if err != nil || answer.IsNotSent {
		c.cfg.Delegates.Drop(identifier.ServiceID(address), d.Node)
	}
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return httpcaller.Response{}, errors.Mark(err, fasthttp.ErrTimeout)
	case err != nil:
		return httpcaller.Response{}, errors.Wrapf(err, "calling %s through %s", address, d.Node)
	}
	return answer.response()
}

// find returns a node that reaches a target and is none of the tried ones, and false if there is none, or none was found a short time ago.
func (c *Caller) find(ctx context.Context, address string, tried []identifier.NodeID) (delegator.Delegate, bool) {
	if !c.maySearch(address) {
		return delegator.Delegate{}, false
	}
	d, found := c.cfg.Delegates.Find(ctx, identifier.ServiceID(address), tried)
	if !found && ctx.Err() == nil {
		c.postponeSearch(address)
	}
	return d, found
}

// maySearch reports whether other nodes may be asked now whether they reach a target.
func (c *Caller) maySearch(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	known, ok := c.lost[address]
	return !ok || !time.Now().Before(known.searchAt)
}

// postponeSearch notes that no node was found that reaches a target.
func (c *Caller) postponeSearch(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known, ok := c.lost[address]; ok {
		known.searchAt = time.Now().Add(searchInterval)
	}
}

// isLost reports whether this node does not reach a target, and notes that it is used.
func (c *Caller) isLost(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	known, ok := c.lost[address]
	if ok {
		known.usedAt = time.Now()
	}
	return ok
}

// lose remembers that this node does not reach a target, and checks it until it does.
func (c *Caller) lose(address string, cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.lost[address]; ok {
		return
	}
	c.lost[address] = &lostTarget{usedAt: time.Now()}
	c.losses++
	eventlogger.Info(eventlogger.TargetUnreached, "address", address, "unreached", len(c.lost), "reason", cause.Error())
	if !c.isChecking {
		c.isChecking = true
		go c.checkLost()
	}
}

// checkLost checks lost targets, some at a time, until none is left.
func (c *Caller) checkLost() {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-ticker.C:
		}
		var wg sync.WaitGroup
		for _, address := range c.dueChecks() {
			wg.Go(func() { c.check(address) })
		}
		wg.Wait()
		if c.endChecks() {
			return
		}
	}
}

// dueChecks forgets the lost targets that are not used any more, and returns some of the others.
func (c *Caller) dueChecks() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var due []string
	now := time.Now()
	for address, known := range c.lost {
		switch {
		case now.Sub(known.usedAt) > unusedAge:
			delete(c.lost, address)
		case len(due) < checksAtOnce:
			due = append(due, address)
		}
	}
	return due
}

// check checks one lost target. If it is reached, the others may be reached again as well: each is called directly next time.
func (c *Caller) check(address string) {
	ctx, cancel := context.WithTimeout(c.ctx, checkTimeout)
	defer cancel()
	if c.dial(ctx, address) != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	eventlogger.Info(eventlogger.TargetReachedAgain, "address", address, "unreached", len(c.lost))
	clear(c.lost)
	c.losses = 0
}

// noteReached notes that a target was reached directly.
func (c *Caller) noteReached() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.losses = 0
}

// isPathLost reports whether this node reaches no target, as far as it knows.
func (c *Caller) isPathLost() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.losses >= lostTargets
}

// endChecks ends the checks if no lost target is left, and reports whether it has.
func (c *Caller) endChecks() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isChecking = len(c.lost) > 0
	return !c.isChecking
}

// dial opens a connection to a target, and closes it.
func (c *Caller) dial(ctx context.Context, address string) error {
	conn, err := c.cfg.Targets.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Wrapf(err, "dialling %s", address)
	}
	return conn.Close()
}

func addressOf(rawURL string) (string, error) {
	u, err := url.Parse(rawURL)
	if err != nil {
		return "", errors.Wrap(err, "reading the address of a target")
	}
	return u.Host, nil
}
