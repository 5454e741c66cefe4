// Package limiter decides whether an operation of a customer is within the customer's limit, in one
// part of a deployment.
//
// A limit applies to the whole deployment, whose parts may lose each other at any time. So each part
// has an equal share of the tokens, and a part that needs more draws from the others. Tokens are only
// moved, so that the parts together keep to the limit whichever of them are in touch. What a part holds
// beyond its share for its demand of the next moment, while the others collect their shares again, is
// bounded by that demand.
package limiter

import (
	"math"
	"time"
)

// Limit bounds the operations of one customer.
type Limit struct {
	// Rate is in operations a second, zero for no limit. Burst is how many more operations may be
	// sent at once.
	Rate, Burst float64
}

// Tolerance is what a deployment tolerates beyond a limit in any window.
type Tolerance struct {
	Window time.Duration
	// Overage is a part of what the limit allows in the window, Slack a number of operations.
	Overage, Slack float64
}

// beyond returns how many operations are tolerated beyond the limit in a window.
func (t Tolerance) beyond(m Limit) float64 {
	return t.Overage*(m.Rate*t.Window.Seconds()+m.Burst) + t.Slack
}

const (
	// burstShare is the part of the tolerated slack by which a customer's burst is enlarged, so that
	// the share of a part isn't below a whole token.
	burstShare = 0.4
	// startShare is the part of the rest of what is tolerated that all parts together have when they
	// begin. What was sent before that isn't known to a part that has restarted. The remainder is
	// left for the moments in which two hosts count for one part.
	startShare = 0.6
	// takeoversInWindow is how often the host that counts for a part may change in a window: another
	// one takes over, and the first one comes back.
	takeoversInWindow = 2
	// demandWindow is the time over which a customer's demand in this part is averaged.
	demandWindow = time.Second
	// reservedDemand is the time of a part's own demand for which it keeps tokens when others draw.
	reservedDemand = 250 * time.Millisecond
	// emptyPause is how long a part that had to refuse gives no tokens away.
	emptyPause = 250 * time.Millisecond
	// LevelCount is the number of levels of importance.
	LevelCount = 8
	// reservedImportant is the time of the demand at more important levels for which an operation leaves
	// tokens. It bridges the random gaps in what a customer of a few operations a second is granted.
	reservedImportant = 500 * time.Millisecond
	// maximumReserve is the largest part of a part's capacity that is kept for more important
	// operations, so that the less important ones aren't kept out by demand that has ended.
	maximumReserve = 0.5
)

// Limiter holds the tokens of all customers in one part. Its exported fields are set before use. It
// must not be used concurrently.
type Limiter struct {
	// Parts is the number of parts of the deployment.
	Parts int
	// Tolerance applies to all parts together.
	Tolerance Tolerance
	// Began is when the part began to count.
	Began time.Duration

	accounts map[string]*account
}

// account holds the tokens of one customer.
type account struct {
	limit  Limit
	tokens float64
	// at is the time up to which tokens were added.
	at time.Duration
	// demand is the average number of operations a second, at the time demandAt.
	demand   float64
	demandAt time.Duration
	// levels holds the same by level.
	levels [LevelCount]float64
	// refused is set once an operation was refused, the last time at refusedAt.
	refused   bool
	refusedAt time.Duration
}

// Decision is whether an operation may run.
type Decision struct {
	Granted bool
	// RetryAfter is the time until this part has a token again, if it isn't granted.
	RetryAfter time.Duration
	// Low is set if few tokens are left, so that others should be asked for some.
	Low bool
}

// Take takes a token for one operation of the customer, at the most important level.
func (l *Limiter) Take(customer string, m Limit, now time.Duration) Decision {
	return l.TakeAt(0, customer, m, now)
}

// TakeAt takes a token for one operation of the customer at a level, of which zero is the most important.
// A customer that sends more than its limit chooses by the level what runs: an operation leaves the tokens
// that the demand at more important levels needs soon. The limit itself is the same for all levels.
func (l *Limiter) TakeAt(level uint8, customer string, m Limit, now time.Duration) Decision {
	if m.Rate <= 0 {
		return Decision{Granted: true}
	}
	level = min(level, LevelCount-1)
	a := l.account(customer, m, now)
	a.countDemand(level, now)
	kept := l.keptFor(a, level)
	if a.tokens >= 1+kept {
		a.tokens--
		return Decision{Granted: true, Low: a.tokens < a.reserve()}
	}
	a.refused, a.refusedAt = true, now
	return Decision{RetryAfter: l.untilToken(a, kept), Low: true}
}

// keptFor returns the tokens that an operation at the level has to leave for more important ones. It is
// zero at the most important level, and where a part collects hardly more than one token.
func (l *Limiter) keptFor(a *account, level uint8) float64 {
	d := 0.0
	for _, x := range a.levels[:level] {
		d += x
	}
	c := l.capacity(a.limit)
	return max(0, min(d*reservedImportant.Seconds(), c*maximumReserve, c-1))
}

// TakeOver bounds the tokens of an account that another host of the part has kept until now. What that
// host has granted isn't known, and it may come back.
func (l *Limiter) TakeOver(customer string, m Limit, now time.Duration) {
	a := l.account(customer, m, now)
	a.tokens = min(a.tokens, l.start(m)/takeoversInWindow)
}

// TakeOverAll is TakeOver for each account, when another host may have kept all of them meanwhile.
func (l *Limiter) TakeOverAll(now time.Duration) {
	for c, a := range l.accounts {
		l.TakeOver(c, a.limit, now)
	}
}

// untilToken returns the time until the account has a whole token beyond those that are kept.
func (l *Limiter) untilToken(a *account, kept float64) time.Duration {
	s := (1 + kept - a.tokens) * float64(l.parts()) / a.limit.Rate
	return time.Duration(math.Ceil(s * float64(time.Second)))
}

// Missing returns how many tokens the customer's account needs to have half of its capacity and its
// reserve.
func (l *Limiter) Missing(customer string, m Limit, now time.Duration) float64 {
	a := l.account(customer, m, now)
	return max(0, 1+l.capacity(m)/2+a.reserve()-a.tokens)
}

// Give removes up to n tokens from the customer's account, for another part, and returns how many. It
// leaves what this part itself needs soon, and half of the rest.
func (l *Limiter) Give(customer string, m Limit, n float64, now time.Duration) float64 {
	a := l.account(customer, m, now)
	if a.refused && now-a.refusedAt < emptyPause {
		return 0
	}
	a.decayDemand(now)
	g := min(max(0, n), max(0, a.tokens-a.reserve())/2)
	a.tokens -= g
	return g
}

// Receive adds tokens that another part has given.
func (l *Limiter) Receive(customer string, m Limit, n float64, now time.Duration) {
	a := l.account(customer, m, now)
	a.tokens = min(a.tokens+n, max(a.tokens, l.burst(m)))
}

// Return adds the token of an operation that has not run after all.
func (l *Limiter) Return(customer string, m Limit, now time.Duration) {
	if m.Rate > 0 {
		l.Receive(customer, m, 1, now)
	}
}

// Retain forgets the customers for which keep returns false.
func (l *Limiter) Retain(keep func(customer string) bool) {
	for c := range l.accounts {
		if !keep(c) {
			delete(l.accounts, c)
		}
	}
}

func (l *Limiter) parts() int { return max(1, l.Parts) }

// burst returns up to how many tokens collect in all parts.
func (l *Limiter) burst(m Limit) float64 { return m.Burst + burstShare*l.Tolerance.Slack }

// capacity returns up to how many tokens collect in this part.
func (l *Limiter) capacity(m Limit) float64 { return l.burst(m) / float64(l.parts()) }

// start returns how many tokens this part has when it begins.
func (l *Limiter) start(m Limit) float64 {
	t := l.Tolerance
	return min(l.capacity(m), startShare*(t.beyond(m)-burstShare*t.Slack)/float64(l.parts()))
}

// account returns the customer's account with the tokens up to now. An account that is used for the
// first time has collected tokens since the part began.
func (l *Limiter) account(customer string, m Limit, now time.Duration) *account {
	a := l.accounts[customer]
	if a == nil {
		if l.accounts == nil {
			l.accounts = make(map[string]*account)
		}
		a = &account{limit: m, tokens: l.start(m), at: l.Began, demandAt: now}
		l.accounts[customer] = a
	}
	c := l.capacity(a.limit)
	if a.tokens < c {
		a.tokens = min(c, a.tokens+a.limit.Rate/float64(l.parts())*(now-a.at).Seconds())
	}
	a.at = now
	if a.limit != m {
		a.limit = m
		a.tokens = min(a.tokens, l.capacity(m))
	}
	return a
}

// reserve returns the tokens that the part's own demand needs within reservedDemand.
func (a *account) reserve() float64 { return a.demand * reservedDemand.Seconds() }

func (a *account) countDemand(level uint8, now time.Duration) {
	a.decayDemand(now)
	a.demand += 1 / demandWindow.Seconds()
	a.levels[level] += 1 / demandWindow.Seconds()
}

func (a *account) decayDemand(now time.Duration) {
	f := math.Exp(-(now - a.demandAt).Seconds() / demandWindow.Seconds())
	a.demand *= f
	for i := range a.levels {
		a.levels[i] *= f
	}
	a.demandAt = now
}
