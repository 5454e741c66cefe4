package chooser

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/cuminwick/cuminwick/internal/backend/controller"
	"github.com/cuminwick/cuminwick/internal/config/declarer"
	"github.com/cuminwick/cuminwick/internal/group/marker"
)

func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.nofailfile", "true")
	flag.Set("rapid.checks", "500")
	os.Exit(m.Run())
}

const (
	ms  = time.Millisecond
	now = time.Hour
)

// group returns a primary, a replica in the host's zone and one in the other region, all at the mark
// 2/100.
func group() []Candidate {
	at := marker.Mark{Term: 2, Position: 100}
	s := Candidate{Last: at, Observed: now, CatchUpRate: 1000, Slots: 2, ServiceTime: 4 * ms, RoundTrip: 2 * ms}
	p, own, far := s, s, s
	p.Name, p.Role, p.Confirmed, p.RoundTrip = "primary", controller.RolePrimary, true, 4*ms
	own.Name, own.Role = "own", controller.RoleReplica
	far.Name, far.Role, far.OtherRegion, far.RoundTrip = "far", controller.RoleReplica, true, 18*ms
	return []Candidate{p, own, far}
}

func mark(term marker.Term, p marker.Position) marker.Mark {
	return marker.Mark{Term: term, Position: p}
}

func TestChoose(t *testing.T) {
	fresh := Request{HasMark: true, HasReadIndex: true, ReadIndex: mark(2, 100)}
	withinAge := Request{HasMark: true, StaleAllowed: true, HasAgeMark: true, AgeMark: mark(2, 50)}
	tests := []struct {
		name   string
		q      Request
		change func(l []Candidate)
		want   string
		why    Reason
		wait   bool
		age    bool
	}{
		{name: "write", q: Request{Write: true}, want: "primary", why: ReasonWrite},
		{name: "write without primary", q: Request{Write: true}, why: ReasonNoPrimary,
			change: func(l []Candidate) { l[0].Confirmed = false }},
		{name: "write at a primary that starts to leave", q: Request{Write: true}, want: "primary", why: ReasonWrite,
			change: func(l []Candidate) { l[0].Leaving, l[0].LeavingSince = true, now-time.Second }},
		{name: "write at a primary that has been leaving for the grace time", q: Request{Write: true}, why: ReasonNoPrimary,
			change: func(l []Candidate) { l[0].Leaving, l[0].LeavingSince = true, now-2*time.Second }},
		{name: "fresh read", q: fresh, want: "own", why: ReasonReadIndex},
		{name: "fresh read waits a little", q: fresh, want: "own", why: ReasonReadIndex, wait: true,
			change: func(l []Candidate) { l[1].Last.Position = 95 }},
		{name: "lag observed a while ago has been caught up", q: fresh, want: "own", why: ReasonReadIndex, wait: true,
			change: func(l []Candidate) { l[1].Last.Position, l[1].Observed = 0, now-99*ms }},
		{name: "usual lag above the primary's cost", q: fresh, want: "primary", why: ReasonPrimaryFaster,
			change: func(l []Candidate) { l[1].Last.Position, l[1].Lag = 99, 30*ms }},
		{name: "far behind", q: fresh, want: "primary", why: ReasonPrimaryFaster,
			change: func(l []Candidate) { l[1].Last.Position = 10 }},
		{name: "all replicas stopped", q: fresh, want: "primary", why: ReasonOnlyPrimary,
			change: func(l []Candidate) { l[1].Last.Position, l[2].Last.Term, l[1].CatchUpRate = 99, 1, 0 }},
		{name: "own replica leaving, primary busy", q: fresh, want: "far", why: ReasonReadIndex,
			change: func(l []Candidate) { l[1].Leaving, l[0].Busy, l[0].Queued = true, 2, 20 }},
		{name: "queue at the own replica", q: fresh, want: "primary", why: ReasonPrimaryFaster,
			change: func(l []Candidate) { l[1].Busy, l[1].Queued = 2, 20 }},
		{name: "read within an age at a replica far behind", q: withinAge, want: "own", why: ReasonWithinAge,
			change: func(l []Candidate) { l[1].Last.Position = 50 }},
		{name: "read within an age covers the session's mark", want: "primary", why: ReasonOnlyPrimary,
			q:      Request{Mark: mark(2, 100), HasMark: true, StaleAllowed: true, HasAgeMark: true, AgeMark: mark(2, 50)},
			change: func(l []Candidate) { l[1].Last.Position, l[2].Last.Position = 49, 49 }},
		{name: "read within an age of a new session needs a read index", why: ReasonNoFreshness,
			q: Request{StaleAllowed: true, HasAgeMark: true, AgeMark: mark(2, 50)}},
		{name: "cut off with a mark", q: Request{HasMark: true, Mark: mark(2, 100)}, want: "own", why: ReasonUnconfirmedMark, age: true,
			change: func(l []Candidate) { l[0].Confirmed = false }},
		{name: "cut off with a mark that no server covers", q: Request{HasMark: true, Mark: mark(3, 1)}, why: ReasonNoServer,
			change: func(l []Candidate) { l[0].Confirmed = false }},
		{name: "cut off without a mark", q: Request{}, why: ReasonNoFreshness},
		{name: "cut off, rule serves", q: Request{WhenUnconfirmed: declarer.Serve}, want: "own", why: ReasonUnconfirmedServe, age: true},
		{name: "cut off, rule refuses", q: Request{HasMark: true, WhenUnconfirmed: declarer.Refuse}, why: ReasonNoFreshness},
		{name: "cut off, age mark missing", q: Request{HasMark: true, StaleAllowed: true}, why: ReasonNoFreshness},
		{name: "superseded primary is not read", q: fresh, why: ReasonNoServer,
			change: func(l []Candidate) {
				l[0].Confirmed, l[1].Unreachable, l[2].Unreachable = false, true, true
			}},
		{name: "refused before", q: Request{HasMark: true, HasReadIndex: true, Excluded: 1 << 1}, want: "primary", why: ReasonPrimaryFaster},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := group()
			if tt.change != nil {
				tt.change(l)
			}
			tt.q.Now = now
			c := Chooser{PrimaryPenalty: 10 * ms, LinkPenalty: 20 * ms}
			d := c.Choose(&tt.q, l)
			got := ""
			if d.Index >= 0 {
				got = l[d.Index].Name
			}
			if got != tt.want || d.Refused != (tt.want == "") || d.Reason != tt.why || d.WaitForMark != tt.wait || d.AgeUnknown != tt.age {
				t.Errorf("server %q, why %v, wait %t, age unknown %t: %+v", got, d.Reason, d.WaitForMark, d.AgeUnknown, d)
			}
			if want := len(l) - min(1, len(got)); d.PassedOverCount != want && d.Reason != ReasonNoFreshness {
				t.Errorf("%d servers passed over with a reason, want %d", d.PassedOverCount, want)
			}
		})
	}
}

// Guards against entry hosts that all choose the same replica because they have the same observations:
// its queue grows while the other replica is idle.
func TestEqualReplicasShareReads(t *testing.T) {
	l := group()
	l[2] = l[1]
	var n [3]int
	for i := range 1000 {
		q := Request{HasMark: true, HasReadIndex: true, Random: uint64(i) * 0x9e3779b97f4a7c15 >> 7, Now: now}
		n[new(Chooser).Choose(&q, l).Index]++
	}
	if n[0] != 0 || n[1] < 400 || n[2] < 400 {
		t.Errorf("reads by server: %v", n)
	}
}

func TestChooseDoesNotAllocate(t *testing.T) {
	var c Chooser
	l := group()
	q := Request{HasMark: true, HasReadIndex: true, ReadIndex: mark(2, 101), Now: now}
	if n := testing.AllocsPerRun(100, func() { c.Choose(&q, l) }); n != 0 {
		t.Errorf("%v allocations, want 0", n)
	}
}

func BenchmarkChoose(b *testing.B) {
	var c Chooser
	l := group()
	q := Request{HasMark: true, HasReadIndex: true, ReadIndex: mark(2, 101), Now: now}
	b.ReportAllocs()
	for b.Loop() {
		q.Random++
		c.Choose(&q, l)
	}
}

// Guards against reads that return a write which is lost later: an entry host assumes that a server is
// a replica although it has been promoted since, the answer contains a write that only this server
// holds, and the server fails.
func TestMustAwaitMajority(t *testing.T) {
	replica := Candidate{Role: controller.RoleReplica, Last: mark(2, 100)}
	primary := Candidate{Role: controller.RolePrimary, Last: mark(2, 100)}
	tests := []struct {
		name     string
		answered marker.Mark
		known    Candidate
		size     int
		want     bool
	}{
		{name: "replica of the same term", answered: mark(2, 105), known: replica, size: 3},
		{name: "replica promoted since", answered: mark(3, 101), known: replica, size: 3, want: true},
		{name: "replica of a larger group", answered: mark(2, 105), known: replica, size: 5, want: true},
		{name: "primary", answered: mark(2, 105), known: primary, size: 3, want: true},
		{name: "empty log", known: primary, size: 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := MustAwaitMajority(tt.answered, &tt.known, tt.size); got != tt.want {
				t.Errorf("MustAwaitMajority = %t, want %t", got, tt.want)
			}
		})
	}
}
