package admitter

import (
	"time"

	"fuchsiabridge.example/common/configurer"
	"fuchsiabridge.example/entry/internal/drafter"
)

const (
	// newestShare is the part of a mean that its newest sample makes up.
	newestShare = 0.1
	// newestWindow is the part of a rate that its newest window makes up.
	newestWindow = 0.3
	// window is the time over which beginnings are counted.
	window = time.Second
	// leastShare is the part of all beginnings that a priority is taken to have at least.
	leastShare = 0.05
	// margin lengthens the expected wait, as requests that come later may overtake.
	margin = 1.5
)

// estimator learns from drafts how long one takes and how many begin a second.
type estimator struct {
	// perToken holds the mean time of one token for each priority.
	perToken map[int]time.Duration
	// deviation holds the mean difference from it.
	deviation map[int]time.Duration
	// rates holds the mean number of drafts of each priority that begin in one window.
	rates  map[int]float64
	begins map[int]int
	turnAt time.Time
}

func newEstimator() *estimator {
	return &estimator{
		perToken: map[int]time.Duration{}, deviation: map[int]time.Duration{},
		rates: map[int]float64{}, begins: map[int]int{},
	}
}

func (e *estimator) began(priority int) { e.begins[priority]++ }

func (e *estimator) ended(priority int, took time.Duration, tokens int) {
	if tokens == 0 {
		return
	}
	sample := took / time.Duration(tokens)
	mean, ok := e.perToken[priority]
	if !ok {
		mean = sample
	}
	difference := (sample - mean).Abs()
	e.deviation[priority] += time.Duration(newestShare * float64(difference-e.deviation[priority]))
	e.perToken[priority] = mean + time.Duration(newestShare*float64(sample-mean))
}

// turn closes the window once it has passed. Windows in which a place was free say nothing
// of the rate at which places come free.
func (e *estimator) turn(now time.Time, isFull bool) {
	if now.Before(e.turnAt) {
		return
	}
	if isFull {
		for priority, n := range e.begins {
			if e.rates[priority] == 0 {
				e.rates[priority] = float64(n)
			}
		}
		for priority, rate := range e.rates {
			e.rates[priority] = rate + newestWindow*(float64(e.begins[priority])-rate)
		}
	}
	clear(e.begins)
	e.turnAt = now.Add(window)
}

// service is the time within which a draft is expected to end once it runs; zero as long as nothing was learnt.
func (e *estimator) service(a drafter.Arrived) time.Duration {
	return time.Duration(margin * float64(e.perToken[a.Priority]*time.Duration(a.MaxTokens)))
}

// wait is the expected time until so many requests of a priority have begun, at most most.
func (e *estimator) wait(priority, ahead int, most time.Duration) time.Duration {
	rate := max(e.rates[priority], leastShare*e.total())
	if ahead == 0 || rate == 0 {
		return 0
	}
	return min(most, time.Duration(float64(ahead)/rate*float64(window)))
}

// waitForAll is the expected time until so many requests of any priority have begun, at most most.
func (e *estimator) waitForAll(waiting int, most time.Duration) time.Duration {
	if waiting == 0 || e.total() == 0 {
		return 0
	}
	return min(most, time.Duration(float64(waiting)/e.total()*float64(window)))
}

func (e *estimator) total() float64 {
	sum := 0.0
	for priority := range configurer.MostPriority + 1 {
		sum += e.rates[priority]
	}
	return sum
}
