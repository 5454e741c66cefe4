// Package quotakeeper keeps the customers' limits over all entry hosts.
//
// In each availability zone one host counts the operations of a customer: the first host of the zone
// that answers, in an order by customer. Other hosts of the zone ask it before an operation; a host that
// is asked passes the question on if it lists one that comes before it, as lists may differ for a while.
// The counting hosts of different zones move tokens among each other when one runs low, so that the
// messages between zones don't grow with the operations.
package quotakeeper

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/customer/limiter"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

const (
	// takeTimeout bounds one question within the zone. It leaves time for a draw.
	takeTimeout = 150 * time.Millisecond
	// drawTimeout bounds one draw from all other zones: a round trip of up to 32 ms, and a
	// connection attempt before it.
	drawTimeout = 100 * time.Millisecond
	// drawPause is the time from a draw that brought less than a token to the next one.
	drawPause = 200 * time.Millisecond
	// hostPause is how long a host that has not answered is skipped.
	hostPause = 500 * time.Millisecond
	// maximumCounters is how many hosts of a zone are asked, one after the other.
	maximumCounters = 3
	// unreachablePause is when a caller may come back that was refused as no host of the zone
	// answered.
	unreachablePause = 200 * time.Millisecond
)

// Peer is a connection to another entry host that counts operations.
type Peer interface {
	// Take asks for a token for one operation.
	Take(ctx context.Context, o Operation, a Assignment) (limiter.Decision, error)
	// Draw asks for up to n tokens of the customer, and returns how many the other host has given.
	Draw(ctx context.Context, customer string, n float64) (float64, error)
	// Lists asks whether the other host lists a host of its zone.
	Lists(ctx context.Context, host string) (bool, error)
	// Return gives back the token of an operation that has not run. It doesn't wait for an answer.
	Return(customer string) error
	// Ended reports whether the other host has closed the connection.
	Ended() bool
	Close()
}

// Operation is one operation of a customer.
type Operation struct {
	Customer string
	// Level is lower for operations that are more important to the customer, see limiter.Limiter.
	Level uint8
}

// Refusal is why an operation of a customer is refused.
type Refusal struct {
	// Unreachable is set if no host that counts the customer's operations answered.
	Unreachable bool
	Limit       limiter.Limit
	RetryAfter  time.Duration
}

// Keeper keeps the limits at one host. Its exported fields are set before use.
type Keeper struct {
	// Self is the name of this host, Zone its availability zone.
	Self, Zone string
	// Zones are all availability zones.
	Zones []string
	// Tolerance is limiter.Limiter.Tolerance.
	Tolerance limiter.Tolerance
	// Limit returns the limit of a customer, false if the customer is unknown.
	Limit func(customer string) (limiter.Limit, bool)
	// Counters returns the hosts of a zone in the order in which they count the customer's
	// operations.
	Counters func(zone, customer string) []declarer.Host
	// Precedes reports whether a host of this zone comes before this one in that order.
	Precedes func(h declarer.Host, customer string) bool
	// Dial connects to another host.
	Dial func(ctx context.Context, h declarer.Host) (Peer, error)
	// Now reads a monotonic clock that also advances while the host is suspended.
	Now func() time.Duration
	// Lost, if not nil, is called with a host that has begun to fail, and why.
	Lost func(host string, err error)
	// Moved, if not nil, is called when this host asks another counting host about a customer than
	// before. from is empty the first time.
	Moved func(customer, from, to string)

	mu      sync.Mutex
	limiter limiter.Limiter
	draws   map[string]*draw
	// silent holds, by name, until when a host isn't asked whether it lists this one.
	silent map[string]time.Duration
	// leaving is set once this host's entry is being removed.
	leaving atomic.Bool
	// asked holds by customer which host was asked last.
	asked map[string]lastAsked
	// contactAt is when another host was last heard from, and lostAt when the last attempt to reach
	// one failed. Both are zero at the beginning.
	contactAt, lostAt time.Duration
	peers             peers
}

// lastAsked is the host that counted a customer's operations, and when it was last asked.
type lastAsked struct {
	host string
	at   time.Duration
}

// Start begins to count. It is called before all other methods.
func (k *Keeper) Start() {
	k.limiter = limiter.Limiter{Parts: len(k.Zones), Tolerance: k.Tolerance, Began: k.Now()}
	k.draws = make(map[string]*draw)
	k.asked = make(map[string]lastAsked)
	k.silent = make(map[string]time.Duration)
	k.peers = peers{dial: k.Dial, lost: k.Lost}
}

// Admit takes a token for one operation. It returns nil if the operation may run.
func (k *Keeper) Admit(ctx context.Context, o Operation) *Refusal {
	m, ok := k.Limit(o.Customer)
	if !ok || m.Rate <= 0 {
		return nil
	}
	for range maximumCounters {
		h, a, ok := k.counter(o.Customer)
		if !ok {
			break
		}
		d, err := k.ask(ctx, h, o, a)
		if err != nil {
			continue
		}
		if d.Granted {
			return nil
		}
		return &Refusal{Limit: m, RetryAfter: d.RetryAfter}
	}
	return &Refusal{Unreachable: true, Limit: m, RetryAfter: unreachablePause}
}

// counter returns the host of this zone that counts the customer's operations, false if all have failed.
// The assignment is fixed if hosts before it have failed.
func (k *Keeper) counter(customer string) (declarer.Host, Assignment, bool) {
	a := AssignmentOpen
	for _, h := range k.Counters(k.Zone, customer) {
		if h.Name == k.Self || !k.peers.skipped(h.Name) {
			return h, a, true
		}
		a = AssignmentFixed
	}
	return declarer.Host{}, a, false
}

// Return gives back the token of an operation of the customer that has not run. The token is lost if the
// host that counts can't be told.
func (k *Keeper) Return(customer string) {
	h, _, ok := k.counter(customer)
	switch {
	case !ok:
	case h.Name == k.Self:
		k.TakeBack(customer)
	default:
		l := k.peers.present(h)
		if l == nil {
			return
		}
		if err := l.peer.Return(customer); err != nil {
			k.peers.fail(h.Name, l, err)
		}
	}
}

// TakeBack adds the token of an operation that has not run to the account that this host keeps.
func (k *Keeper) TakeBack(customer string) {
	m, ok := k.Limit(customer)
	if !ok {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.limiter.Return(customer, m, k.Now())
}

// ask asks a host of the zone, or this one, for a token.
func (k *Keeper) ask(ctx context.Context, h declarer.Host, o Operation, a Assignment) (limiter.Decision, error) {
	if h.Name == k.Self {
		if !k.inTouch(ctx, o.Customer) {
			return limiter.Decision{}, ErrCutOff
		}
		if x, ok := k.substitute(ctx, o.Customer); ok {
			h, a = x, AssignmentFixed
		}
	}
	if k.moveTo(h.Name, o.Customer) {
		a = AssignmentTakeover
	}
	if h.Name == k.Self {
		return k.Take(ctx, o, a), nil
	}
	c, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	return k.askPeer(c, h, o, a)
}

// askPeer asks another host for a token.
func (k *Keeper) askPeer(ctx context.Context, h declarer.Host, o Operation, a Assignment) (limiter.Decision, error) {
	l, err := k.peers.get(ctx, h)
	if err != nil {
		return limiter.Decision{}, err
	}
	d, err := l.peer.Take(ctx, o, a)
	if err != nil {
		k.peers.fail(h.Name, l, err)
		return d, err
	}
	k.Heard()
	return d, nil
}

// ErrCutOff is returned for an operation that this host counts itself while it reaches no other host:
// another one may count for the zone by now.
const ErrCutOff = errors.ConstError("no other entry host is reached")

// moveTo records that the host is asked about the customer, and reports whether that takes the customer
// over from another one, which was asked within the last window.
func (k *Keeper) moveTo(host, customer string) bool {
	now := k.Now()
	before, ok := k.recordAsked(host, customer, now)
	if before.host != host && k.Moved != nil {
		k.Moved(customer, before.host, host)
	}
	return ok && before.host != host && now-before.at < k.Tolerance.Window
}

// recordAsked records that the host is asked about the customer, and returns the last question before,
// false if there was none.
func (k *Keeper) recordAsked(host, customer string, now time.Duration) (lastAsked, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	before, ok := k.asked[customer]
	k.asked[customer] = lastAsked{host: host, at: now}
	return before, ok
}

// Take takes a token from the account that this host keeps for its zone. If there is none, it first
// draws from other zones.
func (k *Keeper) Take(ctx context.Context, o Operation, a Assignment) limiter.Decision {
	d := k.takeAtHand(o, a)
	if d.Granted {
		return d
	}
	return k.takeAfterDraw(ctx, o, d)
}

// takeAfterDraw draws tokens from other zones and takes one, after the decision d of takeAtHand. It
// returns d if it is too early for a draw.
func (k *Keeper) takeAfterDraw(ctx context.Context, o Operation, d limiter.Decision) limiter.Decision {
	if !k.drawAndWait(ctx, o.Customer) {
		return d
	}
	return k.take(o, AssignmentFixed)
}

// takeAtHand is Take without a wait for other zones.
func (k *Keeper) takeAtHand(o Operation, a Assignment) limiter.Decision {
	d := k.take(o, a)
	if d.Granted && d.Low {
		k.beginDraw(o.Customer)
	}
	return d
}

// take takes a token at hand.
func (k *Keeper) take(o Operation, a Assignment) limiter.Decision {
	m, ok := k.Limit(o.Customer)
	if !ok {
		// The asking host has a newer configuration than this one.
		return limiter.Decision{Granted: true}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.Now()
	if a == AssignmentTakeover {
		k.limiter.TakeOver(o.Customer, m, now)
	}
	return k.limiter.TakeAt(o.Level, o.Customer, m, now)
}

// Give gives up to n tokens of the customer to another zone, and returns how many.
func (k *Keeper) Give(customer string, n float64) float64 {
	m, ok := k.Limit(customer)
	if !ok {
		return 0
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.limiter.Give(customer, m, n, k.Now())
}

// Forget drops the accounts of customers that are no longer declared.
func (k *Keeper) Forget() {
	k.mu.Lock()
	defer k.mu.Unlock()
	declared := func(c string) bool {
		_, ok := k.Limit(c)
		return ok
	}
	k.limiter.Retain(declared)
	maps.DeleteFunc(k.asked, func(c string, _ lastAsked) bool { return !declared(c) })
	maps.DeleteFunc(k.draws, func(c string, _ *draw) bool { return !declared(c) })
}
