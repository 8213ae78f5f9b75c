// Package configurer holds the configuration: a tree of paths with one subtree
// for each team, changed by compare and set on the subtree's revision in log order.
package configurer

import (
	"encoding/json"
	"fmt"
	"maps"
	"sort"

	"fuchsiabridge.example/common/identifier"
)

// Stream is the log stream that holds changes.
const Stream = "config"

// historyLimit bounds the verdicts remembered for each team.
const historyLimit = 1000

// Change is one proposed change of a team's subtree.
type Change struct {
	ID       identifier.ChangeID `json:"id"`
	Team     identifier.TeamID   `json:"team"`
	Expected identifier.Revision `json:"expected"`
	// Set maps paths below the team's subtree to values; null deletes.
	Set map[string]json.RawMessage `json:"set"`
	// Author says who published the change, for the history only.
	Author string `json:"author,omitempty"`
}

// Verdict is how every reader of the log decides one change.
type Verdict struct {
	ID       identifier.ChangeID `json:"id"`
	Team     identifier.TeamID   `json:"team"`
	Accepted bool                `json:"accepted"`
	Reason   string              `json:"reason,omitempty"`
	Revision identifier.Revision `json:"revision"`
	Offset   identifier.Offset   `json:"offset"`
	Author   string              `json:"author,omitempty"`
}

// Subtree is one team's part of the tree.
type Subtree struct {
	Revision identifier.Revision        `json:"revision"`
	Values   map[string]json.RawMessage `json:"values"`
	History  []Verdict                  `json:"history"`
}

// Tree is the configuration as of an offset of the log.
type Tree struct {
	// Offset is the offset after the newest record applied; it only grows.
	Offset identifier.Offset              `json:"offset"`
	Teams  map[identifier.TeamID]*Subtree `json:"teams"`
}

// NewTree returns an empty tree.
func NewTree() *Tree { return &Tree{Teams: map[identifier.TeamID]*Subtree{}} }

// Decide applies the change found at offset and returns the verdict; a change
// seen before keeps its first verdict and is not applied again.
func (t *Tree) Decide(offset identifier.Offset, c Change) Verdict {
	sub := t.subtree(c.Team)
	if v, ok := sub.find(c.ID); ok {
		return v
	}
	v := Verdict{ID: c.ID, Team: c.Team, Offset: offset, Author: c.Author, Revision: sub.Revision}
	v.Reason = sub.objection(c)
	if v.Reason == "" {
		v.Accepted = true
		sub.apply(c)
		v.Revision = sub.Revision
	}
	sub.remember(v)
	return v
}

// Verdict returns the verdict of a change, if it is remembered.
func (t *Tree) Verdict(team identifier.TeamID, id identifier.ChangeID) (Verdict, bool) {
	sub, ok := t.Teams[team]
	if !ok {
		return Verdict{}, false
	}
	return sub.find(id)
}

// Get returns the subtree of a team; it is empty when the team has none.
func (t *Tree) Get(team identifier.TeamID) Subtree {
	if sub, ok := t.Teams[team]; ok {
		return *sub
	}
	return Subtree{Values: map[string]json.RawMessage{}}
}

// Clone returns a copy that shares nothing which changes.
func (t *Tree) Clone() *Tree {
	c := &Tree{Offset: t.Offset, Teams: make(map[identifier.TeamID]*Subtree, len(t.Teams))}
	for id, sub := range t.Teams {
		c.Teams[id] = &Subtree{
			Revision: sub.Revision,
			Values:   maps.Clone(sub.Values),
			History:  append([]Verdict(nil), sub.History...),
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

func (s *Subtree) find(id identifier.ChangeID) (Verdict, bool) {
	for i := len(s.History) - 1; i >= 0; i-- {
		if s.History[i].ID == id {
			return s.History[i], true
		}
	}
	return Verdict{}, false
}

func (s *Subtree) objection(c Change) string {
	if c.Expected != s.Revision {
		return fmt.Sprintf("expected revision %d, but the subtree is at %d", c.Expected, s.Revision)
	}
	if findings := Check(c); len(findings) > 0 {
		return findings.Error()
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

func (s *Subtree) remember(v Verdict) {
	s.History = append(s.History, v)
	if len(s.History) > historyLimit {
		s.History = s.History[len(s.History)-historyLimit:]
	}
}

func isNull(value json.RawMessage) bool { return len(value) == 0 || string(value) == "null" }

// Paths returns the subtree's paths in order.
func (s Subtree) Paths() []string {
	paths := make([]string, 0, len(s.Values))
	for p := range s.Values {
		paths = append(paths, p)
	}
	sort.Strings(paths)
	return paths
}
