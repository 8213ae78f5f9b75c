// Package fingerprinter identifies requests, and the traits that they have in common with others: a poison request may come again
// with a difference that does not matter to the targets.
package fingerprinter

import (
	"encoding/binary"
	"iter"
	"slices"

	"github.com/cespare/xxhash/v2"

	"fuchsiabridge.example/common/identifier"
)

// partPrefix precedes the id of a part of prompts when it is hashed.
const partPrefix = "part"

// Key identifies a request and its traits: its group, and the parts of its prompt.
type Key struct {
	// Request is the same for requests of one account with the same method, host, path, query and body.
	Request identifier.Fingerprint
	// Group is the same for requests of one account with the same path and body, 0 if it is not known.
	Group identifier.Fingerprint
	// Parts are those of the prompt that other requests share, in order.
	Parts []identifier.Fingerprint
}

// NewKey returns the key of a request of an account, from the fingerprints of its content and of its group's.
func NewKey(account identifier.AccountID, content, group identifier.Fingerprint, parts []identifier.PromptPart) Key {
	key := Key{Request: ofCaller(content, account), Group: ofCaller(group, account)}
	for _, part := range parts {
		key.Parts = append(key.Parts, ofPart(part))
	}
	return key
}

// ofCaller returns the fingerprint of a request of an account. It does not depend on the key, which
// an account may replace.
func ofCaller(content identifier.Fingerprint, account identifier.AccountID) identifier.Fingerprint {
	raw := binary.BigEndian.AppendUint64([]byte(account), uint64(content))
	return identifier.Fingerprint(xxhash.Sum64(raw))
}

// ofPart returns the fingerprint of a part of prompts, which is none of a request or a group.
func ofPart(part identifier.PromptPart) identifier.Fingerprint {
	raw := binary.BigEndian.AppendUint64([]byte(partPrefix), uint64(part))
	return identifier.Fingerprint(xxhash.Sum64(raw))
}

// Traits yields the group, if it is known, and the parts.
func (k Key) Traits() iter.Seq[identifier.Fingerprint] {
	return func(yield func(identifier.Fingerprint) bool) {
		if k.Group != 0 && !yield(k.Group) {
			return
		}
		for _, part := range k.Parts {
			if !yield(part) {
				return
			}
		}
	}
}

// IDs yields the request and its traits.
func (k Key) IDs() iter.Seq[identifier.Fingerprint] {
	return func(yield func(identifier.Fingerprint) bool) {
		if yield(k.Request) {
			k.Traits()(yield)
		}
	}
}

// Add adds what another key of the same request names. It may lack the group or parts.
func (k *Key) Add(o Key) {
	k.Request = o.Request
	if o.Group != 0 {
		k.Group = o.Group
	}
	for _, part := range o.Parts {
		if !slices.Contains(k.Parts, part) {
			k.Parts = append(k.Parts, part)
		}
	}
}
