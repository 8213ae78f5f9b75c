package delegator

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"fuchsiabridge.example/common/bootclock"
	"fuchsiabridge.example/common/eventlogger"
	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/entry/internal/peercaller"
	"fuchsiabridge.example/platform/storecaller"
)

const (
	// questionTimeout bounds a question to a node, and searchTimeout a search.
	questionTimeout = 100 * time.Millisecond
	searchTimeout   = 400 * time.Millisecond
	// questionsAtOnce is how many nodes are asked at the same time, maxQuestions how many in one search, and maxOffers how many offers a
	// search keeps.
	questionsAtOnce = 4
	maxQuestions    = 24
	maxOffers       = 4
	// offerAge is how long an offer is used. One that is renewAge old is asked for again in the background.
	offerAge = 3 * time.Second
	renewAge = time.Second
	// refusalAge is how long a node that has made no offer, has refused a request or does not answer is not asked again.
	refusalAge = 500 * time.Millisecond
	// unknownMethodAge is how long a node is not asked that does not know the question, as one of an earlier version.
	unknownMethodAge = 10 * time.Second
	// membersAge is how long the list of the nodes is used, and minMembersAge how long if none of them is of use.
	membersAge    = 10 * time.Second
	minMembersAge = time.Second
	// remoteFactor multiplies the load of a delegate in another data centre.
	remoteFactor = 1.3
)

// Peers calls other nodes.
type Peers interface {
	Call(ctx context.Context, address, method string, params, result any) error
}

// Members lists the nodes.
type Members interface {
	Members(ctx context.Context) ([]storecaller.Member, error)
}

// Delegate is a node that takes requests for another one.
type Delegate struct {
	Node identifier.NodeID
	// Address is where it takes them, Peer where it serves other calls of nodes.
	Address string
	Peer    string
}

// offerOf is the offer of one node.
type offerOf struct {
	Delegate
	isRemote bool
	open     int
	madeAt   time.Time
}

// load is how much the delegate has to do.
func (o *offerOf) load() float64 {
	load := float64(o.open + 1)
	if o.isRemote {
		load *= remoteFactor
	}
	return load
}

// search is what is known of the delegates of one service.
type search struct {
	offers []*offerOf
	// isRunning says that nodes are being asked; done is closed at its end.
	isRunning bool
	done      chan struct{}
	begunAt   time.Time
	endedAt   time.Time
}

// Finder finds delegates for a node.
type Finder struct {
	ctx     context.Context
	self    storecaller.Member
	peers   Peers
	members Members

	mu       sync.Mutex
	searches map[identifier.ServiceID]*search
	// mutedUntil holds, by node and service, until when nodes are not asked.
	mutedUntil map[muteKey]time.Time
	known      []storecaller.Member
	knownAt    time.Time
}

type muteKey struct {
	node    identifier.NodeID
	service identifier.ServiceID
}

// NewFinder returns a finder for the node self, whose searches end with ctx.
func NewFinder(ctx context.Context, self storecaller.Member, peers Peers, members Members) *Finder {
	return &Finder{
		ctx: ctx, self: self, peers: peers, members: members,
		searches: map[identifier.ServiceID]*search{}, mutedUntil: map[muteKey]time.Time{},
	}
}

// Find returns a delegate for a service that is none of the tried ones, and false if none is found.
func (f *Finder) Find(ctx context.Context, service identifier.ServiceID, tried []identifier.NodeID) (Delegate, bool) {
	if d, ok := f.take(service, tried); ok {
		return d, true
	}
	done := f.startSearch(service)
	if done == nil {
		return Delegate{}, false
	}
	select {
	case <-ctx.Done():
		return Delegate{}, false
	case <-done:
	}
	return f.take(service, tried)
}

// take returns the least loaded of the known delegates, and counts a request to it. Old offers are renewed.
func (f *Finder) take(service identifier.ServiceID, tried []identifier.NodeID) (Delegate, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.searchOf(service)
	now := bootclock.Now()
	s.offers = slices.DeleteFunc(s.offers, func(o *offerOf) bool { return now.Sub(o.madeAt) > offerAge })
	var best *offerOf
	for _, o := range s.offers {
		if !slices.Contains(tried, o.Node) && (best == nil || o.load() < best.load()) {
			best = o
		}
	}
	if best == nil {
		return Delegate{}, false
	}
	best.open++
	if now.Sub(s.endedAt) > renewAge {
		f.start(service, s, now)
	}
	return best.Delegate, true
}

// searchOf returns the search for a service. f.mu must be held.
func (f *Finder) searchOf(service identifier.ServiceID) *search {
	s, ok := f.searches[service]
	if !ok {
		s = &search{}
		f.searches[service] = s
	}
	return s
}

// startSearch starts a search, unless one runs, and returns a channel that is closed at its end. It returns nil if the last search
// has just ended.
func (f *Finder) startSearch(service identifier.ServiceID) <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.searchOf(service)
	now := bootclock.Now()
	if !s.isRunning && now.Sub(s.endedAt) < refusalAge/2 {
		return nil
	}
	f.start(service, s, now)
	return s.done
}

// start starts a search in the background, unless one runs. f.mu must be held.
func (f *Finder) start(service identifier.ServiceID, s *search, now time.Time) {
	if s.isRunning {
		return
	}
	s.isRunning, s.done, s.begunAt = true, make(chan struct{}), now
	go f.search(service, s)
}

// search asks nodes, some at a time, until enough offers have been made.
func (f *Finder) search(service identifier.ServiceID, s *search) {
	ctx, cancel := context.WithTimeout(f.ctx, searchTimeout)
	defer cancel()
	asked := 0
	for members := f.candidates(ctx, service, s); len(members) > 0 && asked < maxQuestions && ctx.Err() == nil; {
		n := min(questionsAtOnce, len(members))
		var wg sync.WaitGroup
		for _, m := range members[:n] {
			wg.Go(func() { f.ask(ctx, service, m) })
		}
		wg.Wait()
		asked += n
		members = members[n:]
		if f.countOffers(s) >= maxOffers {
			break
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	s.isRunning, s.endedAt = false, bootclock.Now()
	close(s.done)
	eventlogger.Info(eventlogger.DelegatesFound, "service", service, "asked", asked, "offers", len(s.offers), "took_ms", s.endedAt.Sub(s.begunAt).Milliseconds())
}

// countOffers returns the number of offers that were made in the search that runs.
func (f *Finder) countOffers(s *search) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, o := range s.offers {
		if !o.madeAt.Before(s.begunAt) {
			n++
		}
	}
	return n
}

// candidates returns the nodes to ask, in random order.
func (f *Finder) candidates(ctx context.Context, service identifier.ServiceID, s *search) []storecaller.Member {
	f.mu.Lock()
	age := membersAge
	if len(s.offers) == 0 {
		age = minMembersAge
	}
	f.mu.Unlock()
	members := f.currentMembers(ctx, age)
	f.mu.Lock()
	defer f.mu.Unlock()
	now := bootclock.Now()
	maps.DeleteFunc(f.mutedUntil, func(_ muteKey, until time.Time) bool { return !now.Before(until) })
	var out []storecaller.Member
	for _, m := range members {
		if m.Node != f.self.Node && m.Address != "" && f.mutedUntil[muteKey{m.Node, service}].IsZero() {
			out = append(out, m)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// currentMembers returns the nodes, from a list of at most the given age or a new one. If the store cannot be asked, it returns those
// that were known last.
func (f *Finder) currentMembers(ctx context.Context, maxAge time.Duration) []storecaller.Member {
	f.mu.Lock()
	known, age := f.known, bootclock.Now().Sub(f.knownAt)
	f.mu.Unlock()
	if len(known) > 0 && age < maxAge {
		return known
	}
	current, err := f.members.Members(ctx)
	if err != nil {
		eventlogger.Error(err, eventlogger.CallFailed, "doing", "listing the nodes", "known", len(known))
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(current) > 0 {
		f.known = current
	}
	if err == nil {
		f.knownAt = bootclock.Now()
	}
	return f.known
}

// ask asks one node, and keeps its offer.
func (f *Finder) ask(ctx context.Context, service identifier.ServiceID, m storecaller.Member) {
	ctx, cancel := context.WithTimeout(ctx, questionTimeout)
	defer cancel()
	var offer Offer
	err := f.peers.Call(ctx, m.Address, OfferMethod, Question{Service: service}, &offer)
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.searchOf(service)
	s.offers = slices.DeleteFunc(s.offers, func(o *offerOf) bool { return o.Node == m.Node })
	now := bootclock.Now()
	switch {
	case errors.Is(err, peercaller.ErrNoMethod):
		f.mutedUntil[muteKey{m.Node, service}] = now.Add(unknownMethodAge)
	case err != nil || offer.Address == "":
		f.mutedUntil[muteKey{m.Node, service}] = now.Add(refusalAge)
	default:
		s.offers = append(s.offers, &offerOf{
			Delegate: Delegate{Node: m.Node, Address: offer.Address, Peer: m.Address}, isRemote: m.DataCentre != f.self.DataCentre, open: offer.Open, madeAt: now,
		})
	}
}

// Drop forgets the offer of a node that has refused a request, or does not answer.
func (f *Finder) Drop(service identifier.ServiceID, node identifier.NodeID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.searchOf(service)
	s.offers = slices.DeleteFunc(s.offers, func(o *offerOf) bool { return o.Node == node })
	f.mutedUntil[muteKey{node, service}] = bootclock.Now().Add(refusalAge)
}
