package director

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/google/go-cmp/cmp"

	"github.com/cuminwick/cuminwick/internal/backend/controller"
	"github.com/cuminwick/cuminwick/internal/caller/server"
	"github.com/cuminwick/cuminwick/internal/clock/scheduler"
	"github.com/cuminwick/cuminwick/internal/config/declarer"
	"github.com/cuminwick/cuminwick/internal/group/driver"
	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/group/observer"
	"github.com/cuminwick/cuminwick/internal/log/encoder"
	"github.com/cuminwick/cuminwick/internal/pool/lessor"
	"github.com/cuminwick/cuminwick/internal/route/chooser"
)

// control answers with a fixed status.
type control struct {
	controller.Control
	status controller.Status
}

func (c control) Status(context.Context) (controller.Status, error) { return c.status, nil }

// decisions keeps the last logged decision.
type decisions struct{ last encoder.Decision }

func (d *decisions) LogDecision(x *encoder.Decision) { d.last = *x }

type noLessor struct{ lessor.Lessor }

// deploy runs a group of a primary at position 10 and two replicas at 10 and 8.
func deploy(t testing.TB, f *declarer.File) (*Director, *decisions) {
	t.Helper()
	n := startGroup(t.Context(), t)
	f.DatabaseGroups = []declarer.DatabaseGroup{n.Declared}
	l := new(decisions)
	d := &Director{Region: "one", AvailabilityZone: "b", Decisions: l, Draw: func() uint64 { return 0 }}
	r := &Runtime{Revision: 1, File: f, Groups: map[string]*Group{"g": n}, Names: []string{"g"}}
	r.Compile(nil)
	d.Configuration = func() *Runtime { return r }
	n.Sample()
	return d, l
}

// startGroup runs the driver of a group until ctx ends, and returns once all servers have answered.
func startGroup(ctx context.Context, t testing.TB) *Group {
	t.Helper()
	g := declarer.DatabaseGroup{Name: "g", Service: "s", BackendServers: []declarer.BackendServer{
		{Name: "a", AvailabilityZone: "a", Region: "one", Slots: 2},
		{Name: "b", AvailabilityZone: "b", Region: "one", Slots: 2},
		{Name: "c", AvailabilityZone: "c", Region: "two", Slots: 2},
	}}
	n := &Group{Declared: g, Lessors: make(map[string]lessor.Lessor)}
	o := &driver.Driver{Group: g, Host: "h", Controls: make(map[string]controller.Control), Settings: driver.Defaults(), Log: &log.Logger{Handler: discard.New()}}
	for i, b := range g.BackendServers {
		s := controller.Status{Role: controller.RoleReplica, Term: 1, Last: marker.Mark{Term: 1, Position: []marker.Position{10, 10, 8}[i]}, Following: "a"}
		if i == 0 {
			s.Role, s.Following = controller.RolePrimary, ""
		}
		o.Controls[b.Name] = control{status: s}
		n.Lessors[b.Name] = noLessor{}
	}
	// Statuses must stay fresh on a busy machine, which polls late.
	o.Settings.Observer.MaximumStatusAge = time.Hour
	n.Driver = o
	go o.Run(ctx)
	// A majority confirms a primary, so the third answer may still be missing after that.
	for n.Driver.View().Reachable < len(g.BackendServers) {
		if err := scheduler.Pause(ctx, time.Millisecond); err != nil {
			t.Fatal(err)
		}
	}
	n.Prepare()
	return n
}

// Guards against a write that is refused because its driver was replaced. A configuration changes the
// group's servers after the write has chosen the primary with the previous driver. The pool refuses
// the write as closed, and the view of the stopped driver never changes. Unless the stop is detected,
// the caller waits until its deadline and is refused although another driver serves the group.
func TestWriteGoesOnAtTheNextDriver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x, stop := context.WithCancel(t.Context())
		before := startGroup(x, t)
		after := startGroup(t.Context(), t)
		stop()
		synctest.Wait()
		f := &declarer.File{DatabaseGroups: []declarer.DatabaseGroup{before.Declared}}
		l := []*Runtime{
			{Revision: 1, File: f, Groups: map[string]*Group{"g": before}},
			{Revision: 2, File: f, Groups: map[string]*Group{"g": after}},
		}
		for i := range l {
			l[i].Compile(nil)
		}
		d := &Director{Region: "one", AvailabilityZone: "b", Draw: func() uint64 { return 0 }}
		d.Configuration = func() *Runtime {
			r := l[0]
			l = l[len(l)-1:]
			return r
		}
		y, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		c, err := d.Choose(y, server.Query{Group: "g", Write: true, Avoid: "a", Attempt: 1})
		if err != nil || c.Server != "a" {
			t.Errorf("chose %q, %v", c.Server, err)
		}
	})
}

func TestChoose(t *testing.T) {
	f := &declarer.File{
		RoutingRules: []declarer.RoutingRule{{Name: "reviewer", Match: declarer.Match{Role: "reviewer"}, MaximumAge: time.Hour}},
		Teams: []declarer.Team{
			{Name: "costing", DatabaseGroups: []string{"g"}, Roles: []declarer.Role{{Name: "officer"}, {Name: "reviewer"}}},
			{Name: "other", DatabaseGroups: []string{"h"}, Roles: []declarer.Role{{Name: "stranger"}}},
		},
	}
	d, l := deploy(t, f)
	own := marker.Mark{Term: 1, Position: 9}
	tests := []struct {
		name string
		q    server.Query
		want encoder.Decision
	}{
		{
			name: "write",
			q:    server.Query{Role: "officer", Write: true},
			want: encoder.Decision{Team: "costing", Chosen: "a", Reason: "write", PassedOver: []encoder.PassedOver{{Name: "b", Reason: "not-primary"}, {Name: "c", Reason: "not-primary"}}},
		},
		{
			name: "read without a rule",
			q:    server.Query{Role: "officer", ReplicaSafe: true, Mark: own, HasMark: true},
			want: encoder.Decision{Team: "costing", Chosen: "b", Reason: "read-index", PassedOver: []encoder.PassedOver{{Name: "a", Reason: "later"}, {Name: "c", Reason: "later"}}},
		},
		{
			name: "read of a rule's age",
			q:    server.Query{Role: "reviewer", ReplicaSafe: true, Mark: own, HasMark: true},
			want: encoder.Decision{Team: "costing", Rule: "reviewer", Chosen: "b", Reason: "within-age", PassedOver: []encoder.PassedOver{{Name: "a", Reason: "later"}, {Name: "c", Reason: "later"}}},
		},
		{
			name: "one replica refused before, the other one does not catch up",
			q:    server.Query{Role: "officer", ReplicaSafe: true, Avoid: "b", Attempt: 1},
			want: encoder.Decision{Team: "costing", Chosen: "a", Reason: "only-primary", PassedOver: []encoder.PassedOver{{Name: "b", Reason: "excluded"}, {Name: "c", Reason: "excluded"}}},
		},
		{
			name: "function that may write",
			q:    server.Query{Role: "officer"},
			want: encoder.Decision{Team: "costing", Chosen: "a", Reason: "write", PassedOver: []encoder.PassedOver{{Name: "b", Reason: "not-primary"}, {Name: "c", Reason: "not-primary"}}},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tt.q.Group = "g"
			c, err := d.Choose(t.Context(), tt.q)
			if err != nil {
				t.Fatal(err)
			}
			tt.want.Kind, tt.want.DatabaseGroup = "route", "g"
			if s := cmp.Diff(tt.want, l.last); s != "" {
				t.Error(s)
			}
			if c.Server != tt.want.Chosen || c.Team != "costing" || c.Primary != (c.Server == "a") || c.Lessor == nil {
				t.Errorf("choice %+v", c)
			}
			if safe := c.Server == "b"; (c.SafeTerm == 1) != safe {
				t.Errorf("safe term %d of %s", c.SafeTerm, c.Server)
			}
		})
	}
	for role, want := range map[string]bool{"officer": true, "stranger": false, "unknown": false} {
		if d.Exists("g", role) != want {
			t.Errorf("role %s may reach the group: %t", role, !want)
		}
	}
}

// Guards against retries that double the load: every server refuses, and each request is retried at
// once. Beyond the budget the request itself must be refused.
func TestRetriesAreRefusedBeyondTheBudget(t *testing.T) {
	d, _ := deploy(t, &declarer.File{})
	q := server.Query{Group: "g", ReplicaSafe: true, Attempt: 1}
	for n := range retryBurst + 1 {
		_, err := d.Choose(t.Context(), q)
		if refused := errors.Is(err, ErrRetryBudget); refused != (n == retryBurst) {
			t.Fatalf("retry %d: %v", n, err)
		}
	}
}

// Guards against an age that is determined by a superseded primary. Such a primary still reports its
// own position, so the age would ignore the writes that its successor has acknowledged.
func TestObservationRequiresAMajority(t *testing.T) {
	at := func(ms int, term marker.Term, p marker.Position) observer.Server {
		return observer.Server{Observation: observer.Observation{Answered: true, PolledAt: time.Duration(ms) * time.Millisecond, Status: controller.Status{Last: marker.Mark{Term: term, Position: p}}}}
	}
	tests := []struct {
		name string
		l    []observer.Server
		want time.Duration
		mark marker.Mark
	}{
		{name: "superseded primary polled last", l: []observer.Server{at(100, 1, 9), at(50, 2, 8), at(20, 1, 7)}, want: 50 * time.Millisecond, mark: marker.Mark{Term: 2, Position: 8}},
		{name: "successor not observed", l: []observer.Server{at(100, 1, 9), at(50, 1, 8), at(20, 1, 7)}, want: 50 * time.Millisecond, mark: marker.Mark{Term: 1, Position: 9}},
		{name: "one answer of three", l: []observer.Server{at(100, 1, 9), {}, {}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			o, ok := majorityObservation(&observer.View{Servers: tt.l})
			if ok != (tt.want > 0) || o.PolledAt != tt.want || o.Mark != tt.mark {
				t.Errorf("observation %v of %v, %t", o.Mark, o.PolledAt, ok)
			}
		})
	}
}

func TestRoutingDecisionAllocatesNothing(t *testing.T) {
	d, _ := deploy(t, &declarer.File{})
	g := d.Runtime().Groups["g"]
	s := &search{director: d, runtime: d.Runtime(), group: g}
	s.request = chooser.Request{HasMark: true, HasReadIndex: true}
	if n := testing.AllocsPerRun(100, func() { s.choose() }); n != 0 {
		t.Errorf("%v allocations for a decision", n)
	}
}

func BenchmarkChooseAged(b *testing.B) {
	d, _ := deploy(b, &declarer.File{RoutingRules: []declarer.RoutingRule{{Name: "r", MaximumAge: time.Hour}}})
	q := server.Query{Group: "g", ReplicaSafe: true, HasMark: true}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := d.Choose(context.Background(), q); err != nil {
			b.Fatal(err)
		}
	}
}

// Guards against a burst of retries with each change of the configuration, which a new retry budget
// would allow even while a backend server is overloaded.
func TestRetryBudgetIsKeptAcrossConfigurations(t *testing.T) {
	a := &Runtime{File: &declarer.File{Limits: declarer.Limits{RetryShare: 0.1}}}
	a.Compile(nil)
	b := &Runtime{File: &declarer.File{Limits: declarer.Limits{RetryShare: 0.1}}}
	b.Compile(a)
	if b.budget != a.budget {
		t.Error("a configuration with the same share has a new budget")
	}
	c := &Runtime{File: &declarer.File{Limits: declarer.Limits{RetryShare: 0.2}}}
	c.Compile(b)
	if c.budget == b.budget || c.budget.Share != 0.2 {
		t.Errorf("the new share is not in force: %v", c.budget.Share)
	}
}
