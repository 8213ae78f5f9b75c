package enginefaker

import (
	"time"

	"fuchsiabridge.example/common/enginecaller"
)

const (
	// BlockTokens is the number of prompt tokens in one block of the prefix cache.
	BlockTokens = 16
	// gapEvery is the share of cache events that are never published: one in so many.
	gapEvery = 7
	// eventsKept bounds the cache events that can be read.
	eventsKept = 4096
)

type timedEvent struct {
	enginecaller.CacheEvent
	at time.Time
}

// prefixCache holds the most recently used prompt blocks.
type prefixCache struct {
	limit  int
	order  []uint64
	events []timedEvent
	number int64
}

func newPrefixCache(limit int) *prefixCache { return &prefixCache{limit: limit} }

// hits counts the leading blocks that are cached.
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
			c.order = append(c.order[:i], c.order[i+1:]...)
		} else {
			c.publish(b, true)
		}
		c.order = append(c.order, b)
	}
	for len(c.order) > c.limit {
		c.publish(c.order[0], false)
		c.order = c.order[1:]
	}
}

func (c *prefixCache) index(block uint64) int {
	for i, b := range c.order {
		if b == block {
			return i
		}
	}
	return -1
}

func (c *prefixCache) publish(block uint64, added bool) {
	c.number++
	if c.number%gapEvery == 0 {
		return
	}
	c.events = append(c.events, timedEvent{enginecaller.CacheEvent{Number: c.number, Block: block, Added: added}, time.Now()})
	if len(c.events) > eventsKept {
		c.events = c.events[1:]
	}
}

// after returns the events after number that are at least as old as the lag.
func (c *prefixCache) after(number int64, lag time.Duration) []enginecaller.CacheEvent {
	events := []enginecaller.CacheEvent{}
	until := time.Now().Add(-lag)
	for _, e := range c.events {
		if e.Number > number && e.at.Before(until) {
			events = append(events, e.CacheEvent)
		}
	}
	return events
}
