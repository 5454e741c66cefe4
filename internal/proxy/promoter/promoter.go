// Package promoter has another server of a database group promoted when the group needs a new
// primary.
package promoter

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/clock/scheduler"
	"github.com/cuminwick/cuminwick/internal/proxy/blackboard"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
	"github.com/cuminwick/cuminwick/internal/proxy/grouptracker"
	"github.com/cuminwick/cuminwick/internal/proxy/relaydialer"
	"github.com/cuminwick/cuminwick/internal/proxy/successor"
)

// Errors of claims. After any other error the claim may have been made.
const (
	// ErrNoClaim is returned if no host has claimed the group.
	ErrNoClaim = errors.ConstError("no claim")
	// ErrClaimChanged is returned if another host has changed the claim.
	ErrClaimChanged = errors.ConstError("claim was changed by another host")
	// ErrMembersChanged is returned if another host has changed the record of a group's members.
	ErrMembersChanged = errors.ConstError("members were changed by another host")
	// ErrFenced is returned if the platform refuses a promotion, as a newer one was requested
	// or the server doesn't run.
	ErrFenced = errors.ConstError("promotion refused")
	// ErrOutdated is returned for a request that wasn't sent, as it was no longer valid.
	ErrOutdated = errors.ConstError("promotion outdated")
)

const (
	errClaimUnread  = errors.ConstError("claim not read")
	errEarlierOrder = errors.ConstError("an earlier order may be on its way")
)

const (
	// firstClaimDelay is how long after its start a host waits before it claims an unclaimed
	// group. firstClaimDelayFactor times the delay of its detector is added.
	firstClaimDelay       = 2 * time.Second
	firstClaimDelayFactor = 30
	// activeCheckInterval is how often a host that watches a group at full rate checks it.
	activeCheckInterval = 50 * time.Millisecond
	// standbyCheckInterval is the same for the other hosts.
	standbyCheckInterval = 1500 * time.Millisecond
	// probeTimeout bounds a status query: 250 ms for the direct route, 250 ms for a route through
	// another host, and 100 ms for opening the connection and waiting for a busy slot.
	probeTimeout = 600 * time.Millisecond
	// majorityGrace is how long the remaining answers are awaited once more than half of the
	// servers have answered: a server in another region may have the longest log.
	majorityGrace = 100 * time.Millisecond
	// probeInterval is the least time between two probes of a suspected primary.
	probeInterval = 150 * time.Millisecond
	// claimTimeout bounds a read or change of a claim, requestTimeout a promotion request.
	claimTimeout   = 500 * time.Millisecond
	requestTimeout = time.Second
	// requiredStoreTimeout bounds a call to the store without which nothing can be ordered.
	requiredStoreTimeout = time.Second
	// mayPromoteTimeout bounds the read for another host that asks whether this one may act. It isn't made
	// within recentRead of one that the store has answered.
	mayPromoteTimeout = 250 * time.Millisecond
	recentRead        = time.Second
	// holderGracePeriod is how long another host that holds a group's claim is given to act
	// first. Hosts that promote one after the other, each by its own view, would replace each
	// other's new primary. The period exceeds the largest difference between the hosts'
	// decision delays plus the time of a promotion request.
	holderGracePeriod = 1200 * time.Millisecond
	// leaseSlack is how long a host waits beyond another host's lease, for a promotion request
	// that is still in transit.
	leaseSlack = 200 * time.Millisecond
	// claimReadInterval is the least time between two reads of the claim.
	claimReadInterval = 200 * time.Millisecond
	// listStaleAfter is how long after its last confirmation the list of servers may be outdated.
	listStaleAfter = time.Second
	// switchoverRetryInterval is the least time between an abandoned planned switchover and the
	// next one, as each leaves the group without a primary for about a second.
	switchoverRetryInterval = 3 * time.Second
	// decisionTimeout is how old the members of a group may be when a promotion is ordered.
	decisionTimeout = 1500 * time.Millisecond
	// claimRenewInterval is the least time between two attempts to renew a claim.
	claimRenewInterval = 2 * time.Second
	// catchUpTimeout bounds the wait until the candidate of a planned switchover has the whole
	// log of the old primary, and catchUpPollInterval is how often it is queried.
	catchUpTimeout      = 500 * time.Millisecond
	catchUpPollInterval = 10 * time.Millisecond
)

// Roles tells which duties this entry host has for a group among all entry hosts.
type Roles interface {
	// Watches reports whether this host checks the group at full rate.
	Watches(group string) bool
	// MayClaim reports whether this host may claim an unclaimed group.
	MayClaim(group string) bool
}

// Counter records metrics of promotions.
type Counter interface {
	// Phase records the duration of a phase of a promotion.
	Phase(phase string, d time.Duration)
	// Promotion counts a promotion by its reason and result.
	Promotion(reason, result string)
}

// Promoter detects that one group needs another primary and has a server promoted. Its exported
// fields are set before Run.
type Promoter struct {
	// Host is the name of this entry host, Group that of the group.
	Host  string
	Group string
	// Board holds this host's view of the group.
	Board *blackboard.Board
	Roles Roles
	// Dialer queries other hosts about a server, Prober queries the servers themselves.
	Dialer   *relaydialer.Dialer
	Prober   *Prober
	Platform Platform
	Counter  Counter
	// Lease returns for how long the group is left to the host that holds its claim.
	Lease func() time.Duration
	// FencesChecked reports whether the platform refuses a promotion whose token is lower than one that it
	// has received.
	FencesChecked func() bool
	Log           log.Interface

	detector successor.Detector
	probedAt time.Time
	// heldClaim is the claim of this host, zero if it has none or another host has replaced it.
	heldClaim Claim
	// provedAt is when the call began that last showed heldClaim to be the present one, on the board's clock,
	// and orderAfter until when orders under an earlier claim may still arrive at the platform.
	provedAt, orderAfter time.Duration
	// ordering is set while a promotion is carried out.
	ordering atomic.Bool
	// readAt is when the store last answered a read of the claim, on the board's clock, zero if never.
	readAt atomic.Int64
	// listed are the servers that were last read from the platform since neededAt, recorded the members that
	// hosts have recorded there, and recordAt is when this host next tries to record them, zero if they are.
	listed   []declarer.Server
	recorded []string
	recordAt time.Time
	// switchoverFailedAt is when a planned switchover was last abandoned.
	switchoverFailedAt time.Time
	// renewedAt is when a renewal of heldClaim was last attempted.
	renewedAt time.Time
	// needed is set while the group needs another primary.
	needed bool
	// neededAt is when needed was last set.
	neededAt time.Time
	// otherToken is the token of another host's claim that was read since neededAt, and
	// otherClaimAt is when it was first read, zero for none.
	otherToken   uint64
	otherClaimAt time.Time
	// warnedNoCandidate is set once it has been logged since neededAt that no server can be
	// promoted.
	warnedNoCandidate bool
	// warnedUnreadable is set once it has been logged since neededAt that the claim can't be
	// read.
	warnedUnreadable bool
	// warnedWithoutOrder is set once it has been logged since neededAt why this host orders no promotion.
	warnedWithoutOrder bool
	// claimReadAt is when the claim was last read.
	claimReadAt time.Time
	// unsettled is set while an order under this host's claim, or under the one that it has replaced,
	// may still be carried out. suspected is set if such an order of another host is possible.
	unsettled bool
	suspected bool
	// settleAt is when this host next tries to close such an order.
	settleAt time.Time
	// closedToken is the token with which this host has closed all orders so far, zero if it hasn't
	// since the last one, and resumeAt is when replicas that were paused for them may be resumed.
	closedToken uint64
	resumeAt    time.Time
	// replicasPaused is set once replicas were found paused, pauseCheckedAt is when that was last
	// checked.
	replicasPaused bool
	pauseCheckedAt time.Time
}

// Run checks the group at intervals until ctx ends.
func (p *Promoter) Run(ctx context.Context) {
	p.detector = successor.Detector{Host: p.Host, Group: p.Group}
	p.claimIfUnclaimed(ctx)
	for scheduler.Pause(ctx, p.checkInterval()) == nil {
		p.check(ctx)
	}
}

// checkInterval returns how long this host waits until it checks the group again. In a large
// deployment only some hosts check at full rate: the status queries of all of them would fill
// the group's few slots as soon as its primary is lost.
func (p *Promoter) checkInterval() time.Duration {
	if p.Roles.Watches(p.Group) {
		return activeCheckInterval
	}
	return standbyCheckInterval
}

// check probes the primary if necessary, and replaces it if the detector finds a reason.
func (p *Promoter) check(ctx context.Context) {
	s := p.view()
	if p.detector.ShouldProbe(s) && time.Since(p.probedAt) > probeInterval {
		p.probe(ctx, s)
		s = p.view()
	}
	r := p.detector.Decide(s)
	if r == successor.ReasonNone {
		if p.needed {
			p.needed, p.listed = false, nil
			p.suspectOrder()
		}
		p.checkPauses(ctx)
		p.settle(ctx)
		p.renewClaim(ctx)
		p.recordMembers(ctx)
		return
	}
	if !p.needed {
		p.needed, p.otherClaimAt = true, time.Time{}
		p.warnedNoCandidate, p.warnedUnreadable, p.warnedWithoutOrder = false, false, false
		p.neededAt = time.Now()
	}
	if r == successor.ReasonDraining && time.Since(p.switchoverFailedAt) < switchoverRetryInterval {
		return
	}
	if time.Since(p.claimReadAt) >= claimReadInterval {
		p.claimReadAt = time.Now()
		p.replace(ctx, s, r)
	}
}

// view returns a copy of what the board holds of the group.
func (p *Promoter) view() successor.View {
	s := successor.View{Now: p.Board.Time()}
	n := p.synchronous()
	p.Board.Do(p.Group, func(g *grouptracker.Group) {
		if x := g.Primary(); x != nil {
			c := *x
			s.Primary = &c
		}
		for _, x := range g.Servers() {
			c := *x
			s.Servers = append(s.Servers, &c)
		}
		s.Absent = g.Absent(n, s.Now)
	})
	addListed(&s, p.listed)
	return s
}

// replace has another server promoted, unless another host is about to do so.
func (p *Promoter) replace(ctx context.Context, s successor.View, r successor.Reason) {
	l := p.Log.WithFields(log.Fields{"database-group": p.Group, "reason": r})
	others, members := p.startPeerQuery(ctx, s, r), p.startMembersQuery(ctx, r)
	// The claim is read before the servers are queried: if another host promotes a server in
	// between, this host's claim fails, so that it doesn't act on outdated answers.
	present, err := p.readClaim(ctx)
	if err != nil && !errors.Is(err, ErrNoClaim) && !p.warnedUnreadable {
		p.warnedUnreadable = true
		l.WithError(err).Warn("claim not read")
	}
	c := p.queryStatus(ctx, worthProbing(s))
	verdict, m := <-others.done, <-members.done
	if !confirmsLoss(r, verdict) || reportsPrimary(c) && r != successor.ReasonDraining {
		return // if a server is the primary, queryStatus has recorded that
	}
	unread := err != nil && !errors.Is(err, ErrNoClaim)
	if cause := p.obstacle(r, unread, m.err); cause != nil {
		p.warnWithoutOrder(l, cause)
		return
	}
	if p.needsMembers(r) {
		p.learnMembers(m.members)
		s = p.view()
	}
	known := present
	if err != nil {
		known = p.heldClaim
	}
	x := promotion{view: s, reason: r, verdict: verdict, required: p.requirement(s, known, c), listAge: p.Board.Age(blackboard.SectionServers), claimRead: !unread}
	var ok bool
	if x.heir, ok = p.choose(ctx, c, x.required, !unread); !ok {
		if !p.warnedNoCandidate {
			p.warnedNoCandidate = true
			l.WithField("answers", len(c)).WithField("servers", len(s.Servers)).WithField("absent", s.Absent).Warn("no server can take over")
		}
		if p.needsMembers(r) && p.Roles.MayClaim(p.Group) {
			// Servers that have left as planned may still be recorded, and others don't know that they have.
			p.updateRecord(ctx, m.members)
		}
		return
	}
	x.claim, ok = p.acquireClaim(ctx, present, err, Claim{
		Server: x.heir.Server.ID, AboveTerm: max(successor.NewestTerm(c), x.required.Term), LedTerm: x.required.Term, Base: x.heir.Status.Received,
	})
	if ok {
		p.ordering.Store(true)
		defer p.ordering.Store(false)
		p.carryOut(ctx, &x, l)
	}
}

// obstacle returns why this host may not order a promotion for the reason, nil if it may: it couldn't read what the
// order rests on, or an earlier order may be on its way.
func (p *Promoter) obstacle(r successor.Reason, claimUnread bool, membersError error) error {
	switch {
	case claimUnread && !p.ordersWithoutStore(r):
		return errClaimUnread
	case membersError != nil:
		return errors.Annotate(membersError, "list of servers not read")
	case p.awaitsEarlierOrders():
		return errEarlierOrder
	}
	return nil
}

// warnWithoutOrder logs once for each loss why this host orders nothing.
func (p *Promoter) warnWithoutOrder(l log.Interface, cause error) {
	if p.warnedWithoutOrder {
		return
	}
	p.warnedWithoutOrder = true
	l.WithError(cause).WithFields(log.Fields{"fences-checked": p.FencesChecked(), "synchronous": p.synchronous()}).Warn("no promotion ordered")
}

// without returns the servers other than the one with the id.
func without(l []*grouptracker.Server, id string) []*grouptracker.Server {
	return slices.DeleteFunc(slices.Clone(l), func(s *grouptracker.Server) bool { return s.ID == id })
}

// synchronous returns how many replicas must have a commit of the group before it is
// acknowledged.
func (p *Promoter) synchronous() int {
	if c := p.Board.Configuration(); c != nil {
		return c.Groups[p.Group].SynchronousReplicas
	}
	return 0
}

// Phases of a promotion.
const (
	// phaseDecide lasts from the detection of the need, within a second of the loss, to the
	// promotion request.
	phaseDecide = "need-to-order"
	// phaseLead lasts from the promotion request until the server reports to be the primary.
	phaseLead = "order-to-lead"
)
