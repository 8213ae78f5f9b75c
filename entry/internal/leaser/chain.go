package leaser

import (
	"encoding/json"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/platformcaller"
)

// Stream is the log stream of grants.
const Stream = "lease"

// Grant is the body of a record that asks for the lease.
type Grant struct {
	Node        identifier.NodeID      `json:"node"`
	Incarnation identifier.Incarnation `json:"incarnation"`
	// Basis is the offset up to which the author had read the log.
	Basis identifier.Offset `json:"basis"`
}

// Chain follows the grants in log order. A grant holds when no other was appended
// between what its author had read and its own place; every reader sees the same.
type Chain struct {
	// Holder is the grant that holds, at the offset Fence.
	Holder Grant
	Fence  identifier.FencingNumber

	next identifier.Offset
}

// Apply takes one record and reports whether it is a grant, and whether it holds.
func (c *Chain) Apply(r platformcaller.Record) (g Grant, isGrant, holds bool) {
	if r.Stream != Stream || json.Unmarshal(r.Body, &g) != nil {
		return Grant{}, false, false
	}
	holds = g.Basis >= c.next && g.Basis <= r.Offset
	c.next = r.Offset + 1
	if holds {
		c.Holder, c.Fence = g, identifier.FencingNumber(r.Offset)
	}
	return g, true, holds
}

// Skip passes over records that could not be read: there may have been grants among them.
func (c *Chain) Skip(to identifier.Offset) {
	c.next = max(c.next, to)
	c.Holder = Grant{}
}

// IsEmpty reports whether no grant was seen.
func (c *Chain) IsEmpty() bool { return c.next == 0 }
