package quotakeeper

import (
	"context"
	"time"

	"github.com/cuminwick/cuminwick/internal/customer/limiter"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

// Assignment says how sure a host that asks for a token is that the asked host counts.
type Assignment uint8

const (
	// AssignmentOpen is a question to the first host of the asking host's list. The asked host passes it
	// on if it lists one that comes before it.
	AssignmentOpen Assignment = iota
	// AssignmentFixed is a question that is passed on, or whose sender got no answer from the hosts before
	// the asked one.
	AssignmentFixed
	// AssignmentTakeover is AssignmentFixed, and another host has counted until now.
	AssignmentTakeover
)

// passTimeout bounds the wait for a host that a question is passed on to. The asking host, which waits
// for takeTimeout or drawTimeout, must get an answer if that host fails.
const passTimeout = 50 * time.Millisecond

// Answer answers another host's question for a token.
func (k *Keeper) Answer(ctx context.Context, o Operation, a Assignment) limiter.Decision {
	d, ok := k.AnswerAtHand(o, a)
	if ok {
		return *d
	}
	return k.AnswerLater(ctx, o, a, d)
}

// AnswerAtHand is Answer without a wait for other hosts. It returns false if AnswerLater has to follow, with
// nil if this host may not be the one that counts.
func (k *Keeper) AnswerAtHand(o Operation, a Assignment) (*limiter.Decision, bool) {
	if a == AssignmentOpen && !k.counts(o.Customer) {
		return nil, false
	}
	d := k.takeAtHand(o, a)
	return &d, d.Granted
}

// AnswerLater answers a question after AnswerAtHand has returned d and false.
func (k *Keeper) AnswerLater(ctx context.Context, o Operation, a Assignment, d *limiter.Decision) limiter.Decision {
	if d != nil {
		return k.takeAfterDraw(ctx, o, *d)
	}
	h, ok := k.other(ctx, o.Customer)
	if !ok {
		return k.Take(ctx, o, a)
	}
	c, cancel := context.WithTimeout(ctx, passTimeout)
	defer cancel()
	to := AssignmentFixed
	if k.moveTo(h.Name, o.Customer) {
		to = AssignmentTakeover
	}
	if d, err := k.askPeer(c, h, o, to); err == nil {
		return d
	}
	k.moveTo(k.Self, o.Customer)
	return k.Take(ctx, o, AssignmentTakeover)
}

// AnswerDraw answers another zone's question for up to n tokens of the customer.
func (k *Keeper) AnswerDraw(ctx context.Context, customer string, n float64) float64 {
	g, ok := k.AnswerDrawAtHand(customer, n)
	if ok {
		return g
	}
	return k.AnswerDrawLater(ctx, customer, n)
}

// AnswerDrawAtHand is AnswerDraw without a wait for other hosts. It returns false if AnswerDrawLater has
// to follow. A host that doesn't list itself gives none: others count, and what its account has collected
// would come on top.
func (k *Keeper) AnswerDrawAtHand(customer string, n float64) (float64, bool) {
	if n <= 0 || !k.Lists(k.Self) {
		return 0, true
	}
	if !k.counts(customer) {
		return 0, false
	}
	return k.Give(customer, n), true
}

// AnswerDrawLater answers a question after AnswerDrawAtHand has returned false.
func (k *Keeper) AnswerDrawLater(ctx context.Context, customer string, n float64) float64 {
	h, ok := k.other(ctx, customer)
	if !ok {
		return k.Give(customer, n)
	}
	c, cancel := context.WithTimeout(ctx, passTimeout)
	defer cancel()
	l, err := k.peers.get(c, h)
	if err != nil {
		return k.Give(customer, n)
	}
	g, err := l.peer.Draw(c, customer, n)
	if err != nil {
		k.peers.fail(h.Name, l, err)
		return k.Give(customer, n)
	}
	return g
}

// counts reports whether this host counts the customer's operations, as far as is known without a question
// to another one.
func (k *Keeper) counts(customer string) bool {
	_, ok := k.earlier(customer)
	return !ok && k.confirmed(customer)
}

// other returns the host that counts the customer's operations, false if it is this one.
func (k *Keeper) other(ctx context.Context, customer string) (declarer.Host, bool) {
	if h, ok := k.earlier(customer); ok {
		return h, true
	}
	return k.substitute(ctx, customer)
}

// AnswerReturn takes back the token of an operation that another host asked for.
func (k *Keeper) AnswerReturn(customer string) {
	if _, ok := k.earlier(customer); ok {
		k.Return(customer)
		return
	}
	k.TakeBack(customer)
}

// earlier returns the first host of this zone that hasn't failed, if it comes before this one.
func (k *Keeper) earlier(customer string) (declarer.Host, bool) {
	for _, h := range k.Counters(k.Zone, customer) {
		if h.Name == k.Self {
			break
		}
		if !k.peers.skipped(h.Name) {
			return h, k.Precedes(h, customer)
		}
	}
	return declarer.Host{}, false
}
