// Package proofkeeper remembers for a while what targets have answered: parts of prompts that they have written on, which proves that
// these crash no targets, and requests that have succeeded.
package proofkeeper

import (
	"maps"
	"time"

	"fuchsiabridge.example/common/identifier"
)

const (
	// maxAge is how long a part counts as sound after a target has written an answer on it.
	maxAge = time.Minute
	// maxParts limits the parts that are remembered. When it is reached, those that are too old are dropped, at most once in
	// each dropInterval.
	maxParts     = 8192
	dropInterval = time.Second
)

// Keeper holds when targets have last written on parts.
type Keeper struct {
	writtenAt  map[identifier.Fingerprint]time.Time
	nextDropAt time.Time
}

// NewKeeper returns a keeper that knows no part.
func NewKeeper() *Keeper { return &Keeper{writtenAt: map[identifier.Fingerprint]time.Time{}} }

// Note notes that a target has written an answer on a part. A further part is not remembered while there are too many.
func (k *Keeper) Note(now time.Time, part identifier.Fingerprint) {
	if _, ok := k.writtenAt[part]; !ok && len(k.writtenAt) >= maxParts {
		k.dropOld(now)
		if len(k.writtenAt) >= maxParts {
			return
		}
	}
	k.writtenAt[part] = now
}

func (k *Keeper) dropOld(now time.Time) {
	if now.Before(k.nextDropAt) {
		return
	}
	k.nextDropAt = now.Add(dropInterval)
	maps.DeleteFunc(k.writtenAt, func(_ identifier.Fingerprint, at time.Time) bool { return now.Sub(at) >= maxAge })
}

// IsSound reports whether a target has written an answer on a part lately, so that nothing speaks against it.
func (k *Keeper) IsSound(now time.Time, part identifier.Fingerprint) bool {
	at, ok := k.writtenAt[part]
	return ok && now.Sub(at) < maxAge
}
