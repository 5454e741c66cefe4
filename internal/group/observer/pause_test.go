package observer

import (
	"flag"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cuminwick/cuminwick/internal/backend/controller"
	"github.com/cuminwick/cuminwick/internal/group/marker"
)

const (
	step            = 10 * ms
	observeInterval = 20 * ms
	pollInterval    = 100 * ms
	retryInterval   = 50 * ms
	pollTimeout     = 150 * ms
)

func TestMain(m *testing.M) {
	flag.Parse()
	for n, v := range map[string]string{"rapid.seed": "1", "rapid.checks": "200"} {
		if err := flag.Set(n, v); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// limitedSettings are the settings with limits on the time that counts as evidence.
func limitedSettings() Settings {
	c := settings
	c.MaximumViewInterval, c.MaximumAnswerInterval, c.MaximumEvidenceAge = 50*ms, 200*ms, 400*ms
	return c
}

// server is a simulated backend server; db-1 is the primary.
type server struct {
	// pausedUntil is the end of its pause, unreadUntil when it reads its stream again, and
	// receivedAt when it last received from its primary.
	pausedUntil, unreadUntil, receivedAt time.Duration
	// unread reports whether its primary has sent data that it has not read.
	unread bool
	down   bool
}

// poll is a call to a server.
type poll struct {
	begun, arrives, ends time.Duration
	open                 bool
	// status is the answer, and answeredAt the time at which it reaches the host.
	answeredAt time.Duration
	status     controller.Status
}

// simulation is one entry host that observes three servers in virtual time.
type simulation struct {
	settings Settings
	rng      *rand.Rand
	// loss is the share of messages that are lost.
	loss float64
	now  time.Duration
	// pausedUntil is the end of the host's pause.
	pausedUntil time.Duration
	servers     [3]server
	polls       [3]poll
	observed    []Server
	view        View
}

func newSimulation(c Settings, seed uint64) *simulation {
	r := &simulation{settings: c, rng: rand.New(rand.NewPCG(seed, 0))}
	for _, n := range []string{"db-1", "db-2", "db-3"} {
		r.observed = append(r.observed, Server{Name: n})
	}
	return r
}

func (r *simulation) runUntil(t time.Duration) {
	for ; r.now < t; r.now += step {
		for i := range r.servers {
			r.replicate(i)
			r.poll(i)
		}
		if r.now >= r.pausedUntil && r.now%observeInterval == 0 {
			r.observe()
		}
	}
}

// replicate sends from the primary to server i, which reads it unless it is paused.
func (r *simulation) replicate(i int) {
	p, s := &r.servers[0], &r.servers[i]
	if !p.down && r.now >= p.pausedUntil && r.rng.Float64() >= r.loss {
		s.unread = true
	}
	if s.unread && r.now >= s.unreadUntil {
		s.receivedAt, s.unread = r.now, false
	}
}

// poll advances the polls of server i. The host neither begins nor ends a poll while it is paused;
// a paused server answers a poll after its pause.
func (r *simulation) poll(i int) {
	p, s := &r.polls[i], &r.servers[i]
	if p.open && p.answeredAt == 0 && r.now >= p.arrives && r.now >= s.pausedUntil && !s.down {
		p.answeredAt, p.status = r.now+time.Duration(1+r.rng.IntN(10))*ms, r.status(i)
	}
	if r.now < r.pausedUntil {
		return
	}
	if !p.open && r.now >= p.begun {
		*p = poll{begun: r.now, arrives: r.now + 5*ms, ends: r.now + pollTimeout, open: true}
		const messages = 2 // the call and its answer
		if r.rng.Float64() < messages*r.loss {
			p.arrives = time.Hour
		}
	}
	if p.open && (p.answeredAt != 0 && r.now >= p.answeredAt || r.now >= p.ends) {
		r.endPoll(i)
	}
}

func (r *simulation) status(i int) controller.Status {
	t := controller.Status{Role: controller.RoleReplica, Term: 1, Last: marker.Mark{Term: 1, Position: 9}, Following: "db-1", SinceLastContact: r.now - r.servers[i].receivedAt}
	if i == 0 {
		t.Role, t.Following, t.SinceLastContact = controller.RolePrimary, "", 0
	}
	return t
}

func (r *simulation) endPoll(i int) {
	p, o := &r.polls[i], &r.observed[i].Observation
	p.open = false
	if p.answeredAt != 0 && p.answeredAt <= p.ends {
		*o = Observation{Status: p.status, Answered: true, PolledAt: p.begun}
		p.begun = r.now + pollInterval
	} else {
		o.Failures++
		p.begun = r.now + retryInterval
	}
	r.observe()
}

func (r *simulation) observe() {
	r.view = Observe(r.now, r.settings, slices.Clone(r.observed), nil, r.view)
}

// pause is a pause of some of the host and the servers.
type pause struct {
	Host, First, Second bool
	// Primary pauses the primary too, for 200 ms at most.
	Primary bool
	Length  time.Duration
	// ReadDelay is how long after the pause the replicas still answer without reading their streams.
	ReadDelay time.Duration
	// Offset is the start of the pause within its second.
	Offset time.Duration
}

var pauses = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) pause {
	b := rapid.Bool()
	return pause{
		Host: b.Draw(t, "host"), First: b.Draw(t, "first"), Second: b.Draw(t, "second"), Primary: b.Draw(t, "primary"),
		Length:    time.Duration(rapid.IntRange(20, 90).Draw(t, "length")) * step,
		ReadDelay: time.Duration(rapid.IntRange(0, 8).Draw(t, "deaf")) * step,
		Offset:    time.Duration(rapid.IntRange(0, 9).Draw(t, "offset")) * step,
	}
}), 60, 60)

func (r *simulation) pause(p pause) {
	end := r.now + p.Length
	if p.Host {
		r.pausedUntil = end
	}
	for i, on := range []bool{p.Primary, p.First, p.Second} {
		if on {
			r.servers[i].pausedUntil, r.servers[i].unreadUntil = end, end+p.ReadDelay
		}
	}
	if p.Primary {
		r.servers[0].pausedUntil = r.now + min(p.Length, 200*ms)
	}
}

// falseSuspicions counts the steps of one minute at which a working primary is suspected.
func falseSuspicions(c Settings, seed uint64, l []pause) int {
	r := newSimulation(c, seed)
	r.loss = 0.05
	n := 0
	for i, p := range l {
		r.runUntil(time.Duration(i)*time.Second + p.Offset)
		r.pause(p)
		for end := time.Duration(i+1) * time.Second; r.now < end; {
			r.runUntil(r.now + step)
			if r.view.Suspected() {
				n++
			}
		}
	}
	return n
}

// Guards against the replacement of a working primary, which interrupts all writes and leaves the
// outcome of those in flight unknown. On a machine that is short of processors, the host and the
// servers are paused for 0.2 to 0.9 s in each second, alone or several at once, and one message in
// twenty is lost. The primary itself is paused for 200 ms at most.
func TestPausesCauseNoSuspicion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed, l := rapid.Uint64().Draw(t, "seed"), pauses.Draw(t, "pauses")
		if n := falseSuspicions(limitedSettings(), seed, l); n > 0 {
			t.Fatalf("a working primary was suspected at %d steps", n)
		}
	})
}

// Guards against a simulation in which TestPausesCauseNoSuspicion passes without the limits.
func TestPausesCauseSuspicionWithoutLimits(t *testing.T) {
	n := 0
	for seed := range 20 {
		n += falseSuspicions(settings, uint64(seed), pauses.Example(seed))
	}
	if n == 0 {
		t.Error("no suspicion without the limits")
	}
}

// suspectedAfter returns how long after its failure at the given time the primary is suspected.
func suspectedAfter(c Settings, seed uint64, loss float64, at time.Duration) time.Duration {
	r := newSimulation(c, seed)
	r.loss = loss
	r.runUntil(at)
	r.servers[0].down = true
	for !r.view.Suspected() && r.now < at+10*time.Second {
		r.runUntil(r.now + step)
	}
	return r.now - at
}

// Guards against limits that delay the suspicion of a failed primary, during which no write
// proceeds. Where all messages arrive, the limits may add no delay; where one in twenty is lost,
// they may add only the time of a lost poll or two.
func TestRealLossIsSuspectedAsSoonAsWithoutLimits(t *testing.T) {
	const lostPoll = pollTimeout + retryInterval
	var before, after []time.Duration
	for seed := range uint64(200) {
		at := 3*time.Second + time.Duration(seed)*7*ms
		a, b := suspectedAfter(settings, seed, 0, at), suspectedAfter(limitedSettings(), seed, 0, at)
		if b > a {
			t.Errorf("seed %d: suspected after %v, without limits after %v", seed, b, a)
		}
		before = append(before, suspectedAfter(settings, seed, 0.05, at))
		after = append(after, suspectedAfter(limitedSettings(), seed, 0.05, at))
	}
	slices.Sort(before)
	slices.Sort(after)
	n := len(after)
	t.Logf("with lost messages, median and worst %v %v, without limits %v %v", after[n/2], after[n-1], before[n/2], before[n-1])
	if after[n-1] > before[n-1]+lostPoll || after[n/2] > before[n/2]+observeInterval {
		t.Error("with lost messages: suspected later by more than a lost poll")
	}
}

// Guards against a needless second promotion: an entry host is paused while another one promotes,
// and resumes with a view of a group without a primary. If the pause counted, it would raise the
// term again and interrupt the writes that have just resumed.
func TestPauseOfHostDoesNotCountAsMissingPrimary(t *testing.T) {
	fenced := controller.Status{Role: controller.RoleReplica, Term: 2, Last: marker.Mark{Term: 1, Position: 9}}
	for _, c := range []Settings{settings, limitedSettings()} {
		var v View
		for _, at := range []time.Duration{9990 * ms, 10 * time.Second, 10*time.Second + 300*ms} {
			s := servers([3]Observation{observed(fenced, 0, 0), observed(fenced, 0, 0), observed(fenced, 0, 0)}, 10*time.Second)
			v = Observe(at, c, s, nil, v)
		}
		if v.Suspected() != (c.MaximumViewInterval == 0) {
			t.Errorf("limit %v: suspicion %q", c.MaximumViewInterval, v.Reason)
		}
	}
}

// Guards against the replacement of a working new primary, which interrupts all writes: all calls of
// one host to the new primary are lost while the replicas receive from it, so the fault is on that
// host's side.
func TestPrimaryReachedOnlyByReplicasIsNotMissing(t *testing.T) {
	for _, receivedAgo := range []time.Duration{20 * ms, settings.SuspicionTimeout} {
		old := controller.Status{Role: controller.RoleFenced, Term: 1, Last: marker.Mark{Term: 1, Position: 9}}
		follows := controller.Status{Role: controller.RoleReplica, Term: 2, Last: marker.Mark{Term: 2, Position: 10}, Following: "db-1", SinceLastContact: receivedAgo}
		var v View
		for _, at := range []time.Duration{9 * time.Second, 10 * time.Second} {
			v = Observe(at, settings, servers([3]Observation{observed(old, 2*time.Second, 9), observed(follows, 0, 0), observed(follows, 0, 0)}, at), nil, v)
		}
		if v.Suspected() != (receivedAgo >= settings.SuspicionTimeout) {
			t.Errorf("replicas received %v ago: suspicion %q", receivedAgo, v.Reason)
		}
	}
}
