package executor

import (
	"slices"
	"strings"
	"testing"

	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

// Guards against a statement that is longer than the protocol allows once it is sent to a server, which ends
// the connection of others then.
func TestStatementThatGrowsTooLongIsRefused(t *testing.T) {
	long := strings.Repeat("d", 1000)
	for name, x := range map[string]struct {
		statement declarer.Statement
		// spare is how many bytes the text may grow.
		spare  int
		refuse bool
	}{
		"write":                     {declarer.Statement{Verb: declarer.VerbWrite, Text: "WRITE a " + long}, 0, false},
		"read":                      {declarer.Statement{Verb: declarer.VerbRead, Text: "READ " + long}, declarer.PositionBytes, false},
		"read, with a position":     {declarer.Statement{Verb: declarer.VerbRead, Text: "READ " + long}, declarer.PositionBytes - 1, true},
		"execution":                 {declarer.Statement{Verb: declarer.VerbExecute, Name: "s", Text: "EXEC s a " + long}, 45, false},
		"execution, with its name":  {declarer.Statement{Verb: declarer.VerbExecute, Name: "s", Text: "EXEC s a " + long}, 44, true},
		"limit that isn't known":    {declarer.Statement{Verb: declarer.VerbRead, Text: "READ " + long}, -len("READ " + long), false},
		"execution of a plain name": {declarer.Statement{Verb: declarer.VerbExecute, Name: "plain", Text: "EXEC plain a " + long}, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := &scriptedCaller{}
			s := newSession(c)
			s.Board.Configure(&declarer.Configuration{Version: 2})
			for n, shape := range map[string]string{"s": "q x", "plain": "q"} {
				if err := s.prepare(declarer.Statement{Verb: declarer.VerbPrepare, Name: n, Argument: shape, Writes: true}); err != nil {
					t.Fatal(err)
				}
			}
			x.statement.ID, x.statement.Limit = "x", len(x.statement.Text)+x.spare
			if err := s.run(x.statement); err != nil {
				t.Fatal(err)
			}
			if got := slices.Contains(c.answered, declarer.CodeTooBig); got != x.refuse {
				t.Errorf("codes %v, refused for its length: %v, want %v", c.answered, got, x.refuse)
			}
		})
	}
}
