package lender

import (
	"slices"
	"testing"
	"testing/synctest"

	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

// Guards against a statement that runs with the value of another session, which differs by a byte: SET with
// an empty value and SET without one.
func TestValuesAreComparedAsSent(t *testing.T) {
	setText := func(s string) declarer.Request {
		return declarer.Request{Verb: declarer.VerbSet, Name: "a", Text: s}
	}
	synctest.Test(t, func(t *testing.T) {
		s := &server{}
		p := pool(s)
		serve(s, p,
			lend(), batch(setText("SET a"), text("READ x")), Event{Kind: KindReturn},
			lend(), batch(setText("SET a "), text("READ y")), Event{Kind: KindReturn},
			lend(), batch(setText("SET a "), text("READ z")), batch(setText("SET a"), text("READ w")), Event{Kind: KindReturn},
		)
		p.Close()
		var sets int
		for _, x := range s.sent {
			if x == "SET a " {
				sets++
			}
		}
		if sets != 3 || !slices.Contains(s.sent, "RESET") {
			t.Errorf("%d values set: %q", sets, s.sent)
		}
	})
}
