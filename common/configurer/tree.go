// Package configurer implements the replicated configuration: a tree of paths with one subtree per
// team. Changes are read from the log in order and applied by compare-and-set on the revision of the
// team's subtree.
package configurer

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sort"

	"fuchsiabridge.example/common/identifier"
)

// Stream is the log stream that holds configuration changes.
const Stream = "config"

const (
	// historyLimit is how many decisions are kept per team.
	historyLimit = 1000
	// fingerprintBytes is the length of a truncated SHA-256 fingerprint.
	fingerprintBytes = 8
)

// Change is a proposed change to one team's subtree.
type Change struct {
	ID       identifier.ChangeID `json:"id"`
	Team     identifier.TeamID   `json:"team"`
	Expected identifier.Revision `json:"expected"`
	// Set maps paths within the team's subtree to new values; null deletes a path.
	Set map[string]json.RawMessage `json:"set"`
	// Author is who published the change; it is recorded in the history and has no other effect.
	Author string `json:"author,omitempty"`
}

// Fingerprint returns a hash of the change's content, without its author. It does not depend on how
// the JSON is formatted.
func (c Change) Fingerprint() string {
	content := Change{ID: c.ID, Team: c.Team, Expected: c.Expected, Set: make(map[string]json.RawMessage, len(c.Set))}
	for path, value := range c.Set {
		content.Set[path] = compact(value)
	}
	// Marshal sorts the map keys. It cannot fail: the values come from a JSON decoder and are valid.
	raw, _ := json.Marshal(content)
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:fingerprintBytes])
}

func compact(value json.RawMessage) json.RawMessage {
	if isNull(value) {
		return json.RawMessage("null")
	}
	var out bytes.Buffer
	if json.Compact(&out, value) != nil {
		return value
	}
	return out.Bytes()
}

// Decision says whether one change was accepted. Every reader of the log reaches the same decision.
type Decision struct {
	ID       identifier.ChangeID `json:"id"`
	Team     identifier.TeamID   `json:"team"`
	Accepted bool                `json:"accepted"`
	Reason   string              `json:"reason,omitempty"`
	Revision identifier.Revision `json:"revision"`
	Offset   identifier.Offset   `json:"offset"`
	Author   string              `json:"author,omitempty"`
	// Fingerprint distinguishes this change from a different one that reuses its id.
	Fingerprint string `json:"fingerprint"`
}

// Subtree is one team's part of the tree. History holds its latest decisions, oldest first.
type Subtree struct {
	Revision identifier.Revision        `json:"revision"`
	Values   map[string]json.RawMessage `json:"values"`
	History  []Decision                 `json:"history"`
}

// Tree is the configuration as of an offset of the log.
type Tree struct {
	// Offset is the offset after the last applied record; it never decreases.
	Offset identifier.Offset              `json:"offset"`
	Teams  map[identifier.TeamID]*Subtree `json:"teams"`
	// Lost lists the offsets that the tree skipped because the log had trimmed them, oldest first.
	Lost []Span `json:"lost,omitempty"`
}

// Span is the half-open range of offsets From..To-1.
type Span struct {
	From identifier.Offset `json:"from"`
	To   identifier.Offset `json:"to"`
}

// NewTree returns an empty tree.
func NewTree() *Tree { return &Tree{Teams: map[identifier.TeamID]*Subtree{}} }

// Decide accepts and applies, or rejects, the change at offset and returns the decision. For a
// change id that is still in the history it returns the first decision and applies nothing. The
// decision depends only on the tree and not on Rules, so that nodes running different versions agree.
func (t *Tree) Decide(offset identifier.Offset, c Change) Decision {
	sub := t.subtree(c.Team)
	if v, ok := sub.find(c.ID); ok {
		return v
	}
	v := Decision{ID: c.ID, Team: c.Team, Offset: offset, Author: c.Author, Revision: sub.Revision, Fingerprint: c.Fingerprint()}
	v.Reason = sub.rejectionReason(c)
	if v.Reason == "" {
		v.Accepted = true
		sub.apply(c)
		v.Revision = sub.Revision
	}
	sub.addToHistory(v)
	return v
}

// Decision returns the decision on a change, if it is still in the history.
func (t *Tree) Decision(team identifier.TeamID, id identifier.ChangeID) (Decision, bool) {
	sub, ok := t.Teams[team]
	if !ok {
		return Decision{}, false
	}
	return sub.find(id)
}

// Get returns the subtree of a team, or an empty one if the team has none.
func (t *Tree) Get(team identifier.TeamID) Subtree {
	if sub, ok := t.Teams[team]; ok {
		return *sub
	}
	return Subtree{Values: map[string]json.RawMessage{}}
}

// Clone returns a copy that shares no mutable state with t.
func (t *Tree) Clone() *Tree {
	c := &Tree{Offset: t.Offset, Teams: make(map[identifier.TeamID]*Subtree, len(t.Teams)), Lost: slices.Clone(t.Lost)}
	for id, sub := range t.Teams {
		c.Teams[id] = &Subtree{
			Revision: sub.Revision,
			Values:   maps.Clone(sub.Values),
			History:  slices.Clone(sub.History),
		}
	}
	return c
}

func (t *Tree) subtree(team identifier.TeamID) *Subtree {
	sub, ok := t.Teams[team]
	if !ok {
		sub = &Subtree{Values: map[string]json.RawMessage{}}
		t.Teams[team] = sub
	}
	return sub
}

func (s *Subtree) find(id identifier.ChangeID) (Decision, bool) {
	for i := len(s.History) - 1; i >= 0; i-- {
		if s.History[i].ID == id {
			return s.History[i], true
		}
	}
	return Decision{}, false
}

// rejectionReason returns why the change must be rejected, or "" if it can be accepted.
func (s *Subtree) rejectionReason(c Change) string {
	if c.Expected != s.Revision {
		return fmt.Sprintf("expected revision %d, but the subtree is at %d%s", c.Expected, s.Revision, s.acceptedInstead(c.Expected))
	}
	if findings := checkShape(c); len(findings) > 0 {
		return findings.Error()
	}
	return ""
}

// acceptedInstead names the change that was accepted on top of the given revision, if it is still
// in the history.
func (s *Subtree) acceptedInstead(at identifier.Revision) string {
	for _, v := range s.History {
		if v.Accepted && v.Revision == at+1 {
			return fmt.Sprintf(": change %s at offset %d came first", v.ID, v.Offset)
		}
	}
	return ""
}

func (s *Subtree) apply(c Change) {
	for path, value := range c.Set {
		if isNull(value) {
			delete(s.Values, path)
			continue
		}
		s.Values[path] = value
	}
	s.Revision++
}

func (s *Subtree) addToHistory(v Decision) {
	s.History = append(s.History, v)
	if len(s.History) > historyLimit {
		s.History = slices.Delete(s.History, 0, len(s.History)-historyLimit)
	}
}

func isNull(value json.RawMessage) bool { return len(value) == 0 || string(value) == "null" }

// Paths returns the subtree's paths in sorted order.
func (s Subtree) Paths() []string {
	paths := make([]string, 0, len(s.Values))
	for p := range s.Values {
		paths = append(paths, p)
	}
	sort.Strings(paths)
	return paths
}
