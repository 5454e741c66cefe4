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

// callsPerServer bounds the calls that one attempt makes to one server, all rounds together.
const callsPerServer = 8

// claimCalls bounds the calls that one attempt makes to the platform.
const claimCalls = 3

// loopPromote promotes when the view calls for it, after the delay of this host's rank.
func (d *Driver) loopPromote(ctx context.Context) {
	defer d.calls.Done()
	t, x := d.Clock.Ticks(d.Settings.GapInterval)
	defer x.Cancel()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t:
			d.refresh()
			d.promoteIfDue(ctx)
		}
	}
}

// refresh makes a new view, since time alone changes what is fresh.
func (d *Driver) refresh() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.observe()
}

func (d *Driver) promoteIfDue(ctx context.Context) {
	v := d.View()
	if v.At < d.notBefore {
		return
	}
	if d.leavingDue(v) {
		if err := d.handOver(ctx, v.Primary, d.Settings.LeavingDrain); err != nil {
			d.logger().WithError(err).Warn("hand-over of leaving primary failed")
			d.backOff(v.Term)
		}
		return
	}
	if !promoter.Due(v, d.Settings.Observer, d.delay(v.HighestTerm)) {
		return
	}
	a := promoter.New(v)
	if d.tryAttempt(ctx, a, v); a.Step != promoter.StepDone {
		d.backOff(v.HighestTerm)
	}
}

// backOff keeps this host from another attempt for a while. Hosts that raise
// terms against each other would otherwise do so again at once.
func (d *Driver) backOff(t marker.Term) {
	d.notBefore = d.now() + d.Settings.RankStep + d.delay(t)
}

// leavingDue reports whether this host moves the primary off a server that will
// stop soon. By then all hosts have seen that it is leaving and hold new writes back.
func (d *Driver) leavingDue(v *observer.View) bool {
	return v.Confirmed && v.Leaving && heir(v) != "" &&
		v.At-v.LeavingSince >= 2*d.Settings.StatusInterval+d.delay(v.Term)
}

// delay returns how long this host waits before it promotes. One that the peers
// don't list only stands in for them, and comes after all that may still do it. Many
// stand in where no serving host is left: they are spread, as those that promote
// together raise the same term, of which at most one gets a majority.
func (d *Driver) delay(t marker.Term) time.Duration {
	l := d.hosts()
	n := promoter.Delay(l, d.Host, d.Group.Name, t, d.Settings.RankStep, d.Settings.RankSpread)
	if d.Peers != nil && !slices.Contains(l, d.Host) {
		n += time.Duration(len(l)) * d.Settings.RankStep
	}
	return n
}

// HandOver moves the group's primary from the named server to its best replica.
// This host holds new writes back meanwhile; other hosts hold theirs only where
// the server says itself that it is leaving, which makes drivers move it unasked.
// Transactions that are still open after Settings.HandOverDrain are rolled back.
func (d *Driver) HandOver(ctx context.Context, from string) error {
	d.init()
	return d.handOver(ctx, from, d.Settings.HandOverDrain)
}

func (d *Driver) handOver(ctx context.Context, from string, drain time.Duration) error {
	v := d.View()
	h := heir(v)
	if !v.Confirmed || v.Primary != from || h == "" {
		return errors.Annotatef(ErrHandOver, "from %s to %q with primary %q, %s", from, h, v.Primary, v.Obstacle)
	}
	c, cancel := context.WithTimeout(ctx, d.Settings.Promoter.PromoteTimeout)
	defer cancel()
	if err := d.cover(c, h, from); err != nil {
		return err
	}
	d.hand(true)
	defer d.hand(false)
	d.drain(c, from, drain)
	for {
		a, err := d.move(ctx, c, h, from)
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

// move makes one attempt at a hand-over. It ends with the old primary chosen again
// where that alone holds a commit that came after the wait for the heir; wait
// bounds that wait, not the attempt, which must not be left halfway.
func (d *Driver) move(ctx, wait context.Context, heir, from string) (*promoter.Attempt, error) {
	if err := d.cover(wait, heir, from); err != nil {
		return nil, err
	}
	a := &promoter.Attempt{Prefer: heir, Avoid: from, Planned: true}
	d.tryAttempt(ctx, a, d.View())
	return a, nil
}

// cover waits until the heir's log covers what the old primary's was last seen to
// hold. It is done before writes are held back, as that may take long, and again
// before each attempt.
func (d *Driver) cover(ctx context.Context, heir, from string) error {
	if err := d.WaitCovered(ctx, heir, mark(d.View(), from)); err != nil {
		return errors.WithType(errors.Annotatef(err, "hand over from %s", from), ErrHandOver)
	}
	return nil
}

// drain waits until no transaction that has written is open at the server, for
// at most t.
func (d *Driver) drain(ctx context.Context, server string, t time.Duration) {
	c, cancel := context.WithTimeout(ctx, t)
	defer cancel()
	if _, err := d.wait(c, &waiter{kind: waitDrained, server: server}); err != nil {
		s, _ := d.View().Server(server)
		d.logger().WithField("backend-server", server).WithField("writing", s.Status.Writing).Warn("transactions still open at hand-over")
	}
}

// heir returns the replica with the highest last entry that answers and isn't leaving.
func heir(v *observer.View) string {
	var s []controller.Status
	for _, o := range v.Servers {
		if o.Name != v.Primary && o.Fresh && !o.Status.Leaving {
			s = append(s, o.Status)
		}
	}
	return promoter.Choose(s, "")
}

// tryAttempt carries the attempt, decided on from v, through unless this host has
// another one in progress. A newer view may show that another host has begun:
// going above its term would take the primary away that it is about to give.
func (d *Driver) tryAttempt(ctx context.Context, a *promoter.Attempt, v *observer.View) {
	select {
	case d.attempts <- struct{}{}:
	default:
		a.AbandonReason = "another attempt of this host is in progress"
		return
	}
	defer d.endAttempt()
	d.fill(a, v)
	l := d.logger().WithFields(log.Fields{"suspicion": v.Reason, "avoid": a.Avoid, "old-primary": v.Primary, "above": a.HighestTerm})
	l.Info("promotion begun")
	d.carry(ctx, a)
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

func (d *Driver) fill(a *promoter.Attempt, v *observer.View) {
	a.Settings = d.Settings.Promoter
	a.Host = d.Host
	a.Group = d.Group.Name
	a.HighestTerm = v.HighestTerm
	a.Writer = rand.Text()
	a.ClaimTracker = &d.memory
	for _, i := range d.instances {
		a.Servers = append(a.Servers, i.name)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.promoting++
	d.schedule()
}

// carry makes the calls that the attempt asks for until it ends.
func (d *Driver) carry(ctx context.Context, a *promoter.Attempt) {
	r := make(chan promoter.Result, claimCalls+callsPerServer*len(d.instances))
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

// call carries out one action of an attempt or of a repointing.
type call struct {
	driver  *Driver
	action  promoter.Action
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
		r.Status, r.Err = c.control(x)
	}
	if c.results != nil {
		c.results <- r
	}
}

func (c *call) control(ctx context.Context) (controller.Status, error) {
	i := c.driver.instance(c.action.Server)
	n, at := c.driver.beginCall()
	s, err := c.ask(ctx, i)
	if err != nil {
		c.driver.logger().WithError(err).WithFields(log.Fields{"backend-server": i.name, "action": c.action.Kind, "term": c.action.Term}).Warn("promotion call failed")
		return s, errors.Annotatef(err, "%s at backend server %s", c.action.Kind, i.name)
	}
	c.driver.fold(i, n, at, s)
	return s, nil
}

func (c *call) ask(ctx context.Context, i *instance) (controller.Status, error) {
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
