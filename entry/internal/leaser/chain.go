package leaser

import (
	"encoding/json"

	"fuchsiabridge.example/common/identifier"
	"fuchsiabridge.example/common/platformcaller"
)

// Stream is the log stream of grants.
const Stream = "lease"

// Grant is the body of a log record that requests the lease.
type Grant struct {
	Node        identifier.NodeID      `json:"node"`
	Incarnation identifier.Incarnation `json:"incarnation"`
	// Basis is the offset up to which the node had read the log when it wrote the grant.
	Basis identifier.Offset `json:"basis"`
}

// Chain evaluates the grants in log order. A grant is valid if the log has no other grant between
// its Basis and its own offset. Every reader of the log reaches the same result.
type Chain struct {
	// Holder is the newest valid grant, and Fence its offset in the log. Skip clears Holder.
	Holder Grant
	Fence  identifier.FencingToken

	nextOffset identifier.Offset
}

// Apply applies one record and reports whether it is a grant, and whether that grant is valid.
func (c *Chain) Apply(r platformcaller.Record) (g Grant, isGrant, isValid bool) {
	if r.Stream != Stream || json.Unmarshal(r.Body, &g) != nil {
		return Grant{}, false, false
	}
	isValid = g.Basis >= c.nextOffset && g.Basis <= r.Offset
	c.nextOffset = r.Offset + 1
	if isValid {
		c.Holder, c.Fence = g, identifier.FencingToken(r.Offset)
	}
	return g, true, isValid
}

// Skip advances past records that could not be read. They may include grants, so the holder is
// unknown afterwards.
func (c *Chain) Skip(to identifier.Offset) {
	c.nextOffset = max(c.nextOffset, to)
	c.Holder = Grant{}
}

// IsEmpty reports whether no grant has been read.
func (c *Chain) IsEmpty() bool { return c.nextOffset == 0 }
