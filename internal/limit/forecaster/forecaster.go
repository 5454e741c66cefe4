// Package forecaster tells other hosts which requests a queue would refuse, and decides at those hosts
// which requests aren't sent for that reason.
package forecaster

import (
	"math"
	"time"

	"github.com/cuminwick/cuminwick/internal/limit/admitter"
)

// Forecast says which requests a queue would refuse. The zero value restricts nothing.
type Forecast struct {
	// Admits is the least important importance that the queue admits: requests with a higher value would
	// be refused.
	Admits admitter.Importance
	// For is how long this holds, zero if nothing is restricted.
	For time.Duration
}

const (
	// minimumFor keeps the cost of a probe small against the round trips that a forecast saves.
	minimumFor = 10 * time.Millisecond
	// MaximumFor bounds how long a restriction outlasts the loss of the host that imposed it.
	MaximumFor = 250 * time.Millisecond
	// memory is how long a refusal stands for further requests of its level. The hosts send no requests
	// of a restricted level but for probes, which arrive more often than this.
	memory = time.Second
	// refusalHalfLife is about the time after which refused callers have come back.
	refusalHalfLife = 100 * time.Millisecond
	// smoothingDivisor is the divisor of the moving average of tolerances: a new sample has a weight of
	// one in this many.
	smoothingDivisor = 16
)

// Refusal describes a request that the queue has refused.
type Refusal struct {
	Importance admitter.Importance
	// BeyondEntitlement says that the request was beyond the entitlement of its team. Its refusal doesn't
	// stand for the requests of others.
	BeyondEntitlement bool
	// QueueFull says that the queue was at its maximum length.
	QueueFull bool
}

// level holds what the requests of one level have shown.
type level struct {
	// tolerance is the moving average of the longest waits that requests accept. offered says that there
	// was one.
	tolerance time.Duration
	offered   bool
	// known says that a request was refused within memory, the last time at refusedAt, and important is
	// the most important one of them.
	known     bool
	refusedAt time.Duration
	important admitter.Importance
	// fullWait is the longest expected wait at which the queue isn't full, zero if the last request was
	// refused for another reason.
	fullWait time.Duration
	// recent is the number of refusals, each of which counts half after refusalHalfLife.
	recent float64
}

// limit returns the longest expected wait with which requests are admitted.
func (v *level) limit() time.Duration {
	if v.fullWait > 0 {
		return v.fullWait
	}
	return v.tolerance
}

// Forecaster computes the forecasts of one queue. A Forecaster must not be used concurrently.
type Forecaster struct {
	levels [admitter.LevelCount]level
}

// Offered records the longest wait that an arriving request could accept, whether it is admitted or not.
// The mean of them stands for further requests: the one that is refused may be a late retry, and hosts
// leave different margins.
func (f *Forecaster) Offered(i admitter.Importance, tolerance time.Duration) {
	v := &f.levels[i.Level()]
	if !v.offered {
		v.tolerance, v.offered = tolerance, true
		return
	}
	v.tolerance += (tolerance - v.tolerance) / smoothingDivisor
}

// Refused records the refusal of a request that was offered, and returns the forecast for the queue's load.
func (f *Forecaster) Refused(r Refusal, l admitter.Load, now time.Duration) Forecast {
	f.forget(now)
	if !r.BeyondEntitlement {
		f.record(r, l, now)
	}
	restricted := f.firstRestricted(l)
	if restricted == admitter.LevelCount {
		return Forecast{}
	}
	return Forecast{Admits: max(f.levels[restricted].important, 1) - 1, For: f.duration(restricted, l)}
}

// duration returns how long requests of a restricted level would be refused: until the queue has drained
// to where they are admitted, and the ones that were refused before have had their turn. It is at most
// half of the time in which the queue runs empty, so that requests arrive before the slots are idle.
func (f *Forecaster) duration(restricted int, l admitter.Load) time.Duration {
	v := &f.levels[restricted]
	w := l.ExpectedWait(restricted)
	d := w - v.limit() + time.Duration(v.recent*float64(l.ServiceTime)/float64(l.Slots))
	return min(max(min(d, w/2), minimumFor), MaximumFor)
}

// forget drops refusals that are too old to stand for further requests.
func (f *Forecaster) forget(now time.Duration) {
	for i := range f.levels {
		if v := &f.levels[i]; v.known && now-v.refusedAt > memory {
			*v = level{tolerance: v.tolerance, offered: v.offered}
		}
	}
}

func (f *Forecaster) record(r Refusal, l admitter.Load, now time.Duration) {
	i := int(r.Importance.Level())
	v := &f.levels[i]
	if !v.known {
		v.known, v.important = true, r.Importance
	}
	v.important = min(v.important, r.Importance)
	v.fullWait = 0
	if r.QueueFull {
		// There is room as soon as one waiting request is granted.
		v.fullWait = max(0, l.ExpectedWait(i)-1)
	}
	v.recent = v.recent*math.Exp2(-float64(now-v.refusedAt)/float64(refusalHalfLife)) + 1
	v.refusedAt = now
}

// firstRestricted returns the most important level whose requests, like all less important ones, would
// be refused; admitter.LevelCount if there is none. A level without refusals counts as restricted like
// the more important one before it unless its requests wait in the queue.
func (f *Forecaster) firstRestricted(l admitter.Load) int {
	first := admitter.LevelCount
	for i := admitter.LevelCount - 1; i >= 0; i-- {
		v := &f.levels[i]
		switch {
		case v.known && l.ExpectedWait(i) > max(0, v.limit()):
			first = i
		case v.known || l.WaitingByLevel[i] > 0:
			return first
		}
	}
	return first
}
