package racer

import (
	"context"
	"testing"

	"github.com/cuminwick/cuminwick/internal/bench/checker"
	"github.com/cuminwick/cuminwick/internal/config/applier"
	"github.com/cuminwick/cuminwick/internal/config/declarer"
	"github.com/cuminwick/cuminwick/internal/config/publisher"
	"github.com/cuminwick/cuminwick/internal/platform/accessor"
	"github.com/cuminwick/cuminwick/internal/standin/storekeeper"
)

// Guards against a simulated crash that doesn't leave the configuration staged. An operator's process crashes
// after its first put, before it receives the response that its configuration is staged. The next
// operator of the same revision is refused until another operator withdraws the staged configuration.
func TestCrashedApplyStaysStaged(t *testing.T) {
	s := new(storekeeper.Store)
	r := &Racer{Platform: func(int) accessor.Platform { return s }}
	c := &contender{racer: r, name: "first", platform: s, file: withChange(declarer.File{}, "first", 0)}
	crashAfter(c, 1)
	ended := make(chan struct{})
	k := &crashingRun{contender: c, ctx: t.Context(), ended: ended}
	go k.run()
	<-ended
	n := &contender{racer: r, name: "next", platform: s, file: withChange(declarer.File{}, "next", 1)}
	n.run(t.Context())
	z := &successor{racer: r, name: "successor"}
	z.run(t.Context())
	want := []checker.ApplyOutcome{checker.ApplyUnknown, checker.ApplyRefused, checker.ApplyRefused}
	for i, a := range r.Applies() {
		if a.Outcome != want[i] {
			t.Errorf("%+v, want %s", a, want[i])
		}
	}
	h, err := (&publisher.Operator{Platform: s}).Head(t.Context())
	if err != nil || h.Staged != nil || h.Accepted != 0 {
		t.Errorf("%+v, %v", h, err)
	}
}

// crashingRun runs a contender whose goroutine ends midway, and closes ended when it has.
type crashingRun struct {
	contender *contender
	ctx       context.Context
	ended     chan struct{}
}

func (e *crashingRun) run() {
	defer close(e.ended)
	e.contender.run(e.ctx)
}

func TestSetOutcome(t *testing.T) {
	for name, c := range map[string]struct {
		outcome applier.Outcome
		want    checker.ApplyOutcome
		number  uint64
	}{
		"in force":       {applier.InForce, checker.ApplyInForce, 7},
		"accepted":       {applier.Accepted, checker.ApplyAccepted, 7},
		"withdrawn":      {applier.Withdrawn, checker.ApplyRefused, 7},
		"conflict":       {applier.Conflict, checker.ApplyRefused, 0},
		"left staged":    {applier.LeftStaged, checker.ApplyUnknown, 7},
		"nothing staged": {applier.NothingStaged, checker.ApplyUnknown, 7},
	} {
		t.Run(name, func(t *testing.T) {
			x := applier.Result{Outcome: c.outcome}
			x.Entry.Revision = 7
			a := checker.Apply{Outcome: checker.ApplyUnknown}
			setOutcome(&a, x)
			if a.Outcome != c.want || a.Revision != c.number {
				t.Errorf("%+v", a)
			}
		})
	}
}

// Guards against a host with parts of two files that is counted as one with an applied file: a mix of
// two files must have a digest of its own.
func TestDigestDistinguishesFiles(t *testing.T) {
	a, b := withChange(declarer.File{}, "a", 1), withChange(declarer.File{}, "b", 2)
	m := a
	m.Limits = b.Limits
	seen := map[string]bool{}
	for _, f := range []declarer.File{{}, a, b, m} {
		seen[Digest(f)] = true
	}
	if len(seen) != 4 {
		t.Errorf("%d digests of 4 files", len(seen))
	}
	a.EditedFrom = 9
	if !seen[Digest(a)] {
		t.Error("the digest depends on the revision that the file was edited from")
	}
}

// Guards against a group with too few connections for its slots, and against a change to the file that
// all changes are based on. In some rounds the files change a group's servers, so that hosts rebuild
// the group.
func TestWithFewerConnections(t *testing.T) {
	b := declarer.BackendServer{Slots: 2, Connections: 16}
	f := declarer.File{DatabaseGroups: []declarer.DatabaseGroup{
		{Name: "a", BackendServers: []declarer.BackendServer{b, b}},
		{Name: "b", BackendServers: []declarer.BackendServer{b, b}},
	}}
	seen := map[string]bool{Digest(f): true}
	for n := range 8 {
		r := withFewerConnections(f, n)
		seen[Digest(r)] = true
		for i, s := range r.DatabaseGroups[n%2].BackendServers {
			if s.Connections >= b.Connections || s.Connections < 12 || s.Slots < 1 || s.Slots > b.Slots {
				t.Errorf("server %d of change %d: %+v", i, n, s)
			}
		}
	}
	if f.DatabaseGroups[0].BackendServers[0] != b || len(seen) != 5 {
		t.Errorf("%+v, %d contents", f, len(seen))
	}
}
