// Package estimator estimates how fast a lagging replica catches up.
package estimator

import (
	"time"

	"github.com/cuminwick/cuminwick/internal/group/marker"
)

// Defaults and weights of an Estimator.
const (
	// DefaultRate is the rate, in records per second, that is assumed until the replica has been
	// observed to catch up.
	DefaultRate = 2000
	// DefaultStallTimeout is the default of Estimator.StallTimeout.
	DefaultStallTimeout = 250 * time.Millisecond
	// smoothingDivisor is the divisor of the exponential moving averages: a new sample has a weight
	// of 1/smoothingDivisor.
	smoothingDivisor = 8
)

// Estimator holds the estimates for one replica. Its exported field is set before use. An Estimator must
// not be used concurrently.
type Estimator struct {
	// StallTimeout is the time without progress after which a lagging replica counts as stopped,
	// DefaultStallTimeout if zero.
	StallTimeout time.Duration

	// rate is the moving average in records per second, zero if there is no sample.
	rate float64
	// lag is the moving average of the waits passed to ObserveWait.
	lag time.Duration
	// observed says whether there was an observation; observedAt, last and primary hold the latest.
	observed   bool
	observedAt time.Duration
	last       marker.Mark
	primary    marker.Mark
	// stalledSince is the time from which on the replica has lagged without progress, valid if
	// isStalled is set.
	stalledSince time.Duration
	isStalled    bool
}

// Observe records that at the time at the replica's log ended at last and the primary's log at primary.
// An observation that is not later than the previous one is ignored.
func (e *Estimator) Observe(at time.Duration, last, primary marker.Mark) {
	if e.observed && at <= e.observedAt {
		return
	}
	lagged := e.observed && !e.last.Covers(e.primary)
	moved := e.observed && last != e.last
	switch {
	case !lagged || moved:
		e.isStalled = false
	case !e.isStalled:
		e.isStalled = true
		e.stalledSince = e.observedAt
	}
	if lagged && last.Term == e.last.Term && last.Position > e.last.Position {
		e.addRateSample(float64(last.Position-e.last.Position)/(at-e.observedAt).Seconds(), last.Covers(primary))
	}
	e.observed, e.observedAt, e.last, e.primary = true, at, last, primary
}

// addRateSample updates the rate with a sample. The sample of a replica that has caught up only raises
// the estimate: it was limited by the rate of writes, so the replica may be faster.
func (e *Estimator) addRateSample(rate float64, caughtUp bool) {
	switch {
	case caughtUp:
		e.rate = max(e.Rate(e.observedAt), rate)
	case e.rate == 0:
		e.rate = rate
	default:
		e.rate += (rate - e.rate) / smoothingDivisor
	}
}

// ObserveWait records the time that a read waited for the replica to cover a read index.
func (e *Estimator) ObserveWait(d time.Duration) {
	e.lag += (d - e.lag) / smoothingDivisor
}

// Rate returns the number of records per second that the replica applies when it lags, zero if it has
// stopped.
func (e *Estimator) Rate(now time.Duration) float64 {
	p := e.StallTimeout
	if p == 0 {
		p = DefaultStallTimeout
	}
	if e.isStalled && now-e.stalledSince >= p {
		return 0
	}
	if e.rate == 0 {
		return DefaultRate
	}
	return e.rate
}

// Lag returns the average wait of a read for the replica to cover a read index.
func (e *Estimator) Lag() time.Duration { return e.lag }
