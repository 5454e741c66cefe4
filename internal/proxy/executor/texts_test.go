package executor

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/cuminwick/cuminwick/internal/proxy/connpooler"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

// setTexts lets the session set values, and returns the requests that prepare a connection for it.
func setTexts(t *testing.T, l *connpooler.Lease, texts ...string) []declarer.Request {
	t.Helper()
	s := newSession(&scriptedCaller{})
	for _, x := range texts {
		name, argument, _ := strings.Cut(strings.TrimPrefix(x, "SET "), " ")
		if err := s.set(declarer.Statement{ID: "x", Verb: declarer.VerbSet, Name: name, Argument: argument, Text: x}); err != nil {
			t.Fatal(err)
		}
	}
	e := &exchange{lease: l}
	e.addSetup(s, &request{})
	return e.requests
}

// Guards against a value that differs from the one that was acknowledged to its caller, by a byte: an empty
// field is left out, or the value of another session counts as the same.
func TestSettingReachesServerAsSent(t *testing.T) {
	l := &connpooler.Lease{Values: make(map[string]string), Prepared: make(map[string]struct{})}
	for _, x := range []string{"SET zone", "SET zone ", "SET zone  a", "SET zone a "} {
		name, argument, _ := strings.Cut(strings.TrimPrefix(x, "SET "), " ")
		want := []declarer.Request{{Verb: declarer.VerbSet, Name: name, Argument: argument, Text: x}}
		if d := cmp.Diff(want, setTexts(t, l, x)); d != "" {
			t.Errorf("%q: %s", x, d)
		}
		if again := setTexts(t, l, x); len(again) > 0 {
			t.Errorf("%q is sent again: %+v", x, again)
		}
	}
}
