package driver

import (
	"context"
	"crypto/rand"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/backend/controller"
	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/group/observer"
	"github.com/cuminwick/cuminwick/internal/group/promoter"
)

// maxCallsPerServer is an upper bound on the calls that one attempt makes to one server, including
// its retries.
const maxCallsPerServer = 8

// maxClaimCalls is an upper bound on the calls that one attempt makes to the platform.
const maxClaimCalls = 3

// loopPromote promotes whenever the view shows that a promotion is due, after the delay of this
// host's rank.
func (d *Driver) loopPromote(ctx context.Context) {
	defer d.calls.Done()
	t, x := d.Clock.Ticks(d.Settings.GapInterval)
	defer x.Cancel()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t:
			d.refreshView()
			d.promoteIfDue(ctx)
		}
	}
}

// refreshView computes a new view. Time alone changes it, since statuses become stale.
func (d *Driver) refreshView() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.observe()
}

func (d *Driver) promoteIfDue(ctx context.Context) {
	v := d.View()
	if v.At < d.notBefore {
		return
	}
	if d.leavingHandOverDue(v) {
		if err := d.handOver(ctx, v.Primary, d.Settings.LeavingDrain); err != nil {
			d.logger().WithError(err).Warn("hand-over of leaving primary failed")
			d.backOff(v.Term)
		}
		return
	}
	if !promoter.Due(v, d.Settings.Observer, d.promotionDelay(v.HighestTerm)) {
		return
	}
	a := promoter.New(v)
	if d.tryAttempt(ctx, a, v); a.Step != promoter.StepDone {
		d.backOff(v.HighestTerm)
	}
}

// backOff delays this host's next attempt. Hosts that raised competing terms would otherwise do so
// again immediately.
func (d *Driver) backOff(t marker.Term) {
	d.notBefore = d.now() + d.Settings.RankStep + d.promotionDelay(t)
}

// leavingHandOverDue reports whether this host starts to hand over from a primary whose server is
// leaving. The delay gives all hosts time to observe that it is leaving and to hold new writes back.
func (d *Driver) leavingHandOverDue(v *observer.View) bool {
	return v.Confirmed && v.Leaving && bestReplica(v) != "" &&
		v.At-v.LeavingSince >= 2*d.Settings.StatusInterval+d.promotionDelay(v.Term)
}

// promotionDelay returns how long this host waits before it promotes, for the current term t. A host
// that Peers doesn't list is only a fallback and waits until after all listed hosts. If no listed
// host is left, many fallback hosts may promote; their delays are spread, since hosts that promote
// at the same time raise the same term, for which at most one gets a majority.
func (d *Driver) promotionDelay(t marker.Term) time.Duration {
	l := d.hosts()
	n := promoter.Delay(l, d.Host, d.Group.Name, t, d.Settings.RankStep, d.Settings.RankSpread)
	if d.Peers != nil && !slices.Contains(l, d.Host) {
		n += time.Duration(len(l)) * d.Settings.RankStep
	}
	return n
}

// HandOver moves the group's primary from the named server to its best replica, and returns an error
// of ErrHandOver if that fails. This host holds new writes back meanwhile. Other hosts do so only if
// the server itself reports that it is leaving, in which case drivers hand over automatically.
// Transactions that are still open after Settings.HandOverDrain are rolled back.
func (d *Driver) HandOver(ctx context.Context, from string) error {
	d.init()
	return d.handOver(ctx, from, d.Settings.HandOverDrain)
}

func (d *Driver) handOver(ctx context.Context, from string, drain time.Duration) error {
	v := d.View()
	h := bestReplica(v)
	if !v.Confirmed || v.Primary != from || h == "" {
		return errors.Annotatef(ErrHandOver, "from %s to %q with primary %q, %s", from, h, v.Primary, v.Obstacle)
	}
	c, cancel := context.WithTimeout(ctx, d.Settings.Promoter.PromoteTimeout)
	defer cancel()
	if err := d.awaitCatchUp(c, h, from); err != nil {
		return err
	}
	d.setHandingOver(true)
	defer d.setHandingOver(false)
	d.awaitDrained(c, from, drain)
	for {
		a, err := d.attemptHandOver(ctx, c, h, from)
		if err != nil {
			return err
		}
		if a.Step == promoter.StepDone && a.Chosen != from {
			return nil
		}
		if a.Step != promoter.StepDone || c.Err() != nil {
			return errors.Annotatef(ErrHandOver, "from %s to %s: %s %s, chosen %q", from, h, a.Step, a.AbandonReason, a.Chosen)
		}
	}
}

// attemptHandOver makes one attempt to hand over to the target. The old primary is chosen again if
// it alone holds a commit that was made after the wait for the target to catch up. The context wait
// bounds only that wait, not the attempt, which must not be interrupted halfway.
func (d *Driver) attemptHandOver(ctx, wait context.Context, target, from string) (*promoter.Attempt, error) {
	if err := d.awaitCatchUp(wait, target, from); err != nil {
		return nil, err
	}
	a := &promoter.Attempt{Prefer: target, Avoid: from, Planned: true}
	d.tryAttempt(ctx, a, d.View())
	return a, nil
}

// awaitCatchUp waits until the target's log covers the last observed entry of the old primary's. It
// is called before writes are held back, since it may take long, and again before each attempt.
func (d *Driver) awaitCatchUp(ctx context.Context, target, from string) error {
	if err := d.WaitCovered(ctx, target, lastMark(d.View(), from)); err != nil {
		return errors.WithType(errors.Annotatef(err, "hand over from %s", from), ErrHandOver)
	}
	return nil
}

// awaitDrained waits, for at most t, until the server has no open transaction that has written.
func (d *Driver) awaitDrained(ctx context.Context, server string, t time.Duration) {
	c, cancel := context.WithTimeout(ctx, t)
	defer cancel()
	if _, err := d.wait(c, &waiter{kind: waitDrained, server: server}); err != nil {
		s, _ := d.View().Server(server)
		d.logger().WithField("backend-server", server).WithField("writing", s.Status.WriteTransactions).Warn("transactions still open at hand-over")
	}
}

// bestReplica returns the replica with the highest last log entry among those that have a fresh
// status and aren't leaving, empty if there is none.
func bestReplica(v *observer.View) string {
	var s []controller.Status
	for _, o := range v.Servers {
		if o.Name != v.Primary && o.Fresh && !o.Status.Leaving {
			s = append(s, o.Status)
		}
	}
	return promoter.Choose(s, "")
}

// tryAttempt runs the attempt unless this host has another one in progress. v is the view that the
// attempt was decided on: a newer view may show that another host has started to promote, and a term
// above that host's would fence the primary that it is about to promote.
func (d *Driver) tryAttempt(ctx context.Context, a *promoter.Attempt, v *observer.View) {
	select {
	case d.attempts <- struct{}{}:
	default:
		a.AbandonReason = "another attempt of this host is in progress"
		return
	}
	defer d.endAttempt()
	d.prepareAttempt(a, v)
	l := d.logger().WithFields(log.Fields{"suspicion": v.Reason, "avoid": a.Avoid, "old-primary": v.Primary, "above": a.HighestTerm})
	l.Info("promotion begun")
	d.runAttempt(ctx, a)
	if a.Step == promoter.StepDone {
		d.Promotions.Add(1)
	}
	l.WithFields(log.Fields{"step": a.Step, "term": a.Term, "chosen": a.Chosen, "why": a.AbandonReason}).Info("promotion ended")
}

func (d *Driver) endAttempt() {
	d.mu.Lock()
	d.promoting--
	d.mu.Unlock()
	<-d.attempts
}

// prepareAttempt sets the fields of the attempt that don't depend on why it is made, and counts it
// as in progress.
func (d *Driver) prepareAttempt(a *promoter.Attempt, v *observer.View) {
	a.Settings = d.Settings.Promoter
	a.Host = d.Host
	a.Group = d.Group.Name
	a.HighestTerm = v.HighestTerm
	a.Writer = rand.Text()
	a.ClaimTracker = &d.claimTracker
	for _, i := range d.instances {
		a.Servers = append(a.Servers, i.name)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.promoting++
	d.schedule()
}

// runAttempt makes the calls that the attempt asks for until the attempt or ctx ends.
func (d *Driver) runAttempt(ctx context.Context, a *promoter.Attempt) {
	r := make(chan promoter.Result, maxClaimCalls+maxCallsPerServer*len(d.instances))
	t, s := d.Clock.Ticks(d.Settings.StepInterval)
	defer s.Cancel()
	a.Begin(d.now(), d.Platform != nil)
	for {
		for _, x := range a.Next(d.now(), d.View()) {
			d.calls.Add(1)
			c := &call{driver: d, action: x, results: r}
			go c.run(ctx)
		}
		if a.Final() {
			return
		}
		select {
		case <-ctx.Done():
			return
		case x := <-r:
			a.HandleResult(d.now(), x)
		case <-t:
		}
	}
}

// call carries out one action of an attempt or a repointing.
type call struct {
	driver *Driver
	action promoter.Action
	// results receives the result, unless it is nil.
	results chan<- promoter.Result
}

func (c *call) run(ctx context.Context) {
	defer c.driver.calls.Done()
	x, cancel := context.WithTimeout(ctx, c.driver.Settings.CallTimeout)
	defer cancel()
	r := promoter.Result{Action: c.action}
	switch c.action.Kind {
	case promoter.ActionReadClaim:
		r.Object, r.Err = c.driver.Platform.Get(x, promoter.ClaimKind, c.driver.Group.Name)
	case promoter.ActionPutClaim:
		r.Object, r.Err = c.driver.Platform.Put(x, c.action.Object)
	default:
		r.Status, r.Err = c.callInstance(x)
	}
	if c.results != nil {
		c.results <- r
	}
}

// callInstance carries out an action at an instance and records the status in the answer.
func (c *call) callInstance(ctx context.Context) (controller.Status, error) {
	i := c.driver.instance(c.action.Server)
	n, at := c.driver.beginCall()
	s, err := c.send(ctx, i)
	if err != nil {
		c.driver.logger().WithError(err).WithFields(log.Fields{"backend-server": i.name, "action": c.action.Kind, "term": c.action.Term}).Warn("promotion call failed")
		return s, errors.Annotatef(err, "%s at backend server %s", c.action.Kind, i.name)
	}
	c.driver.recordAnswer(i, n, at, s)
	return s, nil
}

func (c *call) send(ctx context.Context, i *instance) (controller.Status, error) {
	if err := c.driver.checkIdentity(i); err != nil {
		return controller.Status{}, err
	}
	switch c.action.Kind {
	case promoter.ActionRaiseTerm:
		return i.control.RaiseTerm(ctx, c.action.Term)
	case promoter.ActionPromote:
		return i.control.Promote(ctx, c.action.Term)
	default:
		p := c.driver.instance(c.action.Primary)
		return i.control.Follow(ctx, c.action.Term, p.name, p.address)
	}
}

func (d *Driver) instance(name string) *instance {
	for _, i := range d.instances {
		if i.name == name {
			return i
		}
	}
	return nil
}
