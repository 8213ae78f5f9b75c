package relayer

import (
	"fuchsiabridge.example/common/bootclock"
	"fuchsiabridge.example/entry/internal/dispatcher"
)

// Demand returns how many requests this node would have open if it shed none.
func (x *Relayer) Demand() float64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.dispatch.Demand(bootclock.Now())
}

// Capacity returns how many requests the chains run at once whose requests are shed if there are too many.
func (x *Relayer) Capacity() int {
	x.Submit(dispatcher.ChainsWanted{})
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.dispatch.Capacity(bootclock.Now())
}
