package recorder

import (
	"strings"
	"testing"

	"github.com/juju/errors"
)

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

// An entry host's wall clock was set back by a day and an hour, and a booking is sent
// with a key. With that host's time in its row any other host would forget the key
// within ten minutes, and the booking, sent again, would run a second time.
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
			t.Errorf("not the time of the first row: %s", q)
		}
	}
}
