package admitter

import (
	"time"

	"fuchsiabridge.example/common/configurer"
	"fuchsiabridge.example/entry/internal/drafter"
)

const (
	// sampleWeight is the weight of the newest sample in a moving average.
	sampleWeight = 0.1
	// windowWeight is the weight of the newest window in a rate.
	windowWeight = 0.3
	// window is the time over which draft starts are counted.
	window = time.Second
	// minRateShare is the smallest share of all starts that is assumed for a priority.
	minRateShare = 0.05
	// waitMargin lengthens expected times, since requests that arrive later may be served first.
	waitMargin = 1.5
)

// estimator learns how long drafts take and how many start per second.
type estimator struct {
	// perToken holds the mean time per token for each priority.
	perToken map[int]time.Duration
	// deviation holds the mean absolute deviation from it.
	deviation map[int]time.Duration
	// rates holds the mean number of drafts that start in one window, for each priority.
	rates map[int]float64
	// startsInWindow counts the drafts that started in the current window, for each priority.
	startsInWindow map[int]int
	windowEnd      time.Time
}

func newEstimator() *estimator {
	return &estimator{
		perToken: map[int]time.Duration{}, deviation: map[int]time.Duration{},
		rates: map[int]float64{}, startsInWindow: map[int]int{},
	}
}

func (e *estimator) recordStart(priority int) { e.startsInWindow[priority]++ }

func (e *estimator) recordEnd(priority int, took time.Duration, tokens int) {
	if tokens == 0 {
		return
	}
	sample := took / time.Duration(tokens)
	mean, ok := e.perToken[priority]
	if !ok {
		mean = sample
	}
	difference := (sample - mean).Abs()
	e.deviation[priority] += time.Duration(sampleWeight * float64(difference-e.deviation[priority]))
	e.perToken[priority] = mean + time.Duration(sampleWeight*float64(sample-mean))
}

// closeWindow ends the current window once its time has passed. Windows with free capacity are
// ignored, since they do not show how fast capacity becomes free.
func (e *estimator) closeWindow(now time.Time, isFull bool) {
	if now.Before(e.windowEnd) {
		return
	}
	if isFull {
		for priority, n := range e.startsInWindow {
			if e.rates[priority] == 0 {
				e.rates[priority] = float64(n)
			}
		}
		for priority, rate := range e.rates {
			e.rates[priority] = rate + windowWeight*(float64(e.startsInWindow[priority])-rate)
		}
	}
	clear(e.startsInWindow)
	e.windowEnd = now.Add(window)
}

// serviceTime returns the time within which a draft is expected to end once it runs, or zero if
// nothing is known yet.
func (e *estimator) serviceTime(r drafter.Request) time.Duration {
	return time.Duration(waitMargin * float64(e.perToken[r.Priority]*time.Duration(r.MaxTokens)))
}

// waitTime returns the expected time until the given number of requests of a priority have started,
// at most maxWait.
func (e *estimator) waitTime(priority, ahead int, maxWait time.Duration) time.Duration {
	rate := max(e.rates[priority], minRateShare*e.totalRate())
	if ahead == 0 || rate == 0 {
		return 0
	}
	return min(maxWait, time.Duration(float64(ahead)/rate*float64(window)))
}

// drainTime returns the expected time until the given number of requests of any priority have
// started, at most maxWait.
func (e *estimator) drainTime(waiting int, maxWait time.Duration) time.Duration {
	if waiting == 0 || e.totalRate() == 0 {
		return 0
	}
	return min(maxWait, time.Duration(float64(waiting)/e.totalRate()*float64(window)))
}

func (e *estimator) totalRate() float64 {
	sum := 0.0
	for priority := range configurer.MaxPriority + 1 {
		sum += e.rates[priority]
	}
	return sum
}
