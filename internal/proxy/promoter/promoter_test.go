package promoter

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/proxy/blackboard"
	"github.com/cuminwick/cuminwick/internal/proxy/connpooler"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
	"github.com/cuminwick/cuminwick/internal/proxy/grouptracker"
	"github.com/cuminwick/cuminwick/internal/proxy/relaydialer"
	"github.com/cuminwick/cuminwick/internal/proxy/successor"
)

var quiet = &log.Logger{Handler: discard.New()}

// state is what one server says of itself.
type state struct {
	primary bool
	term    marker.Term
	length  marker.Position
	gone    bool
	// deaf receives nothing.
	deaf bool
	// full is how it refuses for want of room, nil if it doesn't.
	full error
}

// cluster is one group with the platform's calls about it.
type cluster struct {
	mu      sync.Mutex
	servers map[string]*state
	claim   *Claim
	// claims are all that were made, in order.
	claims []Claim
	// away makes all calls about claims fail, lost those that were carried out.
	away, lost bool
	// refuses makes promotions fail as fenced.
	refuses bool
	// heard says that other hosts hear from servers that this one doesn't reach, and hung
	// that they only reach them.
	heard, hung bool
	steps       []string
	// phases are the times of promotions by phase.
	phases map[string]time.Duration
}

func newCluster() *cluster {
	return &cluster{servers: map[string]*state{
		"a": {primary: true, term: 1, length: 10}, "b": {term: 1, length: 9}, "c": {term: 1, length: 7},
	}}
}

func (c *cluster) note(format string, a ...any) { c.steps = append(c.steps, fmt.Sprintf(format, a...)) }

func (c *cluster) Claim(context.Context, string) (Claim, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.away:
		return Claim{}, errors.New("away")
	case c.claim == nil:
		return Claim{}, ErrNoClaim
	}
	return *c.claim, nil
}

func (c *cluster) PutClaim(_ context.Context, _ string, x Claim) (Claim, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	present := uint64(0)
	if c.claim != nil {
		present = c.claim.Token
	}
	switch {
	case c.away:
		return x, errors.New("away")
	case x.Token != present:
		return x, ErrClaimChanged
	}
	x.Token = present + 3
	c.claim = &x
	c.claims = append(c.claims, x)
	if c.lost {
		c.lost = false
		return Claim{}, errors.New("answer lost")
	}
	return x, nil
}

func (c *cluster) Promote(_ context.Context, _, server, holder string, token uint64) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refuses {
		return ErrFenced
	}
	c.note("promote %s by %s with %d at length %d", server, holder, token, c.servers[server].length)
	for _, s := range c.servers {
		s.primary = false
	}
	c.servers[server].primary = true
	c.servers[server].term++
	return nil
}

func (c *cluster) Dial(_ context.Context, s declarer.Server) (connpooler.Connection, marker.Mark, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.servers[s.ID].gone {
		return nil, marker.Mark{}, connpooler.ErrNoRoute
	}
	if f := c.servers[s.ID].full; errors.Is(f, connpooler.ErrTooManyConnections) {
		return nil, marker.Mark{}, f
	}
	return &line{cluster: c, id: s.ID}, marker.Mark{}, nil
}

func (c *cluster) DialVia(ctx context.Context, _ string, s declarer.Server) (connpooler.Connection, marker.Mark, error) {
	return c.Dial(ctx, s)
}

// CheckServer is what another host says of the server.
func (c *cluster) CheckServer(_ context.Context, _ string, s declarer.Server, q relaydialer.Check) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	x := c.servers[s.ID]
	if (x.gone || x.full != nil) && (!c.heard || c.hung && q == relaydialer.CheckResponding) {
		return connpooler.ErrNoRouteAnywhere
	}
	return connpooler.ErrServerAlive
}

func (c *cluster) Promotion(string, string) {}

func (c *cluster) Phase(phase string, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phases == nil {
		c.phases = make(map[string]time.Duration)
	}
	c.phases[phase] += d
}

func (c *cluster) PlatformLost(string) {}

func (c *cluster) hosts() []declarer.Host {
	var l []declarer.Host
	for _, n := range []string{"h1", "h2", "h3", "h8", "h9"} {
		l = append(l, declarer.Host{Name: n})
	}
	return l
}

// line is a connection on which only commands are given.
type line struct {
	connpooler.Connection
	cluster *cluster
	id      string
}

func (l *line) Close() {}

func (l *line) Send(r []declarer.Request, _ time.Time) error {
	l.cluster.mu.Lock()
	defer l.cluster.mu.Unlock()
	if r[0].Verb == declarer.VerbDemote {
		l.cluster.note("demote %s below %d", l.id, r[0].Term)
		l.cluster.servers[l.id].primary = false
	}
	return nil
}

func (l *line) Receive(a *declarer.Answer, _ time.Time) error {
	l.cluster.mu.Lock()
	defer l.cluster.mu.Unlock()
	if l.cluster.servers[l.id].full != nil {
		a.Code = declarer.CodeBusy
	}
	a.Row = l.id
	return nil
}

// parse tells the status of the server whose id is the row. A replica catches up with
// each look at it.
func (c *cluster) parse(id string) (declarer.Status, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.servers[id]
	x := declarer.Status{Primary: s.primary, Term: s.term, Received: marker.Mark{Term: s.term, Position: s.length}}
	if !s.primary {
		for _, o := range c.servers {
			if o.length > s.length && !o.gone && !s.deaf {
				s.length++
				break
			}
		}
	}
	return x, nil
}

// promoterOf makes host h's promoter, which knows a as the primary.
func promoterOf(c *cluster, h string) *Promoter {
	began := time.Now()
	b := &blackboard.Board{Now: func() time.Duration { return time.Since(began) + time.Hour }}
	b.ReplaceServers([]declarer.Server{{ID: "a", Group: "db", Primary: true}, {ID: "b", Group: "db"}, {ID: "c", Group: "db"}})
	return &Promoter{
		Host: h, Group: "db", Board: b, Roles: among{}, Platform: c, Counter: c, Log: quiet,
		Dialer: &relaydialer.Dialer{Transport: c, Hosts: c.hosts}, Prober: &Prober{Dialer: c, Parse: c.parse},
		Lease: func() time.Duration { return 0 },
		judge: successor.Detector{Host: h, Group: "db"},
	}
}

// among has a host look after every group.
type among struct{}

func (among) Watches(string) bool  { return true }
func (among) MayClaim(string) bool { return true }

// win reads the claim and makes one of the host's own.
func win(p *Promoter, server string) (Claim, bool) {
	c, err := p.claim(context.Background())
	return p.win(context.Background(), c, err, server, 1)
}

// steps runs the promoter for the time.
func steps(p *Promoter, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(promoteTick) {
		p.step(context.Background())
	}
}

// A primary is gone and its host with it. Another one leads soon, the one with the
// longest log, or acknowledged lines would be dropped without need.
func TestLostPrimaryIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		c.servers["a"].gone = true
		p := promoterOf(c, "h1")
		p.Board.RecordConnectionFailure("db", "a", p.Board.Time(), connpooler.ErrNoRoute)
		began := time.Now()
		steps(p, 5*time.Second)
		if len(c.steps) != 1 || !c.servers["b"].primary {
			t.Fatalf("steps %q", c.steps)
		}
		if d := time.Since(began); d > 6*time.Second {
			t.Errorf("took %s", d)
		}
		if c.phases[phaseDecide] > 2*time.Second || c.phases[phaseLead] > time.Second || len(c.phases) != 2 {
			t.Errorf("phases %v", c.phases)
		}
		if x := c.claims[0]; x.Holder != "h1" || x.Server != "b" || x.AboveTerm != 1 {
			t.Errorf("claim %+v", x)
		}
	})
}

// Two hosts see the same loss. If both ordered, the second order would take the lead
// from the server that has just got it, with what was written there.
func TestOnlyOneHostPromotes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		c.servers["a"].gone = true
		var g sync.WaitGroup
		for _, h := range []string{"h1", "h2", "h3"} {
			p := promoterOf(c, h)
			p.Board.RecordConnectionFailure("db", "a", p.Board.Time(), connpooler.ErrNoRoute)
			g.Go(func() { steps(p, 4*time.Second) })
		}
		g.Wait()
		if len(c.steps) != 1 {
			t.Errorf("steps %q", c.steps)
		}
	})
}

// A cut keeps this host from the primary, others still write there. Replacing it would
// drop what they wrote since the heir last heard from it.
func TestPrimaryThatOthersHearIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		c.servers["a"].gone, c.heard = true, true
		p := promoterOf(c, "h1")
		p.Board.RecordConnectionFailure("db", "a", p.Board.Time(), connpooler.ErrNoRoute)
		steps(p, 12*time.Second)
		if len(c.steps) > 0 {
			t.Errorf("steps %q", c.steps)
		}
	})
}

// Guards against a process that hangs: its host goes on to take connections, so others
// reach the primary, but none gets an answer. The group would stay without a primary.
func TestHungPrimaryIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		c.servers["a"].gone, c.heard, c.hung = true, true, true
		p := promoterOf(c, "h1")
		p.Board.RecordConnectionFailure("db", "a", p.Board.Time(), connpooler.ErrNoRoute)
		steps(p, 8*time.Second)
		if len(c.steps) != 1 || !c.servers["b"].primary {
			t.Errorf("steps %q", c.steps)
		}
	})
}

// Guards against overload taken for death: after a loss of power the primary is at its
// limit of connections, or has no slot for a status. Replacing it would drop commits.
func TestOverloadedPrimaryIsKept(t *testing.T) {
	for _, cause := range []error{connpooler.ErrTooManyConnections, ErrCommandRefused} {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster()
			c.servers["a"].full = cause
			p := promoterOf(c, "h1")
			p.Board.RecordConnectionFailure("db", "a", p.Board.Time(), connpooler.ErrNoRoute)
			steps(p, 12*time.Second)
			if len(c.steps) > 0 {
				t.Errorf("%v: steps %q", cause, c.steps)
			}
		})
	}
}

// A cut leaves this host with the old primary alone, which has lost the lead to a server
// beyond the cut. Giving it back would drop all that was written there since.
func TestMinorityDoesNotPromote(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		c.servers["a"].primary = false
		c.servers["b"].gone, c.servers["c"].gone = true, true
		p := promoterOf(c, "h1")
		p.Board.Do("db", func(g *grouptracker.Group) { g.RecordNotLeading("a") })
		steps(p, 10*time.Second)
		if len(c.steps) > 0 {
			t.Errorf("steps %q", c.steps)
		}
		c.servers["c"].gone = false
		steps(p, 5*time.Second)
		if len(c.steps) != 1 {
			t.Errorf("steps %q once a majority answers", c.steps)
		}
	})
}

// Another host promotes and is gone while this one still asks the servers. What they said
// before mustn't decide any more.
func TestOldAnswersDecideNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		p := promoterOf(c, "h1")
		x, err := p.claim(t.Context())
		if _, err := c.PutClaim(t.Context(), "db", Claim{Holder: "h7", Server: "c"}); err != nil {
			t.Fatal(err)
		}
		if y, ok := p.win(t.Context(), x, err, "b", 1); ok {
			t.Errorf("claim %+v made by answers of before", y)
		}
	})
}

// Two hosts defer to a third that does nothing. The first to act must be let finish by
// the second, which has waited as long.
func TestDeferenceBeginsAnewWithEachClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := promoterOf(newCluster(), "h1")
		if !p.defers(t.Context(), Claim{Holder: "h9", Token: 4}, "b") {
			t.Error("a claim just found is overtaken")
		}
		time.Sleep(deference)
		if p.defers(t.Context(), Claim{Holder: "h9", Token: 4}, "b") {
			t.Error("a claim of which nothing comes is respected")
		}
		if !p.defers(t.Context(), Claim{Holder: "h8", Token: 7}, "b") {
			t.Error("a new claim is overtaken")
		}
	})
}

// drainPrimary has the platform say that the primary is to leave.
func drainPrimary(p *Promoter) {
	p.Board.ReplaceServers([]declarer.Server{{ID: "a", Group: "db", Primary: true, Draining: true}, {ID: "b", Group: "db"}, {ID: "c", Group: "db"}})
}

// The primary leaves as planned. Lines saved while the move is under way must not be
// dropped: it steps down first, and the heir gets all of its log.
func TestLeavingPrimaryStepsDownFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		p := promoterOf(c, "h1")
		drainPrimary(p)
		steps(p, 3*time.Second)
		want := []string{"demote a below 2", "promote b by h1 with 3 at length 10"}
		if !slices.Equal(c.steps, want) {
			t.Errorf("steps %q, want %q", c.steps, want)
		}
	})
}

// The primary leaves as planned, each commit is on one of two replicas before it is
// acknowledged, and the heir receives nothing any more. Promoted all the same, it would lack
// what the other replica has.
func TestHeirThatLacksSynchronousCommitsIsNotPromoted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		c.servers["b"].deaf, c.servers["c"].deaf = true, true
		p := promoterOf(c, "h1")
		p.Board.Configure(&declarer.Configuration{Version: 1, Groups: map[string]declarer.Group{"db": {Name: "db", SynchronousReplicas: 1}}})
		drainPrimary(p)
		steps(p, 2500*time.Millisecond)
		want := []string{"demote a below 2", "promote a by h1 with 9 at length 10"}
		if !slices.Equal(c.steps, want) {
			t.Errorf("steps %q, want %q: only the old one has every commit, and it isn't moved again at once", c.steps, want)
		}
	})
}

// The store makes the claim and its answer is lost. Taking it for not made would leave
// the group without a primary until another host tries.
func TestLostAnswerToClaimIsReadBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		c.lost = true
		p := promoterOf(c, "h1")
		x, ok := win(p, "b")
		if !ok || x.Token != 3 || p.held != x {
			t.Errorf("claim %+v %t, held %+v", x, ok, p.held)
		}
	})
}

// The store is away while a primary is lost. The host that holds the claim goes on with
// it, for one server only: a late order for another would bear the same token.
func TestHeldClaimServesWhileStoreIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		holder, other := promoterOf(c, "h1"), promoterOf(c, "h2")
		if _, err := holder.take(t.Context(), Claim{Holder: "h1"}); err != nil {
			t.Fatal(err)
		}
		c.away = true
		if _, ok := win(other, "b"); ok {
			t.Error("a host without a claim goes on")
		}
		if x, ok := win(holder, "b"); !ok || x.Token != 3 {
			t.Errorf("claim %+v %t", x, ok)
		}
		if x, ok := win(holder, "c"); ok {
			t.Errorf("the claim serves for a second server: %+v", x)
		}
	})
}

// A host has promoted once, and the next primary is lost together with the store. Writes
// would fail until the store is back if the claim served for the first server only.
func TestClaimIsRenewedForTheNextLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		c.servers["a"].gone = true
		p := promoterOf(c, "h1")
		p.Board.RecordConnectionFailure("db", "a", p.Board.Time(), connpooler.ErrNoRoute)
		steps(p, 5*time.Second)
		first := *c.claim
		if !c.servers["b"].primary || first.Server != "" {
			t.Fatalf("steps %q, claim %+v", c.steps, first)
		}
		c.away = true
		c.servers["a"].gone, c.servers["b"].gone = false, true
		p.Board.RecordConnectionFailure("db", "b", p.Board.Time(), connpooler.ErrNoRoute)
		steps(p, 5*time.Second)
		if len(c.steps) != 2 || c.servers["b"].primary || c.servers["a"].primary == c.servers["c"].primary {
			t.Errorf("steps %q", c.steps)
		}
	})
}

// A host renews its claim after another one has made its own. The other's must stand, and
// this host must not act on its old one any more.
func TestRenewalGivesWayToAnotherClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		p := promoterOf(c, "h1")
		if _, ok := win(p, "b"); !ok {
			t.Fatal("claim not made")
		}
		x := *c.claim
		x.Holder, x.Server = "h2", "c"
		if _, err := c.PutClaim(t.Context(), "db", x); err != nil {
			t.Fatal(err)
		}
		p.renew(t.Context())
		if c.claim.Holder != "h2" || p.held != (Claim{}) {
			t.Errorf("claim %+v, held %+v", c.claim, p.held)
		}
	})
}

// Another host holds the group's claim. It is let act first, as hosts that promote in
// turn take the lead from one server after the other; where nothing comes of it, or the
// holder has left, this host acts.
func TestHolderOfClaimActsFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		c.servers["a"].gone = true
		c.claim = &Claim{Holder: "h9", Token: 40}
		p := promoterOf(c, "h1")
		p.Board.RecordConnectionFailure("db", "a", p.Board.Time(), connpooler.ErrNoRoute)
		steps(p, deference)
		if len(c.steps) > 0 {
			t.Errorf("steps %q while the holder may act", c.steps)
		}
		steps(p, deference)
		if len(c.steps) != 1 || c.claim.Holder != "h1" {
			t.Errorf("steps %q, claim %+v", c.steps, c.claim)
		}
	})
}

// The holder of the claim is gone together with the primary.
func TestHolderThatIsGoneIsNotWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		c.claim = &Claim{Holder: "h7", Token: 40}
		p := promoterOf(c, "h1")
		if x, ok := win(p, "b"); !ok || x.Token <= 40 {
			t.Errorf("claim %+v %t", x, ok)
		}
	})
}

// A promotion is refused as fenced. Asking again with the same token would be refused
// again, and counts as a duty missed.
func TestFencedOrderIsNotRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		c.refuses = true
		p := promoterOf(c, "h1")
		began := time.Now()
		p.order(t.Context(), declarer.Server{ID: "b", Group: "db"}, Claim{Token: 3}, quiet)
		if time.Since(began) > 0 {
			t.Errorf("went on for %s", time.Since(began))
		}
	})
}

// A deployment gives a lease of three seconds. A second host that orders within it takes
// turns with the first, whatever it sees.
func TestLeaseIsRespected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := promoterOf(newCluster(), "h1")
		p.Lease = func() time.Duration { return 3 * time.Second }
		c := Claim{Holder: "h9", Server: "b", Token: 4}
		for range 15 {
			if !p.defers(t.Context(), c, "b") {
				t.Fatal("overtaken within the lease")
			}
			time.Sleep(200 * time.Millisecond)
		}
		time.Sleep(leaseSlack)
		if p.defers(t.Context(), c, "b") {
			t.Error("respected for longer than the lease")
		}
	})
}

// A group has no claim yet and several hosts have started. One of them makes it; the
// others find it.
func TestStandInClaimsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		var g sync.WaitGroup
		for _, h := range []string{"h1", "h2", "h3"} {
			p := promoterOf(c, h)
			g.Go(func() { p.claimUnclaimed(t.Context()) })
		}
		g.Wait()
		if c.claim == nil || c.claim.Token != 3 || c.claim.Server != "" {
			t.Errorf("claim %+v, want the first one", c.claim)
		}
	})
}
