package replicator

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/juju/errors"
	"pgregory.net/rapid"

	"github.com/cuminwick/cuminwick/internal/backend/controller"
	"github.com/cuminwick/cuminwick/internal/group/marker"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for n, v := range map[string]string{"rapid.seed": "1", "rapid.checks": "2000"} {
		if err := flag.Set(n, v); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// step is one event in a group of three servers.
type step struct {
	Kind   string
	Server int
	Other  int
}

var steps = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
	return step{
		Kind:   rapid.SampledFrom([]string{"write", "write", "replicate", "replicate", "acknowledge", "promote", "follow"}).Draw(t, "kind"),
		Server: rapid.IntRange(0, 2).Draw(t, "server"),
		Other:  rapid.IntRange(0, 2).Draw(t, "other"),
	}
}), 40, 80)

// model is a group of stores whose servers are fenced, promoted and made to follow as cuminwick
// does it. needed is the number of servers that must hold a record before it is acknowledged.
type model struct {
	stores       []*Store
	needed       int
	written      []marker.Mark
	acknowledged []marker.Mark
}

func newModel(needed int) *model {
	m := &model{needed: needed}
	for i := range 3 {
		m.stores = append(m.stores, &Store{Name: fmt.Sprint(i)})
	}
	m.stores[0].Start(1)
	for _, s := range m.stores[1:] {
		if _, err := s.Follow(1, PrimaryServer{Name: "0"}, time.Now()); err != nil {
			panic(err)
		}
	}
	return m
}

func (m *model) run(l []step) error {
	for _, e := range l {
		if err := m.do(e); err != nil {
			return errors.Annotatef(err, "%v", e)
		}
	}
	return nil
}

func (m *model) do(e step) error {
	s := m.stores[e.Server]
	switch e.Kind {
	case "write":
		t := s.Begin()
		t.Add(Change{Kind: CreateTable, Table: fmt.Sprint("t", len(m.written)), Definition: &Definition{}})
		k, err := t.Commit()
		if err == nil {
			m.written = append(m.written, k)
		}
	case "replicate":
		return m.replicate(s)
	case "acknowledge":
		m.acknowledge()
	case "promote":
		return m.promote(e.Server, e.Other)
	case "follow":
		if p := m.primary(); p != nil && p != s {
			_, _ = s.Follow(p.term, PrimaryServer{Name: p.Name}, time.Now())
		}
	}
	return nil
}

// primary returns the primary of the highest term.
func (m *model) primary() *Store {
	var p *Store
	for _, s := range m.stores {
		if s.role == controller.RolePrimary && (p == nil || s.term > p.term) {
			p = s
		}
	}
	return p
}

// replicate copies one record to s from the primary that it follows.
func (m *model) replicate(s *Store) error {
	l, t := s.FollowedPrimary()
	if l == (PrimaryServer{}) {
		return nil
	}
	p := m.stores[l.Name[0]-'0']
	if isPrimary, u := p.IsPrimary(); !isPrimary || u != t {
		return nil
	}
	c := CommonPosition(s.History(), p.History())
	if _, err := s.Truncate(t, c); err != nil {
		return err
	}
	r, err := p.ReadRecords(t, c, 1)
	if err != nil {
		return err
	}
	return s.Append(t, r)
}

// acknowledge acknowledges every record that enough servers hold.
func (m *model) acknowledge() {
	for _, k := range m.written {
		n := 0
		for _, s := range m.stores {
			if s.Last().Holds(k) {
				n++
			}
		}
		if n >= m.needed {
			m.acknowledged = append(m.acknowledged, k)
		}
	}
}

// promote raises the term on two servers, promotes the one whose log is ahead, and checks that every
// acknowledged record is in its log.
func (m *model) promote(a, b int) error {
	if a == b {
		return nil
	}
	x, y := m.stores[a], m.stores[b]
	t := max(x.term, y.term) + 1
	for _, s := range []*Store{x, y} {
		if _, err := s.RaiseTerm(t, time.Now()); err != nil {
			return err
		}
	}
	if y.Last().Compare(x.Last()) > 0 {
		x = y
	}
	if _, err := x.Promote(t, time.Now()); err != nil {
		return err
	}
	for _, k := range m.acknowledged {
		if int(k.Position) > len(x.log) || x.log[k.Position-1].Mark != k {
			return errors.Errorf("primary %s of term %d lacks the acknowledged %v", x.Name, t, k)
		}
	}
	return nil
}

// Primaries are replaced and servers rejoin in random order. Guards against the loss of a record that
// a majority held, and against replicas whose state differs from the primary's in the end.
func TestMajorityKeepsRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(2)
		if err := m.run(steps.Draw(t, "steps")); err != nil {
			t.Fatal(err)
		}
		p := m.primary()
		for _, s := range m.stores {
			if s == p {
				continue
			}
			if _, err := s.Follow(p.term, PrimaryServer{Name: p.Name}, time.Now()); err != nil {
				t.Fatal(err)
			}
			for s.Last() != p.Last() {
				if err := m.replicate(s); err != nil {
					t.Fatal(err)
				}
			}
			if len(s.tables) != len(p.tables) {
				t.Fatalf("%d tables, the primary has %d", len(s.tables), len(p.tables))
			}
		}
	})
}

// The model must lose records if one server is enough for an acknowledgement; otherwise
// TestMajorityKeepsRecords could not fail.
func TestOneServerLosesRecords(t *testing.T) {
	lost := 0
	for i := range 200 {
		if newModel(1).run(steps.Example(i)) != nil {
			lost++
		}
	}
	if lost == 0 {
		t.Error("no record was lost")
	}
}

// A primary of an earlier term still sends records. Guards against a replica that accepts them, or
// control calls under an earlier term: its log would diverge without an error that a user sees.
func TestOldTermIsRefused(t *testing.T) {
	s := &Store{Name: "a"}
	now := time.Now()
	if _, err := s.Follow(3, PrimaryServer{Name: "b"}, now); err != nil {
		t.Fatal(err)
	}
	if err := s.Append(2, []Record{{Mark: marker.Mark{Term: 2, Position: 1}}}); !errors.Is(err, ErrTermRefused) {
		t.Error(err)
	}
	if _, err := s.Follow(2, PrimaryServer{Name: "c"}, now); !errors.Is(err, ErrTermRefused) {
		t.Error(err)
	}
	if _, err := s.RaiseTerm(3, now); !errors.Is(err, ErrTermRefused) {
		t.Error(err)
	}
	if _, err := s.Promote(3, now); !errors.Is(err, ErrTermRefused) {
		t.Errorf("promoted a server that follows a primary: %v", err)
	}
	if err := s.Append(3, []Record{{Mark: marker.Mark{Term: 3, Position: 2}}}); !errors.Is(err, ErrDiverged) {
		t.Error(err)
	}
}

// Applying the record of a large COPY keeps a replica's store locked for long. Guards against contact
// with the primary that is not recorded meanwhile: the replica would report a loss of contact that
// did not occur, and entry hosts would replace the primary.
func TestContactIsNotedWhileARecordIsApplied(t *testing.T) {
	s := &Store{Name: "db-2"}
	now := time.Now()
	if _, err := s.Follow(1, PrimaryServer{Name: "db-1"}, now); err != nil {
		t.Fatal(err)
	}
	s.mutex.Lock()
	s.NoteContact(1, now.Add(time.Second))
	l, n := s.FollowedPrimary()
	s.mutex.Unlock()
	if d := s.Status(now.Add(time.Second)).SinceLastContact; d != 0 || l.Name != "db-1" || n != 1 {
		t.Errorf("last contact %v ago, follows %q under term %d", d, l.Name, n)
	}
}
