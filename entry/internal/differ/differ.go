// Package differ describes a configuration as its difference to another one.
package differ

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"fuchsiabridge.example/common/describer"
	"fuchsiabridge.example/common/identifier"
)

// maxParts limits the parts of a configuration that is made from a difference.
const maxParts = 1 << 20

// ErrMismatch is returned for a difference that does not belong to a base.
var ErrMismatch = errors.New("the difference does not belong to this configuration")

// Step is a run of parts: Count parts of the base from From on, and after these the parts that the base lacks.
type Step struct {
	From  int                           `json:"from,omitempty"`
	Count int                           `json:"count,omitempty"`
	New   []describer.ConfigurationPart `json:"new,omitempty"`
}

// Compare returns the steps that make a configuration from a base. Without a base, there is one step with all parts.
func Compare(base, next []describer.ConfigurationPart) []Step {
	places := make(map[describer.ConfigurationPart]int, len(base))
	for i, p := range base {
		places[p] = i
	}
	var steps []Step
	var last Step
	for _, p := range next {
		place, isKnown := places[p]
		continues := len(last.New) == 0 && last.From+last.Count < len(base) && base[last.From+last.Count] == p
		switch {
		case !isKnown:
			last.New = append(last.New, p)
		case continues:
			last.Count++
		default:
			steps = appendStep(steps, last)
			last = Step{From: place, Count: 1}
		}
	}
	return appendStep(steps, last)
}

func appendStep(steps []Step, s Step) []Step {
	if s.Count == 0 && len(s.New) == 0 {
		return steps
	}
	return append(steps, s)
}

// Apply returns the configuration that the steps make from a base.
func Apply(base []describer.ConfigurationPart, steps []Step) ([]describer.ConfigurationPart, error) {
	var parts []describer.ConfigurationPart
	for _, s := range steps {
		isWithin := s.From >= 0 && s.Count >= 0 && s.From <= len(base) && s.Count <= len(base)-s.From
		if !isWithin || len(parts)+s.Count+len(s.New) > maxParts {
			return nil, ErrMismatch
		}
		parts = append(parts, base[s.From:s.From+s.Count]...)
		parts = append(parts, s.New...)
	}
	return parts, nil
}

// Fingerprint returns the fingerprint of a configuration.
func Fingerprint(parts []describer.ConfigurationPart) identifier.ConfigurationFingerprint {
	d := xxhash.New()
	var length [8]byte
	for _, p := range parts {
		binary.LittleEndian.PutUint64(length[:], uint64(len(p)))
		_, _ = d.Write(length[:])
		_, _ = d.WriteString(string(p))
	}
	return identifier.ConfigurationFingerprint(max(1, d.Sum64()))
}
