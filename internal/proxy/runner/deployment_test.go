package runner

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/limit/drainer"
	"github.com/cuminwick/cuminwick/internal/proxy/blackboard"
	"github.com/cuminwick/cuminwick/internal/proxy/connpooler"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
	"github.com/cuminwick/cuminwick/internal/proxy/executor"
	"github.com/cuminwick/cuminwick/internal/proxy/lender"
)

var discardLog = &log.Logger{Handler: discard.New()}

// deployment simulates one database group behind many entry hosts, in virtual time.
type deployment struct {
	began   time.Time
	servers []*instance
	// limit is the maximum number of connections to a server.
	limit int

	mu sync.Mutex
	// lag is the delay after which a commit is visible on a replica.
	lag    time.Duration
	nodes  []*node
	random *rand.Rand
	// arrivals counts the statements that servers received, shed those that they refused because
	// their queue was full, and lagging those that they refused because they lacked the position.
	arrivals, shed, lagging int
}

// instance simulates one backend server with slots, a short queue and a limit of connections.
type instance struct {
	deployment *deployment
	declared   declarer.Server
	handshake  time.Duration

	mu sync.Mutex
	// unresponsive is set while the server answers nothing. Statements sent meanwhile are never
	// answered.
	unresponsive bool
	open         int
	slotEnds     []time.Time // when each occupied or queued slot becomes free, sorted
	commits      []time.Time // when each commit becomes visible here
}

const (
	slots       = 2
	serverQueue = 16
)

// occupySlot occupies a slot for d and returns when that ends, false if the queue is full. The
// caller holds the mutex.
func (s *instance) occupySlot(d time.Duration) (time.Time, bool) {
	now := time.Now()
	waiting := s.slotEnds[:0]
	for _, e := range s.slotEnds {
		if e.After(now) {
			waiting = append(waiting, e)
		}
	}
	s.slotEnds = waiting
	if len(s.slotEnds) >= slots+serverQueue {
		return now, false
	}
	start := now
	if len(s.slotEnds) >= slots {
		start = s.slotEnds[len(s.slotEnds)-slots]
	}
	end := start.Add(d)
	i := len(s.slotEnds)
	for i > 0 && s.slotEnds[i-1].After(end) {
		i--
	}
	s.slotEnds = append(s.slotEnds[:i], append([]time.Time{end}, s.slotEnds[i:]...)...)
	return end, true
}

// position returns the position of the last visible commit. The caller holds the mutex.
func (s *instance) position() marker.Mark {
	now := time.Now()
	n := len(s.commits)
	for n > 0 && s.commits[n-1].After(now) {
		n--
	}
	return marker.Mark{Term: 1, Position: marker.Position(n + 1)}
}

func (d *deployment) setLag(x time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lag = x
}

// commit makes a commit visible on the primary at once and on the replicas after the lag.
func (d *deployment) commit(at time.Time) {
	d.mu.Lock()
	lag := d.lag
	d.mu.Unlock()
	for _, s := range d.servers {
		visible := at
		if !s.declared.Primary {
			visible = at.Add(lag)
		}
		s.mu.Lock()
		if n := len(s.commits); n > 0 && s.commits[n-1].After(visible) {
			visible = s.commits[n-1]
		}
		s.commits = append(s.commits, visible)
		s.mu.Unlock()
	}
}

// Dial opens a connection to a server.
func (d *deployment) Dial(_ context.Context, x declarer.Server, _ string) (connpooler.Connection, marker.Mark, error) {
	for _, s := range d.servers {
		if s.declared.ID != x.ID {
			continue
		}
		s.mu.Lock()
		if s.unresponsive {
			s.mu.Unlock()
			time.Sleep(250 * time.Millisecond)
			return nil, marker.Mark{}, connpooler.ErrNoRoute
		}
		full := s.open >= d.limit
		if !full {
			s.open++
		}
		end, _ := s.occupySlot(s.handshake)
		m := s.position()
		s.mu.Unlock()
		time.Sleep(time.Until(end))
		if full {
			return nil, m, connpooler.ErrTooManyConnections
		}
		return &session{instance: s}, m, nil
	}
	return nil, marker.Mark{}, connpooler.ErrNoRoute
}

// session simulates a connection to a server.
type session struct {
	instance *instance
	answers  []answerAt
	closed   bool
	open     bool
	// stuck is set if the connection was used while its server was unresponsive. It is never
	// answered again.
	stuck bool
}

type answerAt struct {
	answer declarer.Answer
	at     time.Time
}

func (c *session) Send(r []declarer.Request, _ time.Time) error {
	if c.closed {
		return io.EOF
	}
	c.instance.mu.Lock()
	c.stuck = c.stuck || c.instance.unresponsive
	c.instance.mu.Unlock()
	for i := range r {
		c.answers = append(c.answers, c.run(&r[i]))
	}
	return nil
}

func (c *session) run(r *declarer.Request) answerAt {
	s := c.instance
	s.mu.Lock()
	x := answerAt{at: time.Now()}
	a := &x.answer
	if n := len(c.answers); n > 0 && c.answers[n-1].at.After(x.at) {
		x.at = c.answers[n-1].at
	}
	wrote := false
	switch {
	case r.ID != "":
		wrote = c.serve(r, &x)
	case r.Verb == declarer.VerbBegin && !s.declared.Primary:
		a.Code = declarer.CodeReadOnly
	case r.Verb == declarer.VerbBegin:
		c.open = true
	case r.Verb == declarer.VerbRollback:
		c.open = false
	}
	if c.open {
		a.State = declarer.StateTransaction
	}
	a.Position = s.position()
	s.mu.Unlock()
	if wrote {
		s.deployment.commit(x.at)
		a.Position.Position++
	}
	return x
}

// serve runs a caller's statement, whose text is READ or WRITE and its duration in microseconds. It
// reports whether the statement wrote.
func (c *session) serve(r *declarer.Request, x *answerAt) (wrote bool) {
	s := c.instance
	verb, rest, _ := strings.Cut(r.Text, " ")
	var us int
	_, _ = fmt.Sscan(rest, &us)
	s.deployment.mu.Lock()
	s.deployment.arrivals++
	s.deployment.mu.Unlock()
	switch {
	case verb == "WRITE" && !s.declared.Primary:
		x.answer.Code = declarer.CodeReadOnly
	case !s.position().Covers(r.RequiredPosition):
		x.answer.Code = declarer.CodeLagging
		s.deployment.mu.Lock()
		s.deployment.lagging++
		s.deployment.mu.Unlock()
	default:
		end, ok := s.occupySlot(time.Duration(us) * time.Microsecond)
		if !ok {
			x.answer.Code = declarer.CodeBusy
			s.deployment.mu.Lock()
			s.deployment.shed++
			s.deployment.mu.Unlock()
			return false
		}
		x.at = end
		return verb == "WRITE"
	}
	return false
}

func (c *session) Receive(a *declarer.Answer, deadline time.Time) error {
	if len(c.answers) == 0 || c.closed {
		return io.EOF
	}
	p := c.answers[0]
	if c.stuck || p.at.After(deadline) {
		time.Sleep(time.Until(deadline))
		return connpooler.ErrTimeout
	}
	time.Sleep(time.Until(p.at))
	c.answers = c.answers[1:]
	*a = p.answer
	return nil
}

func (c *session) PendingAnswers() int { return len(c.answers) }

func (c *session) Ended() bool { return c.closed }

func (c *session) Close() {
	c.instance.mu.Lock()
	defer c.instance.mu.Unlock()
	if !c.closed {
		c.closed = true
		c.instance.open--
	}
}

// node is one entry host of the deployment.
type node struct {
	host *Host
	lent drainer.Work
	// poweredOff is set once the host has lost power.
	poweredOff atomic.Bool
}

// newDeployment returns a deployment of three servers in three availability zones and the given
// number of hosts.
func newDeployment(hosts, limit int, seed uint64) *deployment {
	d := &deployment{began: time.Now(), limit: limit, lag: 90 * time.Millisecond, random: rand.New(rand.NewPCG(seed, 1))}
	for i := range 3 {
		x := declarer.Server{ID: fmt.Sprintf("i-%d", i), Group: "db", Address: "a", AvailabilityZone: fmt.Sprintf("z-%d", i), Slots: slots, Primary: i == 0, Revision: 1}
		d.servers = append(d.servers, &instance{deployment: d, declared: x, handshake: 12 * time.Millisecond})
	}
	for i := range hosts {
		d.nodes = append(d.nodes, d.node(i, hosts))
	}
	return d
}

// node returns host i of n, whose roster lists all hosts.
func (d *deployment) node(i, n int) *node {
	regions := map[string]string{"z-0": "r-0", "z-1": "r-0", "z-2": "r-1"}
	zone := fmt.Sprintf("z-%d", i%3)
	b := &blackboard.Board{Zone: zone, Region: regions[zone], Regions: regions, Now: func() time.Duration { return time.Since(d.began) + time.Hour }}
	route := func(name string, k declarer.RouteKind, stale, objective, timeout time.Duration) declarer.Route {
		return declarer.Route{Name: name, Database: name, Group: "db", Kind: k, MaximumStaleness: stale, Objective: objective, Timeout: timeout}
	}
	b.Configure(&declarer.Configuration{
		Version: 1,
		Routes: map[string]declarer.Route{
			"confirm":    route("confirm", declarer.KindPrimary, 0, 300*time.Millisecond, 800*time.Millisecond),
			"browse":     route("browse", declarer.KindBounded, 1500*time.Millisecond, 500*time.Millisecond, 1200*time.Millisecond),
			"reschedule": route("reschedule", declarer.KindReadYourWrites, 2500*time.Millisecond, 500*time.Millisecond, 800*time.Millisecond),
		},
		Groups: map[string]declarer.Group{"db": {Name: "db", MaximumConnections: d.limit}},
	})
	h := &Host{Name: fmt.Sprintf("h-%02d", i), Board: b, Log: discardLog}
	h.roster.self, h.roster.regions = declarer.Host{Name: h.Name}, regions
	var l []declarer.Host
	for k := range n {
		l = append(l, d.listed(k))
	}
	h.roster.reset(l)
	x := &node{host: h}
	h.pools = pools{self: h.Name, board: b, dialer: d, observer: h, roster: &h.roster, dialLink: d.link}
	h.observer = executor.Observer{Board: b, Pools: &h.pools}
	var s []declarer.Server
	for _, y := range d.servers {
		s = append(s, y.declared)
	}
	h.pools.setServers(s)
	b.ReplaceServers(s)
	return x
}

func (d *deployment) find(name string) *node {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, x := range d.nodes {
		if x.host.Name == name {
			return x
		}
	}
	return nil
}

// listed returns the platform's entry of host i.
func (d *deployment) listed(i int) declarer.Host {
	n := fmt.Sprintf("h-%02d", i)
	return declarer.Host{Name: n, Address: n, AvailabilityZone: fmt.Sprintf("z-%d", i%3)}
}

// rosterDelay is how long the rosters of restarted hosts are empty.
const rosterDelay = 3 * time.Second

// messageDelay is the one-way delay of a message between hosts.
const messageDelay = time.Millisecond

// link opens a link to the host that owns a server's connections.
func (d *deployment) link(_ context.Context, owner string, s declarer.Server) (connpooler.Connection, error) {
	time.Sleep(2 * messageDelay)
	x := d.find(owner)
	if x == nil || x.poweredOff.Load() {
		return nil, connpooler.ErrNoRoute
	}
	c := &link{owner: x, events: make(chan lender.Event, 64), answers: make(chan declarer.Answer, 256)}
	l := &lender.Link{Borrower: &borrower{link: c}, Pool: func(b bool) *connpooler.Pool { return x.host.pools.ownPool(s.ID, b) }, Ranked: x.host.Board.Ranked, OnAnswer: func() {}, Work: &x.lent, IdleTransactionTimeout: x.host.Board.IdleTransactionTimeout,
		Position: func(maximum time.Duration) (marker.Mark, time.Duration, bool) {
			return x.host.sharePosition(s.ID, maximum)
		}}
	go l.Run()
	return c, nil
}

// link is the borrower's end of a link between hosts.
type link struct {
	owner       *node
	events      chan lender.Event
	answers     chan declarer.Answer
	pendingLend *lender.Event
	pending     int
	closed      bool
}

func (l *link) Borrow(a connpooler.AcquireRequest) {
	l.pendingLend = &lender.Event{Kind: lender.KindLend, Wait: time.Until(a.Deadline) - 20*messageDelay, Class: a.Class, Importance: a.Importance, Team: a.Team}
	if !a.Objective.IsZero() {
		l.pendingLend.Objective = max(time.Millisecond, time.Until(a.Objective)-20*messageDelay)
	}
}

func (l *link) Return() error {
	if l.pendingLend == nil {
		l.events <- lender.Event{Kind: lender.KindReturn}
	}
	l.pendingLend = nil
	return nil
}

func (l *link) Send(r []declarer.Request, deadline time.Time) error {
	if r[0].Verb == declarer.VerbPosition {
		l.pendingLend = nil
	}
	if l.pendingLend != nil {
		l.events <- *l.pendingLend
		l.pendingLend = nil
	}
	l.pending += len(r)
	l.events <- lender.Event{Kind: lender.KindStatements, Wait: time.Until(deadline), Requests: append([]declarer.Request(nil), r...)}
	return nil
}

func (l *link) Receive(a *declarer.Answer, deadline time.Time) error {
	t := time.NewTimer(time.Until(deadline))
	defer t.Stop()
	select {
	case x, ok := <-l.answers:
		if !ok {
			return io.EOF
		}
		l.pending--
		*a = x
		return nil
	case <-t.C:
		return connpooler.ErrTimeout
	}
}

func (l *link) PendingAnswers() int { return l.pending }

// Ended also reports a restart of the owner, which keep-alive probes would detect.
func (l *link) Ended() bool { return l.closed || l.owner.poweredOff.Load() }

func (l *link) Close() {
	if !l.closed {
		l.closed = true
		close(l.events)
	}
}

// borrower is the owner's end of a link.
type borrower struct {
	link *link
	out  []declarer.Answer
}

func (b *borrower) Handshake(time.Time) error { return nil }

func (b *borrower) Next(time.Time) (lender.Event, error) {
	e, ok := <-b.link.events
	if !ok || b.link.owner.poweredOff.Load() {
		return e, io.EOF
	}
	if e.Kind == lender.KindLend {
		time.Sleep(messageDelay)
	}
	return e, nil
}

func (b *borrower) Answer(a *declarer.Answer) {
	x := *a
	x.Body = nil
	b.out = append(b.out, x)
}

func (b *borrower) Done(s declarer.State) { b.out = append(b.out, declarer.Answer{State: s}) }

func (b *borrower) Position(m marker.Mark, age time.Duration) {
	b.out = append(b.out, declarer.Answer{Position: m, Age: age})
}

func (b *borrower) Refuse(r lender.Refusal) {
	x := declarer.Answer{Code: declarer.CodeNoLease, Detail: r.Message, RetryAfter: r.RetryAfter, Forecast: r.Forecast}
	if r.Unreachable {
		x.Code = declarer.CodeServerUnreachable
	}
	b.out = append(b.out, x)
}

func (b *borrower) Flush() error {
	time.Sleep(messageDelay)
	for _, x := range b.out {
		b.link.answers <- x
	}
	b.out = b.out[:0]
	return nil
}

// powerCycleAll powers all hosts off and starts them again after down. The servers count the
// connections that were open as such until linger has passed.
func (d *deployment) powerCycleAll(down, linger time.Duration) {
	d.mu.Lock()
	old := d.nodes
	d.nodes = nil
	d.mu.Unlock()
	for _, x := range old {
		x.poweredOff.Store(true)
	}
	time.Sleep(down)
	d.mu.Lock()
	for i := range old {
		x := d.node(i, len(old))
		hosts := x.host.roster.others()
		x.host.roster.reset(nil)
		time.AfterFunc(rosterDelay, func() { x.host.roster.reset(append(hosts, d.listed(i))) })
		d.nodes = append(d.nodes, x)
	}
	d.mu.Unlock()
	time.Sleep(linger - down)
	for _, x := range old {
		x.host.pools.mu.Lock()
		for _, p := range x.host.pools.pools {
			p.Close()
		}
		x.host.pools.mu.Unlock()
	}
}

// restart power cycles one host. The others' rosters still list it. It does nothing while all hosts
// are powered off.
func (d *deployment) restart(draw uint64) {
	d.mu.Lock()
	if len(d.nodes) == 0 {
		d.mu.Unlock()
		return
	}
	i := int(draw % uint64(len(d.nodes)))
	old := d.nodes[i]
	old.poweredOff.Store(true)
	d.nodes[i] = d.node(i, len(d.nodes))
	d.mu.Unlock()
	time.Sleep(3 * time.Second)
	old.host.pools.mu.Lock()
	defer old.host.pools.mu.Unlock()
	for _, p := range old.host.pools.pools {
		p.Close()
	}
}

// makeUnresponsive makes the server answer nothing for d.
func (s *instance) makeUnresponsive(d time.Duration) {
	s.mu.Lock()
	s.unresponsive = true
	s.mu.Unlock()
	time.Sleep(d)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unresponsive = false
}

// trim closes unused connections of all hosts at intervals until ctx ends, as Host.Run does.
func (d *deployment) trim(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(trimInterval)
		d.mu.Lock()
		l := append([]*node(nil), d.nodes...)
		d.mu.Unlock()
		for _, x := range l {
			x.host.pools.trim(time.Now())
		}
	}
}

var errNoHost = errors.New("no host accepts callers")
