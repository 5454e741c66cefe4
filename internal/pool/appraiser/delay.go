package appraiser

import (
	"math"
	"time"
)

const (
	// lateDelay is the smoothed delay of timers above which a host is slow, and promptDelay that below
	// which it is fast again. Between them nothing changes.
	lateDelay   = 20 * time.Millisecond
	promptDelay = 5 * time.Millisecond
	// lateTime is how long a host has to be slow before its strength is reduced, and promptTime how
	// long it has to be fast before it is raised.
	lateTime   = 2 * time.Second
	promptTime = 10 * time.Second
	// maximumPromptTime bounds promptTime after it has been doubled.
	maximumPromptTime = 32 * promptTime
	// writeInterval is the time between two changes of the entry, as the store counts writes.
	writeInterval = 5 * time.Second
	// smoothingTime is the time constant of the smoothed delay.
	smoothingTime = time.Second
	// maximumSample bounds a single delay. The smoothed delay falls from it below lateDelay in 1.6 s,
	// so that a single pause, however long, never counts as lateTime.
	maximumSample = 100 * time.Millisecond
	// raiseParts is in how many parts the full strength is restored.
	raiseParts = 4
)

// Cause is why a host declares a strength.
type Cause string

// Causes.
const (
	// CauseLate is a reduction because timers fire late.
	CauseLate Cause = "timers late"
	// CausePrompt is a raise because timers have been on time.
	CausePrompt Cause = "timers on time"
	// CauseRepeated repeats the strength in force after a change whose outcome is unknown.
	CauseRepeated Cause = "entry not confirmed"
)

// Change is a strength that the host has to declare.
type Change struct {
	Strength int
	Cause    Cause
}

// Observer follows how late a host's timers fire, and decides which strength the host declares. A host
// whose strength was reduced again after a raise waits twice as long before the next raise, so that a
// host that is slow at its full strength doesn't alternate between two strengths. Its exported field is
// set before use. An Observer is given the time and isn't safe for concurrent use.
type Observer struct {
	// Full is the strength that the host declares at its start.
	Full int

	// reduction is the part of Full that isn't declared.
	reduction int
	// smoothed is the smoothed delay in seconds, as of observedAt.
	smoothed   float64
	observedAt time.Time
	// lateSince and promptSince are since when the host has been slow or fast, zero if it isn't.
	lateSince, promptSince time.Time
	// writtenAt is when the entry was last written, zero if that was at the start.
	writtenAt time.Time
	// unconfirmed is set after a write that may or may not have been made.
	unconfirmed bool
	// raised is set if the last change was a raise.
	raised bool
	// requiredTime is the present promptTime, zero before the first reduction.
	requiredTime time.Duration
}

// Strength returns the declared strength.
func (o *Observer) Strength() int { return o.Full - o.reduction }

// Delay returns the smoothed delay.
func (o *Observer) Delay() time.Duration { return time.Duration(o.smoothed * float64(time.Second)) }

// Observe records how late a timer has fired, and returns the strength that has to be declared, false if
// that is the one in force. The caller reports the outcome to Record.
func (o *Observer) Observe(now time.Time, delay time.Duration) (Change, bool) {
	o.smooth(now, min(max(0, delay), maximumSample))
	d := o.Delay()
	o.lateSince = since(o.lateSince, now, d > lateDelay)
	o.promptSince = since(o.promptSince, now, d < promptDelay)
	o.restorePromptTime(now)
	if !o.writtenAt.IsZero() && now.Sub(o.writtenAt) < writeInterval {
		return Change{}, false
	}
	switch n := o.Strength(); {
	case passed(o.lateSince, now, lateTime) && n > 1:
		return Change{Strength: n / 2, Cause: CauseLate}, true
	case passed(o.promptSince, now, o.requiredTime) && o.reduction > 0:
		return Change{Strength: min(o.Full, n+(o.Full+raiseParts-1)/raiseParts), Cause: CausePrompt}, true
	case o.unconfirmed:
		return Change{Strength: n, Cause: CauseRepeated}, true
	}
	return Change{}, false
}

// Record records that the change was written to the store at the time, or that it wasn't confirmed. In
// the latter case the strength in force stays, and is declared again unless another change comes first.
func (o *Observer) Record(now time.Time, c Change, confirmed bool) {
	o.writtenAt = now
	o.unconfirmed = !confirmed
	if !confirmed || c.Cause == CauseRepeated {
		return
	}
	o.reduction = o.Full - c.Strength
	o.lateSince, o.promptSince = time.Time{}, time.Time{}
	switch {
	case c.Cause == CausePrompt:
		o.raised = true
		return
	case o.requiredTime == 0:
		o.requiredTime = promptTime
	case o.raised:
		o.requiredTime = min(2*o.requiredTime, maximumPromptTime)
	}
	o.raised = false
}

// restorePromptTime restores promptTime once the host has been fast at its full strength for as long as a
// raise takes at present.
func (o *Observer) restorePromptTime(now time.Time) {
	if o.reduction == 0 && o.requiredTime > 0 && passed(o.promptSince, now, o.requiredTime) {
		o.requiredTime = 0
	}
}

// smooth adds a delay to the smoothed one, with a weight that grows with the time since the last one.
func (o *Observer) smooth(now time.Time, delay time.Duration) {
	w := 1.0
	if !o.observedAt.IsZero() {
		w = -math.Expm1(-now.Sub(o.observedAt).Seconds() / smoothingTime.Seconds())
	}
	o.smoothed += w * (delay.Seconds() - o.smoothed)
	o.observedAt = now
}

// since returns since when a condition that holds now has held, zero if it doesn't.
func since(before, now time.Time, holds bool) time.Time {
	switch {
	case !holds:
		return time.Time{}
	case before.IsZero():
		return now
	}
	return before
}

// passed reports whether d has passed since a time that isn't zero.
func passed(since, now time.Time, d time.Duration) bool {
	return !since.IsZero() && now.Sub(since) >= d
}
