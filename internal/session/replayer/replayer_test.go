package replayer

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/juju/errors"
	"pgregory.net/rapid"

	"github.com/cuminwick/cuminwick/internal/statement/classifier"
)

func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.nofailfile", "true")
	flag.Set("rapid.checks", "500")
	os.Exit(m.Run())
}

func apply(t testing.TB, s *Session, texts ...string) {
	t.Helper()
	var c classifier.Classifier
	for _, q := range texts {
		k, err := c.Classify(q)
		if err != nil {
			t.Fatal(err)
		}
		for _, p := range k.Parts {
			s.Apply(p)
		}
	}
}

// If a plan misses a setting, or sets the role before the settings that need more privileges, a session
// runs with wrong settings, or its connection is closed for the failed SET.
func TestSettingsPlan(t *testing.T) {
	tests := []struct {
		name         string
		before, next []string
		want         string
	}{
		{name: "nothing"},
		{name: "same", before: []string{"SET search_path = a, b"}, next: []string{"SET search_path TO 'a', 'b'"}},
		{name: "set", next: []string{"SET search_path = a", "SET statement_timeout = 5000"},
			want: "SET search_path TO 'a'; SET statement_timeout TO 5000"},
		{name: "reset settings of the previous session", before: []string{"SET search_path = a", "SET geqo = off"}, next: []string{"SET geqo = on"},
			want: "RESET search_path; SET geqo TO 'on'"},
		{name: "session resets its own setting", before: []string{"SET geqo = off", "RESET geqo", "SET geqo = off", "RESET ALL"}},
		{name: "role and authorization are reset first and set last", before: []string{"SET ROLE low", "SET geqo = off"}, next: []string{"SET ROLE x", "SET SESSION AUTHORIZATION y", "SET work_mem = '1MB'"},
			want: "RESET role; RESET geqo; SET work_mem TO '1MB'; SET session_authorization TO 'y'; SET role TO 'x'"},
		{name: "reset all keeps the role", next: []string{"SET ROLE x", "SET geqo = off", "RESET ALL"}, want: "SET role TO 'x'"},
		{name: "characteristics", next: []string{"SET SESSION CHARACTERISTICS AS TRANSACTION ISOLATION LEVEL SERIALIZABLE, READ ONLY"},
			want: "SET default_transaction_isolation TO 'serializable'; SET default_transaction_read_only TO 'on'"},
		{name: "parts of a name are quoted", next: []string{`SET "App".customer = 'it''s'`}, want: `SET "app"."customer" TO 'it''s'`},
		{name: "local settings end with their transaction", next: []string{"SET LOCAL geqo = off"}},
		{name: "discard", next: []string{"SET geqo = off", "DISCARD ALL"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var a, b Session
			var c Connection
			apply(t, &a, tt.before...)
			apply(t, &b, tt.next...)
			c.PlanSettings(a.Settings())
			c.Finish(a.Settings(), false)
			if p := c.PlanSettings(b.Settings()); p.SQL != tt.want || p.Discard {
				t.Errorf("plan %+v, want %q", p, tt.want)
			}
			if p := c.PlanSettings(b.Settings()); p.SQL != "" {
				t.Errorf("second plan %+v, want nothing", p)
			}
		})
	}
}

// A server undoes SET when its transaction or savepoint is rolled back. If the session keeps the value,
// it is applied to the next connection.
func TestTransactionsUndoSettings(t *testing.T) {
	s := Session{Startup: Settings{{Name: "geqo", SQLValue: "'off'"}}}
	s.Begin()
	apply(t, &s, "SET geqo = on", "SET work_mem = 1")
	s.Savepoint("x")
	apply(t, &s, "SET work_mem = 2")
	s.RollbackTo("x")
	if v, _ := s.Settings().Get("work_mem"); v != "1" {
		t.Errorf("after rollback to savepoint work_mem is %q, want 1", v)
	}
	s.End(false)
	if d := cmp.Diff(s.Startup, s.Settings()); d != "" {
		t.Errorf("after rollback (-want +got):\n%s", d)
	}
	s.Begin()
	apply(t, &s, "SET geqo = on")
	s.End(true)
	s.End(false)
	if v, _ := s.Settings().Get("geqo"); v != "'on'" {
		t.Errorf("after commit geqo is %q", v)
	}
	apply(t, &s, "RESET geqo")
	if v, _ := s.Settings().Get("geqo"); v != "'off'" {
		t.Errorf("reset gives %q, want the startup value", v)
	}
}

// server simulates one connection of a backend server: it executes texts and holds what they change.
type server struct {
	settings   map[string]string
	statements map[StatementID]string
	hidden     bool
}

func (s *server) run(text string) {
	for _, q := range strings.Split(text, "; ") {
		w := strings.Fields(q)
		switch {
		case q == DiscardSQL:
			*s = server{settings: map[string]string{}, statements: map[StatementID]string{}}
		case len(w) == 2:
			delete(s.settings, w[1])
		case len(w) == 4:
			s.settings[w[1]] = w[3]
		}
	}
}

// Sessions of different callers take turns on a connection, change settings, roll back, prepare
// statements of the same name, and leave hidden state. If a setting of one session stays for the next,
// that session reads the wrong schema or acts in the wrong role; if a statement does, that session
// gets the answer of another one's query.
func TestNothingLeaksToTheNextSession(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c Connection
		c.MaximumStatements = 2
		v := server{settings: map[string]string{}, statements: map[StatementID]string{}}
		var l [3]Session
		var in [3]map[string]string
		l[0].Startup = Settings{{Name: "a", SQLValue: "1"}}
		in[0] = map[string]string{"a": "1"}
		in[1], in[2] = map[string]string{}, map[string]string{}
		for range 40 {
			i := rapid.IntRange(0, 2).Draw(t, "session")
			s := &l[i]
			p := c.PlanSettings(s.Settings())
			if p.Discard {
				v.run(DiscardSQL)
			}
			v.run(p.SQL)
			if v.hidden || !maps.Equal(v.settings, in[i]) {
				t.Fatalf("session %d runs with settings %v, hidden state %t, own settings %v", i, v.settings, v.hidden, in[i])
			}
			s.Begin()
			n := rapid.SampledFrom([]string{"a", "b", "role"}).Draw(t, "name")
			x := rapid.SampledFrom([]string{"1", "2"}).Draw(t, "value")
			commit := rapid.Bool().Draw(t, "commit")
			s.Apply(classifier.Part{Kind: classifier.KindSet, Name: n, SQLValue: x})
			s.End(commit)
			if commit {
				in[i][n], v.settings[n] = x, x
			}
			text := fmt.Sprint("SELECT ", rapid.IntRange(0, 5).Draw(t, "text"))
			name := rapid.SampledFrom([]string{"", "p"}).Draw(t, "statement")
			s.CloseStatement(name)
			if _, err := s.Parse(name, text, nil); err != nil {
				t.Fatal(err)
			}
			d, _ := s.Statement(name)
			u := c.PlanStatement(name, d)
			if u.Close != "" {
				delete(v.statements, u.Close)
			}
			if u.Parse {
				v.statements[u.Name] = text
			}
			if v.statements[u.Name] != text || len(v.statements) > c.MaximumStatements+1 {
				t.Fatalf("statement %q is %q on the server, want %q; %d held", name, v.statements[u.Name], text, len(v.statements))
			}
			hidden := rapid.IntRange(0, 9).Draw(t, "hidden") == 0
			v.hidden = v.hidden || hidden
			c.Finish(s.Settings(), hidden)
		}
	})
}

// A statement that the server doesn't hold, but that is recorded as prepared, isn't parsed again, and the
// next Bind of it fails.
func TestStatements(t *testing.T) {
	s := Session{MaximumStatements: 2}
	a, _ := s.Parse("a", "SELECT $1", []uint32{23})
	b, _ := s.Parse("b", "SELECT $1", []uint32{25})
	if a.ID == b.ID || a.ID != Identify("SELECT $1", []uint32{23}) {
		t.Errorf("ids %s and %s", a.ID, b.ID)
	}
	if _, err := s.Parse("a", "SELECT 2", nil); !errors.Is(err, ErrDuplicateStatement) {
		t.Errorf("error %v, want %v", err, ErrDuplicateStatement)
	}
	if _, err := s.Parse("c", "SELECT 2", nil); !errors.Is(err, ErrTooManyStatements) {
		t.Errorf("error %v, want %v", err, ErrTooManyStatements)
	}
	apply(t, &s, "DEALLOCATE ALL")
	if _, ok := s.Statement("a"); ok {
		t.Error("session still has statement a after DEALLOCATE ALL")
	}
	var c Connection
	c.ParseFailed(c.PlanStatement("a", a))
	if p := c.PlanStatement("a", a); !p.Parse {
		t.Error("statement isn't parsed again after its Parse failed")
	}
	c.StatementsDeallocated()
	if p := c.PlanStatement("a", a); !p.Parse {
		t.Error("statement isn't parsed again after all were deallocated")
	}
}
