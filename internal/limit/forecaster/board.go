package forecaster

import (
	"time"

	"github.com/cuminwick/cuminwick/internal/limit/admitter"
)

const (
	// probeTimeout is how long other requests wait for the answer to a probe: a lost link must not keep
	// them out for longer.
	probeTimeout = 100 * time.Millisecond
	// fullWindow is the number of requests that may be on their way from which all are admitted.
	fullWindow = 16
	// quietTime is the time without refusals after which a period of refusals counts as over. Under a
	// steady overload, restrictions and probes alternate several times a second.
	quietTime = time.Second
	// minimumRetryAfter keeps refused callers from retrying in a tight loop.
	minimumRetryAfter = 10 * time.Millisecond
)

// state is the state of a Board.
type state uint8

const (
	// stateOpen admits all requests.
	stateOpen state = iota
	// stateRestricted admits the requests that the forecast admits, until it expires.
	stateRestricted
	// stateProbing admits a growing number of the others, to see whether they are granted.
	stateProbing
)

// Pass belongs to an admitted request. The zero value is that of a request whose answer isn't counted.
type Pass struct{ generation uint64 }

// Counted reports whether the answer to the request must be passed to Answered, or the request to Cancel
// if it isn't sent.
func (p Pass) Counted() bool { return p.generation != 0 }

// Board is what a host keeps of the forecasts for one server. Its zero value admits all requests. A
// Board must not be used concurrently.
type Board struct {
	state    state
	forecast Forecast
	// until is when the forecast expires.
	until time.Duration
	// generation counts the periods of probing. Answers to probes of an earlier one are ignored.
	generation uint64
	// window is the number of restricted requests that may be on their way, onTheWay those that are,
	// and probe the importance of the most important of them.
	window, onTheWay int
	probe            admitter.Importance
	// progressAt is when the last probe was sent or answered.
	progressAt time.Duration
	// spread is the interval over which retry times are spread.
	spread time.Duration
	// refusals counts the refusals, which spreads their retry times.
	refusals uint32
	// refusing is set from the first refusal until none has been made for quietTime.
	refusing  bool
	refusedAt time.Duration
}

// Update records a forecast of the server's owner. It replaces the one in force.
func (b *Board) Update(f Forecast, now time.Duration) {
	if f.For <= 0 {
		return
	}
	f.For = min(f.For, MaximumFor)
	switch b.state {
	case stateOpen:
		b.spread = f.For
	case stateProbing:
		// More callers wait than there is room for within the forecast's duration.
		b.spread = 2 * b.spread
	}
	b.spread = min(max(b.spread, f.For), MaximumFor)
	b.state, b.forecast, b.until = stateRestricted, f, now+f.For
}

// Ask decides whether a request is sent to the server. If it isn't, it returns after what time the
// caller may retry.
func (b *Board) Ask(i admitter.Importance, now time.Duration) (p Pass, retryAfter time.Duration, ok bool) {
	b.expire(now)
	switch {
	case b.state == stateOpen || i <= b.forecast.Admits:
		return Pass{}, 0, true
	case b.state == stateRestricted:
		return Pass{}, b.refuse(now), false
	}
	// A more important request doesn't wait for the answer to a less important one.
	if b.onTheWay < b.window || i < b.probe {
		b.send(i, now)
		return Pass{b.generation}, 0, true
	}
	if now-b.progressAt >= probeTimeout {
		b.state = stateOpen
		return Pass{}, 0, true
	}
	return Pass{}, b.refuse(now), false
}

// expire ends a forecast whose time has passed. A host without a request for long after it, or after an
// answer to a probe, needs no further probe: it sends no more than one that probes.
func (b *Board) expire(now time.Duration) {
	switch {
	case b.state == stateOpen || now < b.until:
	case now-max(b.until, b.progressAt) >= MaximumFor:
		b.state = stateOpen
	case b.state == stateRestricted:
		b.state, b.window, b.onTheWay = stateProbing, 1, 0
		b.generation++
	}
}

func (b *Board) send(i admitter.Importance, now time.Duration) {
	if b.onTheWay == 0 {
		b.probe = i
	}
	b.probe = min(b.probe, i)
	b.onTheWay++
	b.progressAt = now
}

// Answered records the answer to a request with a counted pass. granted says that the server has run it
// or answered it. A request that was refused with a forecast is passed to Update before.
func (b *Board) Answered(p Pass, granted bool, now time.Duration) {
	if b.state != stateProbing || p.generation != b.generation {
		return
	}
	b.onTheWay--
	b.progressAt = now
	b.window *= 2
	// An owner that refuses without a forecast restricts nothing.
	if !granted || b.window >= fullWindow {
		b.state = stateOpen
	}
}

// Cancel takes back a request with a counted pass that wasn't sent. Its place goes to the next one.
func (b *Board) Cancel(p Pass) {
	if b.state == stateProbing && p.generation == b.generation {
		b.onTheWay--
	}
}

// refuse counts a refusal and returns its retry time, after the forecast has expired. The retry times of
// consecutive refusals are spread evenly over the forecast's duration, and over twice the interval after
// each probe that was refused.
func (b *Board) refuse(now time.Duration) time.Duration {
	// Multiples of the golden ratio are spread evenly over the unit interval at any count.
	const goldenRatio = 0x9e3779b9 // of 2^32
	b.refusals++
	b.refusedAt = now
	s := time.Duration(uint64(b.spread) * uint64(b.refusals*goldenRatio) >> 32)
	return max(minimumRetryAfter, b.until-now+s, s)
}

// Begun reports whether a period of refusals has begun since the last call.
func (b *Board) Begun() bool {
	if b.refusing || b.refusals == 0 {
		return false
	}
	b.refusing = true
	return true
}

// Ended reports whether the period of refusals has ended since the last call, and how many there were.
func (b *Board) Ended(now time.Duration) (refusals int, ok bool) {
	if now-b.refusedAt < quietTime {
		return 0, false
	}
	return b.End()
}

// End ends the period of refusals and reports as Ended does.
func (b *Board) End() (refusals int, ok bool) {
	if !b.refusing {
		return 0, false
	}
	n := b.refusals
	b.refusing, b.refusals = false, 0
	return int(n), true
}

// Forecast returns the last forecast.
func (b *Board) Forecast() Forecast { return b.forecast }
