package bodyreader

import (
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

const (
	// maxHeldBytes limits what all answers of a node hold beyond freeBytes each.
	maxHeldBytes = 8 << 20
	// freeBytes is what each answer may hold in any case, so that ordinary answers never fail for want of memory.
	freeBytes = 64 << 10
)

// ErrMemory is returned for an answer that would hold more memory than is left.
var ErrMemory = errors.New("no memory is left for an answer of this size")

// Memory limits what the answers of a node hold at the same time.
type Memory struct{ held atomic.Int64 }

// NewMemory returns a memory that holds nothing.
func NewMemory() *Memory { return &Memory{} }

// Reserve makes an answer that holds a number of bytes hold another number, and returns what it holds now.
func (m *Memory) Reserve(held, next int) (int, error) {
	next = max(0, next-freeBytes)
	if m.held.Add(int64(next-held)) > maxHeldBytes && next > held {
		m.held.Add(int64(held - next))
		return held, ErrMemory
	}
	return next, nil
}
