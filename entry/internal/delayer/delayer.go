// Package delayer determines when callers whose requests find no free capacity should return.
package delayer

import (
	"math/rand/v2"
	"time"

	"fuchsiabridge.example/common/describer"
)

const (
	// plainRetryAfter and streamRetryAfter are the typical Retry-After delays if no target or
	// chain has free capacity: a slot for a plain request is free soon, one for a stream only
	// after other streams have ended or a chain is repaired. The delays vary by up to half of
	// retryAfterJitter times their length in either direction, so that callers don't return all at once.
	plainRetryAfter  = 300 * time.Millisecond
	streamRetryAfter = 2 * time.Second
	retryAfterJitter = 0.5
)

// RetryAfter returns the Retry-After delay for a request that found no free capacity, the same each time for a seed.
func RetryAfter(kind describer.Kind, seed uint64) time.Duration {
	typical := plainRetryAfter
	if kind == describer.Streaming {
		typical = streamRetryAfter
	}
	return time.Duration((1-retryAfterJitter/2)*float64(typical)) + time.Duration(Jitter(seed)*float64(typical))
}

// Spread returns a random delay that is added to the time at which a target may be used again.
func Spread(seed uint64) time.Duration {
	return time.Duration(Jitter(seed) * float64(plainRetryAfter))
}

// Jitter returns a number from 0 to retryAfterJitter, the same each time for a seed.
func Jitter(seed uint64) float64 {
	return retryAfterJitter * rand.New(rand.NewPCG(seed, 0)).Float64()
}
