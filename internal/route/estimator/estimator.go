// Package estimator tells how soon a replica will catch up.
package estimator

import (
	"time"

	"github.com/cuminwick/cuminwick/internal/group/marker"
)

// Defaults and weights of an Estimator.
const (
	// DefaultRate is assumed until the replica has been seen to catch up, in
	// records a second.
	DefaultRate = 2000
	// DefaultStallTimeout is how long a replica that lags may show no progress.
	DefaultStallTimeout = 250 * time.Millisecond
	// smoothing is the weight of a new sample, as one part in this many.
	smoothing = 8
)

// Estimator estimates one replica. Patience is set before use, default if zero;
// it belongs to one goroutine.
type Estimator struct {
	StallTimeout time.Duration

	rate    float64
	lag     time.Duration
	known   bool
	at      time.Duration
	last    marker.Mark
	primary marker.Mark
	// stalled is since when the replica lags without progress, if isStalled.
	stalled   time.Duration
	isStalled bool
}

// Observe notes that the replica's log ended at last and the primary's at
// primary at the time at.
func (e *Estimator) Observe(at time.Duration, last, primary marker.Mark) {
	if e.known && at <= e.at {
		return
	}
	lagged := e.known && !e.last.Covers(e.primary)
	moved := e.known && last != e.last
	switch {
	case !lagged || moved:
		e.isStalled = false
	case !e.isStalled:
		e.isStalled = true
		e.stalled = e.at
	}
	if lagged && last.Term == e.last.Term && last.Position > e.last.Position {
		e.learn(float64(last.Position-e.last.Position)/(at-e.at).Seconds(), last.Covers(primary))
	}
	e.known, e.at, e.last, e.primary = true, at, last, primary
}

// learn takes a sample of the rate. A replica that has caught up could have
// been faster, so its sample only raises the estimate: how many records come
// says nothing about how many it can take.
func (e *Estimator) learn(rate float64, caughtUp bool) {
	switch {
	case caughtUp:
		e.rate = max(e.Rate(e.at), rate)
	case e.rate == 0:
		e.rate = rate
	default:
		e.rate += (rate - e.rate) / smoothing
	}
}

// ObserveWait notes how long a read waited for the replica to cover a read index.
func (e *Estimator) ObserveWait(d time.Duration) {
	e.lag += (d - e.lag) / smoothing
}

// Rate returns how many records the replica applies in a second when it lags,
// zero if it has stopped.
func (e *Estimator) Rate(now time.Duration) float64 {
	p := e.StallTimeout
	if p == 0 {
		p = DefaultStallTimeout
	}
	if e.isStalled && now-e.stalled >= p {
		return 0
	}
	if e.rate == 0 {
		return DefaultRate
	}
	return e.rate
}

// Lag returns the usual wait of a read for the replica to cover a read index.
func (e *Estimator) Lag() time.Duration { return e.lag }
