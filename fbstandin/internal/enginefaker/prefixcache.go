package enginefaker

import (
	"time"

	"fuchsiabridge.example/common/enginecaller"
)

const (
	// BlockTokens is the number of prompt tokens in one block of the prefix cache.
	BlockTokens = 16
	// eventGapInterval is the interval, in events, at which one cache event is dropped. The protocol allows
	// gaps in the numbers, so readers must tolerate them.
	eventGapInterval = 7
	// maxEvents is how many of the latest cache events can be read.
	maxEvents = 4096
)

type timedEvent struct {
	enginecaller.CacheEvent
	at time.Time
}

// prefixCache is an LRU cache of prompt blocks; lru is ordered from the least to the most recently used.
type prefixCache struct {
	limit      int
	lru        []uint64
	events     []timedEvent
	lastNumber int64
}

func newPrefixCache(limit int) *prefixCache { return &prefixCache{limit: limit} }

// hits returns how many leading blocks are cached.
func (c *prefixCache) hits(blocks []uint64) int {
	for i, b := range blocks {
		if c.index(b) < 0 {
			return i
		}
	}
	return len(blocks)
}

func (c *prefixCache) add(blocks []uint64) {
	for _, b := range blocks {
		if i := c.index(b); i >= 0 {
			c.lru = append(c.lru[:i], c.lru[i+1:]...)
		} else {
			c.publish(b, true)
		}
		c.lru = append(c.lru, b)
	}
	for len(c.lru) > c.limit {
		c.publish(c.lru[0], false)
		c.lru = c.lru[1:]
	}
}

func (c *prefixCache) index(block uint64) int {
	for i, b := range c.lru {
		if b == block {
			return i
		}
	}
	return -1
}

func (c *prefixCache) publish(block uint64, added bool) {
	c.lastNumber++
	if c.lastNumber%eventGapInterval == 0 {
		return
	}
	c.events = append(c.events, timedEvent{enginecaller.CacheEvent{Number: c.lastNumber, Block: block, Added: added}, time.Now()})
	if len(c.events) > maxEvents {
		c.events = c.events[1:]
	}
}

// after returns the events with numbers greater than number that are older than lag.
func (c *prefixCache) after(number int64, lag time.Duration) []enginecaller.CacheEvent {
	events := []enginecaller.CacheEvent{}
	cutoff := time.Now().Add(-lag)
	for _, e := range c.events {
		if e.Number > number && e.at.Before(cutoff) {
			events = append(events, e.CacheEvent)
		}
	}
	return events
}
