package recorder

import (
	"strings"
	"testing"

	"github.com/juju/errors"
)

// Keys are inserted into SQL without escaping and are followed by # in the key column. A key with a
// quote or a # would change the statement or collide with the row of another key.
func TestCheckKey(t *testing.T) {
	tests := []struct {
		key string
		ok  bool
	}{
		{"budget/2026-11:line_7.a", true},
		{strings.Repeat("k", MaximumKeyBytes), true},
		{"", false},
		{strings.Repeat("k", MaximumKeyBytes+1), false},
		{"a'b", false},
		{"a#1", false},
		{"a b", false},
		{"ä", false},
	}
	for _, tt := range tests {
		t.Run(tt.key, func(t *testing.T) {
			if err := CheckKey(tt.key); (err == nil) != tt.ok || err != nil && !errors.Is(err, ErrKey) {
				t.Errorf("CheckKey = %v, want ok %t", err, tt.ok)
			}
		})
	}
}

// A wrong decision after a look-up would run a request a second time, or never run it.
func TestDecide(t *testing.T) {
	a := First("k")
	tests := []struct {
		name string
		row  Row
		want Decision
		next Attempt
	}{
		{"no row", Row{}, Run, a},
		{"ran", Row{Found: true, Outcome: Ran, RecordedAt: 90}, AlreadyRan, a},
		{"settled as not run", Row{Found: true, Outcome: NotRun, RecordedAt: 90}, LookUpNext, Attempt{Key: "k", Number: 2, RecordedAt: 90}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if d, n := Decide(a, tt.row); d != tt.want || n != tt.next {
				t.Errorf("Decide = %s, %v; want %s, %v", d, n, tt.want, tt.next)
			}
		})
	}
}

// The wall clock of an entry host is set back by a day and an hour, and it handles a request with a
// key. With that host's time in the row, another host would delete the key within ten minutes, and a
// retry of the request would run it a second time.
func TestFirstRowBearsServersTime(t *testing.T) {
	a := First("k")
	for _, q := range []string{a.Reserve(), a.Tombstone(), a.RecordTag("INSERT 0 1")} {
		if !strings.HasSuffix(q, ", date_part('epoch', now())::bigint)") {
			t.Errorf("%s", q)
		}
	}
	_, n := Decide(a, Row{Found: true, Outcome: NotRun, RecordedAt: 90})
	for _, q := range []string{n.Reserve(), n.Tombstone(), n.RecordTag("INSERT 0 1")} {
		if !strings.HasSuffix(q, ", 90)") {
			t.Errorf("recorded_at isn't that of the first row: %s", q)
		}
	}
}
