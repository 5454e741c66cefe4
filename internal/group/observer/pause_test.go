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
	step        = 10 * ms
	lookEvery   = 20 * ms
	pollEvery   = 100 * ms
	pollAgain   = 50 * ms
	pollTimeout = 150 * ms
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

// limited are the settings with the limits of what a pause may prove.
func limited() Settings {
	c := settings
	c.MaximumViewInterval, c.MaximumAnswerInterval, c.MaximumEvidenceAge = 50*ms, 200*ms, 400*ms
	return c
}

// server is a fake of a backend server; db-1 leads.
type server struct {
	// until is the end of its pause, deaf when it begins to read its stream again.
	until, deaf, heard time.Duration
	// unread says that its primary sent what it hasn't read.
	unread bool
	down   bool
}

// poll is a call to a server.
type poll struct {
	begun, arrives, ends time.Duration
	open                 bool
	// answer is what the server said, at the time given by said.
	said   time.Duration
	status controller.Status
}

// rig is one entry host that watches three servers in virtual time.
type rig struct {
	settings Settings
	rng      *rand.Rand
	loss     float64
	now      time.Duration
	until    time.Duration
	servers  [3]server
	polls    [3]poll
	seen     []Server
	view     View
}

func newRig(c Settings, seed uint64) *rig {
	r := &rig{settings: c, rng: rand.New(rand.NewPCG(seed, 0))}
	for _, n := range []string{"db-1", "db-2", "db-3"} {
		r.seen = append(r.seen, Server{Name: n})
	}
	return r
}

func (r *rig) runUntil(t time.Duration) {
	for ; r.now < t; r.now += step {
		for i := range r.servers {
			r.beat(i)
			r.ask(i)
		}
		if r.now >= r.until && r.now%lookEvery == 0 {
			r.look()
		}
	}
}

// beat lets a replica hear its primary.
func (r *rig) beat(i int) {
	p, s := &r.servers[0], &r.servers[i]
	if !p.down && r.now >= p.until && r.rng.Float64() >= r.loss {
		s.unread = true
	}
	if s.unread && r.now >= s.deaf {
		s.heard, s.unread = r.now, false
	}
}

// ask carries the polls of server i on. The host neither begins nor ends one
// while it is paused; the server answers one that came during its own pause.
func (r *rig) ask(i int) {
	p, s := &r.polls[i], &r.servers[i]
	if p.open && p.said == 0 && r.now >= p.arrives && r.now >= s.until && !s.down {
		p.said, p.status = r.now+time.Duration(1+r.rng.IntN(10))*ms, r.status(i)
	}
	if r.now < r.until {
		return
	}
	if !p.open && r.now >= p.begun {
		*p = poll{begun: r.now, arrives: r.now + 5*ms, ends: r.now + pollTimeout, open: true}
		const ways = 2 // the call's and the answer's
		if r.rng.Float64() < ways*r.loss {
			p.arrives = time.Hour
		}
	}
	if p.open && (p.said != 0 && r.now >= p.said || r.now >= p.ends) {
		r.fold(i)
	}
}

func (r *rig) status(i int) controller.Status {
	t := controller.Status{Role: controller.RoleReplica, Term: 1, Last: marker.Mark{Term: 1, Position: 9}, Following: "db-1", SinceHeard: r.now - r.servers[i].heard}
	if i == 0 {
		t.Role, t.Following, t.SinceHeard = controller.RolePrimary, "", 0
	}
	return t
}

func (r *rig) fold(i int) {
	p, o := &r.polls[i], &r.seen[i].Observation
	p.open = false
	if p.said != 0 && p.said <= p.ends {
		*o = Observation{Status: p.status, Answered: true, PolledAt: p.begun}
		p.begun = r.now + pollEvery
	} else {
		o.Failures++
		p.begun = r.now + pollAgain
	}
	r.look()
}

func (r *rig) look() {
	r.view = Observe(r.now, r.settings, slices.Clone(r.seen), nil, r.view)
}

// pause is a time for which some of the host and the servers stand still.
type pause struct {
	Host, First, Second bool
	// Primary lets the primary stand still for 200 ms at most.
	Primary bool
	Length  time.Duration
	// Deaf is how much later the replicas read their streams than they answer.
	Deaf time.Duration
	// Offset is when in its second the pause begins.
	Offset time.Duration
}

var pauses = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) pause {
	b := rapid.Bool()
	return pause{
		Host: b.Draw(t, "host"), First: b.Draw(t, "first"), Second: b.Draw(t, "second"), Primary: b.Draw(t, "primary"),
		Length: time.Duration(rapid.IntRange(20, 90).Draw(t, "length")) * step,
		Deaf:   time.Duration(rapid.IntRange(0, 8).Draw(t, "deaf")) * step,
		Offset: time.Duration(rapid.IntRange(0, 9).Draw(t, "offset")) * step,
	}
}), 60, 60)

func (r *rig) pause(p pause) {
	end := r.now + p.Length
	if p.Host {
		r.until = end
	}
	for i, on := range []bool{p.Primary, p.First, p.Second} {
		if on {
			r.servers[i].until, r.servers[i].deaf = end, end+p.Deaf
		}
	}
	if p.Primary {
		r.servers[0].until = r.now + min(p.Length, 200*ms)
	}
}

// needless returns the suspicions of a primary that is well, over a minute.
func needless(c Settings, seed uint64, l []pause) int {
	r := newRig(c, seed)
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

// The host and the servers stand still for 0.2 to 0.9 s each second, one alone
// or several at once, as on a machine that is short of processors, and one message
// in twenty is lost. The primary is well but for pauses of 200 ms. Replacing it
// would stop everybody's writes and leave open ones unknown.
func TestPausesAreNoEvidence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed, l := rapid.Uint64().Draw(t, "seed"), pauses.Draw(t, "pauses")
		if n := needless(limited(), seed, l); n > 0 {
			t.Fatalf("%d looks suspected a primary that is well", n)
		}
	})
}

// The limits must be what keeps from that, or the test above shows nothing.
func TestPausesWereEvidenceWithoutLimits(t *testing.T) {
	n := 0
	for seed := range 20 {
		n += needless(settings, uint64(seed), pauses.Example(seed))
	}
	if n == 0 {
		t.Error("no suspicion without the limits")
	}
}

// suspectedAfter returns how long after its loss at the given time the primary is suspected.
func suspectedAfter(c Settings, seed uint64, loss float64, at time.Duration) time.Duration {
	r := newRig(c, seed)
	r.loss = loss
	r.runUntil(at)
	r.servers[0].down = true
	for !r.view.Suspected() && r.now < at+10*time.Second {
		r.runUntil(r.now + step)
	}
	return r.now - at
}

// The primary is really lost. Writes stand still until it is suspected, so the
// limits may not make that later where all messages arrive, and only by a lost
// poll or two where one in twenty doesn't.
func TestRealLossIsSuspectedAsSoonAsWithoutLimits(t *testing.T) {
	const lostPoll = pollTimeout + pollAgain
	var before, after []time.Duration
	for seed := range uint64(200) {
		at := 3*time.Second + time.Duration(seed)*7*ms
		a, b := suspectedAfter(settings, seed, 0, at), suspectedAfter(limited(), seed, 0, at)
		if b > a {
			t.Errorf("seed %d: suspected after %v, without limits after %v", seed, b, a)
		}
		before = append(before, suspectedAfter(settings, seed, 0.05, at))
		after = append(after, suspectedAfter(limited(), seed, 0.05, at))
	}
	slices.Sort(before)
	slices.Sort(after)
	n := len(after)
	t.Logf("with lost messages, median and worst %v %v, without limits %v %v", after[n/2], after[n-1], before[n/2], before[n-1])
	if after[n-1] > before[n-1]+lostPoll || after[n/2] > before[n/2]+lookEvery {
		t.Error("suspected later than by a lost poll with lost messages")
	}
}

// An entry host stands still while another one promotes, and goes on with the
// picture of a group without a primary. Were the time of its pause counted, it
// would raise the term again and interrupt the writes that have just gone on.
func TestPausedHostSeesNoLastingLackOfPrimary(t *testing.T) {
	fenced := controller.Status{Role: controller.RoleReplica, Term: 2, Last: marker.Mark{Term: 1, Position: 9}}
	for _, c := range []Settings{settings, limited()} {
		var v View
		for _, at := range []time.Duration{9990 * ms, 10 * time.Second, 10*time.Second + 300*ms} {
			s := servers([3]Observation{seen(fenced, 0, 0), seen(fenced, 0, 0), seen(fenced, 0, 0)}, 10*time.Second)
			v = Observe(at, c, s, nil, v)
		}
		if v.Suspected() != (c.MaximumViewInterval == 0) {
			t.Errorf("limit %v: suspicion %q", c.MaximumViewInterval, v.Reason)
		}
	}
}

// All calls of a host to a new primary are lost, while its replicas hear it: the
// fault is the host's own, and promoting would interrupt everybody's writes.
func TestPrimaryThatOnlyReplicasHearIsNoLackOfOne(t *testing.T) {
	for _, heard := range []time.Duration{20 * ms, settings.SuspicionTimeout} {
		old := controller.Status{Role: controller.RoleFenced, Term: 1, Last: marker.Mark{Term: 1, Position: 9}}
		follows := controller.Status{Role: controller.RoleReplica, Term: 2, Last: marker.Mark{Term: 2, Position: 10}, Following: "db-1", SinceHeard: heard}
		var v View
		for _, at := range []time.Duration{9 * time.Second, 10 * time.Second} {
			v = Observe(at, settings, servers([3]Observation{seen(old, 2*time.Second, 9), seen(follows, 0, 0), seen(follows, 0, 0)}, at), nil, v)
		}
		if v.Suspected() != (heard >= settings.SuspicionTimeout) {
			t.Errorf("heard %v ago: suspicion %q", heard, v.Reason)
		}
	}
}
