package promoter

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/clock/scheduler"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
	"github.com/cuminwick/cuminwick/internal/proxy/grouptracker"
	"github.com/cuminwick/cuminwick/internal/proxy/successor"
)

const (
	// promotionTimeout bounds the wait until a promoted server reports to be the primary, and
	// promotionPollInterval is how often it is queried.
	promotionTimeout      = 4 * time.Second
	promotionPollInterval = 50 * time.Millisecond
	// promotionRetryDelay is how long after a request without an answer the next one is sent.
	promotionRetryDelay = 250 * time.Millisecond
	// rivalPollInterval is how often the other servers are queried while an order has no answer.
	rivalPollInterval = 100 * time.Millisecond
	// settleInterval is the least time between two attempts to close an order, and settleDelay how
	// long after the end of a loss a host leaves that to the one that has sent the order. It is also the
	// interval while the store is unavailable.
	settleInterval = 250 * time.Millisecond
	settleDelay    = time.Second
	// settlePatience is how long a host leaves paused replicas to a holder that answers and has closed
	// its order. It exceeds the time for which the holder waits before it resumes them.
	settlePatience = 2 * takeoverTime
)

// Results of a promotion.
const (
	resultDone        = "done"
	resultRefused     = "refused"
	resultUnconfirmed = "unconfirmed"
	resultSuperseded  = "superseded"
	resultOutdated    = "outdated"
)

// order is an order to promote a server. The platform may carry out one that it hasn't answered seconds
// later, unless it has received a newer token for the group by then.
type order struct {
	heir declarer.Server
	// old is the lost primary, nil if it isn't known or draining.
	old *grouptracker.Server
	// rivals are the other servers that may lead before the order is carried out. A draining primary
	// isn't among them: it leads until then.
	rivals []*grouptracker.Server
	claim  Claim
	// valid, if not nil, reports whether the first request may still be sent. The later ones are repeats of an
	// order that may be carried out in any case.
	valid func() bool
}

// promote has the platform promote the server, waits until the server reports to be the primary, and
// returns the result. It gives the order up if another server leads before the platform has answered.
func (p *Promoter) promote(ctx context.Context, o order, l log.Interface) string {
	began := time.Now()
	l.Info("promotion ordered")
	p.closedToken = 0
	heir := p.watchLeader(ctx, []*grouptracker.Server{{Server: o.heir}}, promotionPollInterval)
	defer heir.stop()
	rival := p.watchLeader(heir.context, o.rivals, rivalPollInterval)
	defer rival.stop()
	err := p.requestUntilAnswered(rival.context, o, began, l)
	rival.stop()
	if err == nil {
		p.suppress(heir.context, o)
	}
	switch {
	case errors.Is(err, ErrFenced):
		l.WithError(err).Warn("promotion refused")
		return resultRefused
	case errors.Is(err, ErrOutdated):
		l.WithError(err).Warn("promotion not requested")
		return resultOutdated
	case err != nil && rival.found.Load():
		l.Warn("promotion superseded")
		return resultSuperseded
	}
	_ = scheduler.Pause(heir.context, promotionTimeout-time.Since(began))
	if !heir.found.Load() {
		l.Warn("promoted server does not lead")
		return resultUnconfirmed
	}
	p.needed = false
	p.markSettled()
	p.unsettled = err != nil
	p.Counter.Phase(phaseLead, time.Since(began))
	l.WithField("took", time.Since(began).String()).Info("promotion done")
	return resultDone
}

// requestUntilAnswered repeats the request until the platform accepts or refuses it, or until ctx or
// promotionTimeout ends, and returns the last error. All of its requests have the same token and server,
// so that a late one changes nothing after an earlier one.
func (p *Promoter) requestUntilAnswered(ctx context.Context, o order, began time.Time, l log.Interface) error {
	for {
		err := p.requestPromotion(ctx, o)
		if err == nil || errors.Is(err, ErrFenced) || errors.Is(err, ErrOutdated) && o.valid != nil {
			return err
		}
		o.valid = nil
		p.unsettled, p.settleAt = true, time.Now()
		if ctx.Err() != nil {
			return err
		}
		l.WithError(err).Warn("promotion not answered")
		if time.Since(began)+promotionRetryDelay > promotionTimeout || scheduler.Pause(ctx, promotionRetryDelay) != nil {
			return err
		}
	}
}

// requestPromotion sends one promotion request to the platform.
func (p *Promoter) requestPromotion(ctx context.Context, o order) error {
	r := Request{Group: p.Group, Server: o.heir.ID, Holder: p.Host, Token: o.claim.Token, Valid: o.valid}
	if !p.FencesChecked() {
		if err := p.proveClaim(ctx, o.claim.Token); err != nil {
			return err
		}
		proved := p.provedClaim()
		r.Valid = func() bool { return proved() && (o.valid == nil || o.valid()) }
	}
	c, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	err := p.Platform.Promote(c, r)
	if err != nil && !errors.Is(err, ErrFenced) && !errors.Is(err, ErrOutdated) {
		p.awaitEarlierOrders()
	}
	return err
}

// leaderWatch queries servers until one of them reports to be the primary.
type leaderWatch struct {
	promoter *Promoter
	servers  []*grouptracker.Server
	interval time.Duration
	// context ends once a server leads or the watch is stopped.
	context context.Context
	stop    context.CancelFunc
	found   atomic.Bool
}

// watchLeader starts a watch, which the caller must stop. It also ends with ctx.
func (p *Promoter) watchLeader(ctx context.Context, l []*grouptracker.Server, interval time.Duration) *leaderWatch {
	w := &leaderWatch{promoter: p, servers: l, interval: interval}
	w.context, w.stop = context.WithCancel(ctx)
	if len(l) > 0 {
		go w.run(context.WithoutCancel(ctx))
	}
	return w
}

// run queries the servers under ctx, which outlasts the watch: a query that is cut off would count as a
// failure of its server.
func (w *leaderWatch) run(ctx context.Context) {
	for scheduler.Pause(w.context, w.interval) == nil {
		for _, c := range w.promoter.queryStatus(ctx, w.servers) {
			if c.Status.Primary {
				w.found.Store(true)
				w.stop()
				return
			}
		}
	}
}

// suspectOrder notes that another host may have ordered a promotion for a loss that is over, and may have
// failed since.
func (p *Promoter) suspectOrder() {
	if !p.unsettled && p.Roles.Watches(p.Group) {
		p.suspected, p.settleAt = true, time.Now().Add(settleDelay)
	}
}

// settle closes an order that may still be carried out although the group has a primary, and resumes the
// replicas that were paused for it. The order of another host is left to that host while it may act.
func (p *Promoter) settle(ctx context.Context) {
	if !p.unsettled && !p.suspected || time.Now().Before(p.settleAt) {
		return
	}
	p.settleAt = time.Now().Add(settleInterval)
	// The claim is read before the primary is queried: if another host orders a promotion in between,
	// the claim made below fails.
	present, err := p.readClaim(ctx)
	switch {
	case errors.Is(err, ErrNoClaim), err == nil && p.isSettled(ctx, present):
		p.markSettled()
		return
	case err != nil:
		p.settleAt = time.Now().Add(settleDelay) // the store is unavailable
		return
	}
	if p.closedToken != 0 && present.Token == p.closedToken {
		p.resume(ctx, present.Server)
		return
	}
	leader, ok := p.confirmPrimary(ctx)
	if !ok || p.awaitsEarlierOrders() || p.leavesToHolder(ctx, present, leader.Server.ID) || !p.closeOrders(ctx, present, leader) {
		return
	}
	p.resume(ctx, leader.Server.ID)
}

// resume resumes the replicas once no order can be carried out any more.
func (p *Promoter) resume(ctx context.Context, leader string) {
	if p.synchronous() == 0 || !time.Now().Before(p.resumeAt) && p.resumeReplicas(ctx, leader) {
		p.markSettled()
	}
}

// leavesToHolder reports whether the holder of the claim is left to close its order, or to resume replicas
// once it has closed it with a claim for the leader.
func (p *Promoter) leavesToHolder(ctx context.Context, present Claim, leader string) bool {
	if present.Server == leader && p.synchronous() > 0 {
		return p.defersFor(ctx, max(settlePatience, p.Lease()+leaseSlack), present)
	}
	return p.defersTo(ctx, present)
}

// isSettled reports whether the present claim shows that no order can be carried out and no replica is paused.
// The claim of this host doesn't show an order that was sent while the store was unavailable.
func (p *Promoter) isSettled(ctx context.Context, present Claim) bool {
	if present.Server != "" || p.unsettled && present.Holder == p.Host {
		return false
	}
	if !p.replicasPaused {
		return true
	}
	l, _ := p.paused(ctx, p.view().Servers)
	return len(l) == 0
}

// markSettled records that no order can be carried out any more.
func (p *Promoter) markSettled() { p.unsettled, p.suspected, p.replicasPaused = false, false, false }

// closeOrders has the platform refuse all orders so far, and reports whether it does. The platform refuses an
// order once it has received a newer token, with a request that names the present primary and thus changes
// nothing.
func (p *Promoter) closeOrders(ctx context.Context, present Claim, leader successor.Candidate) bool {
	x := present
	x.Holder, x.Server = p.Host, leader.Server.ID
	x.AboveTerm, x.LedTerm = max(present.AboveTerm, leader.Status.Term), max(present.LedTerm, leader.Status.Received.Term)
	x, err := p.replaceClaim(ctx, present, x)
	if err != nil || p.awaitsEarlierOrders() {
		return false
	}
	err = p.requestPromotion(ctx, order{heir: leader.Server, claim: x})
	l := p.Log.WithFields(log.Fields{"database-group": p.Group, "primary": leader.Server.ID, "token": x.Token, "closed": present.Token})
	if err != nil {
		l.WithError(err).Warn("promotion order not closed")
		return false
	}
	p.closedToken, p.resumeAt = x.Token, time.Now().Add(takeoverTime)
	l.Info("promotion order closed")
	return true
}
