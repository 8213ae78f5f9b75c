package budgeter

import (
	"maps"
	"slices"
	"time"

	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/common/identifier"
)

// Config holds the limits of retries.
type Config struct {
	// Ratio limits the retries of a service to a share of its requests in Window.
	Ratio  float64
	Window time.Duration
}

// Budgets limit the retries of a node, service by service.
type Budgets struct {
	cfg      Config
	services map[identifier.ServiceID]*Budget
	quota    *Quota
	// hasLeft says that the node has left the group.
	hasLeft bool
}

// NewBudgets returns budgets without requests, and without a share of the quota.
func NewBudgets(cfg Config) *Budgets {
	return &Budgets{cfg: cfg, services: map[identifier.ServiceID]*Budget{}, quota: NewQuota(cfg.Window)}
}

func (b *Budgets) of(id identifier.ServiceID) *Budget {
	s, ok := b.services[id]
	if !ok {
		s = NewBudget(b.cfg.Window)
		b.services[id] = s
	}
	return s
}

// Leave gives up the node's share of the quota for good: other nodes receive it.
func (b *Budgets) Leave(now time.Time) {
	b.quota.Set(now, 0)
	b.hasLeft = true
}

// CountRequest counts the first attempt of a request.
func (b *Budgets) CountRequest(now time.Time, id identifier.ServiceID) { b.of(id).CountRequest(now) }

// CountRetry counts a retry.
func (b *Budgets) CountRetry(now time.Time, id identifier.ServiceID) { b.of(id).CountRetry(now) }

// Allows reports whether a service may have one more retry.
func (b *Budgets) Allows(now time.Time, id identifier.ServiceID) bool {
	return b.of(id).Allows(now, b.cfg.Ratio, b.quota.Retries(now))
}

// SetShare records the share of the quota that the node holds from now on, and reports whether it has changed.
func (b *Budgets) SetShare(now time.Time, retries int) bool {
	return !b.hasLeft && b.quota.Set(now, retries)
}

// Share returns the share that the node holds, since when, and the smallest one of the window that ends now.
func (b *Budgets) Share(now time.Time) describer.ShareStatus {
	s := describer.ShareStatus{Least: b.quota.Retries(now)}
	if n := len(b.quota.shares); n > 0 {
		s.Held, s.HeldMS = b.quota.shares[n-1].retries, now.Sub(b.quota.shares[n-1].since).Milliseconds()
	}
	return s
}

// Status returns the requests and retries that count now, in the order of the services.
func (b *Budgets) Status(now time.Time) []describer.BudgetStatus {
	var out []describer.BudgetStatus
	for _, id := range slices.Sorted(maps.Keys(b.services)) {
		requests, retries := b.services[id].count(now)
		out = append(out, describer.BudgetStatus{Service: id, Requests: requests, Retries: retries, Allows: b.Allows(now, id)})
	}
	return out
}
