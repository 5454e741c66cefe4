package checker

import (
	"strings"
	"testing"

	"github.com/cuminwick/cuminwick/internal/soak/replicator"
)

// values are the values of the session.
var values = map[string]string{"who": "s", "n": "a\nb"}

// sentStatement returns a statement of a session that was answered, and its run.
func sentStatement(id, text string, change func(s *Statement, e *replicator.Execution)) (*Statement, replicator.Execution) {
	keyword, _, _ := strings.Cut(text, " ")
	s := &Statement{ID: id, Text: text, Values: values, Answered: true, Signature: "sig." + id + ".1", Rows: []string{"7", ""}}
	e := replicator.Execution{ID: id, Text: text, Keyword: keyword, Values: values, Connection: 1, Signature: s.Signature, Rows: []string{"7", ""}}
	if change != nil {
		change(s, &e)
	}
	return s, e
}

// one returns the history of one statement and its run.
func one(text string, change func(s *Statement, e *replicator.Execution)) statementCase {
	s, e := sentStatement("s.1", text, change)
	return statementCase{sent: []*Statement{s}, runs: []replicator.Execution{e}}
}

// two returns the history of a write and a commit in a transaction.
func two(change func(s *Statement, e *replicator.Execution)) statementCase {
	in := func(s *Statement, e *replicator.Execution) { s.Transaction, e.Transaction = 1, 4 }
	s, e := sentStatement("s.2", "WRITE x 1", in)
	p, f := sentStatement("s.3", "COMMIT", in)
	change(p, &f)
	return statementCase{sent: []*Statement{s, p}, runs: []replicator.Execution{e, f}}
}

// statementCase is what callers sent and servers ran.
type statementCase struct {
	sent    []*Statement
	runs    []replicator.Execution
	surplus []string
	want    string
}

func (x statementCase) wants(finding string) statementCase {
	x.want = finding
	return x
}

// Each case breaks one promise about the statements that servers run and their answers, or comes close to it and
// breaks none. Guards against a checker that accepts answers to other statements, statements that nobody sent and
// values of other sessions.
func TestCheckStatements(t *testing.T) {
	execution := func(s *Statement, e *replicator.Execution) {
		s.Mode, s.Shape, s.Arguments = "READ", "q  x", "i"
		e.Text, e.Mode, e.Shape, e.Arguments = "EXEC r i", "READ", "q  x", "i"
	}
	// A transaction in which two sessions write.
	shared := two(func(*Statement, *replicator.Execution) {})
	other, run := sentStatement("o.1", "WRITE x 2", func(s *Statement, e *replicator.Execution) { s.Transaction, e.Transaction = 1, 4 })
	shared.sent, shared.runs = append(shared.sent, other), append(shared.runs, run)
	for name, x := range map[string]statementCase{
		"answered":              one("READ x", nil),
		"odd text":              one("WRITE x\n 1 \r", nil),
		"not run":               {sent: one("READ x", func(s *Statement, _ *replicator.Execution) { s.Answered = false }).sent},
		"refused":               {sent: one("READ x", func(s *Statement, _ *replicator.Execution) { s.Code = "BUSY" }).sent},
		"signed anew":           one("READ x", func(s *Statement, e *replicator.Execution) { s.Signature, e.SecondSignature = "sig.s.1.2", "sig.s.1.2" }),
		"unknown id":            statementCase{runs: one("READ x", nil).runs}.wants("unasked: a server ran \"READ x\" as \"s.1\""),
		"changed text":          one("WRITE x 1  ", func(_ *Statement, e *replicator.Execution) { e.Text = "WRITE x 1 " }).wants("unasked: a server ran s.1"),
		"cut text":              one("WRITE x 1\nROLLBACK", func(_ *Statement, e *replicator.Execution) { e.Text = "WRITE x 1" }).wants("unasked: a server ran s.1"),
		"changed arguments":     one("EXEC a i", func(s *Statement, e *replicator.Execution) { execution(s, e); e.Arguments = "j" }).wants("unasked: a server ran s.1 with"),
		"plain for execution":   one("EXEC a i", func(s *Statement, e *replicator.Execution) { execution(s, e); e.Keyword, e.Text = "READ", "READ i" }).wants("unasked: a server ran s.1 as"),
		"an entry host's read":  one("READ x", func(s *Statement, e *replicator.Execution) { s.Answered, e.ID = false, proxyID }),
		"an entry host's write": one("WRITE x 1", func(s *Statement, e *replicator.Execution) { s.Answered, e.ID = false, proxyID }).wants("unasked: a server ran \"WRITE"),
		"an entry host's commit of writes": one("COMMIT", func(s *Statement, e *replicator.Execution) {
			s.Answered, e.ID, e.Writes = false, proxyID, 1
		}).wants("unasked: a server ran \"COMMIT"),
		"renamed":                          one("EXEC a i", execution),
		"another shape":                    one("EXEC a i", func(s *Statement, e *replicator.Execution) { execution(s, e); e.Shape = "x" }).wants("pinned: s.1 ran READ"),
		"another kind":                     one("EXEC a i", func(s *Statement, e *replicator.Execution) { execution(s, e); e.Mode = "WRITE" }).wants("pinned: s.1 ran WRITE"),
		"prepared and unknown":             {sent: one("EXEC a i", func(s *Statement, e *replicator.Execution) { execution(s, e); s.Code = "NOSTMT" }).sent, want: "pinned: s.1 finds no"},
		"not prepared and unknown":         {sent: one("EXEC a i", func(s *Statement, _ *replicator.Execution) { s.Code = "NOSTMT" }).sent},
		"other values":                     one("READ x", func(_ *Statement, e *replicator.Execution) { e.Values = map[string]string{"who": "s", "n": "a"} }).wants("pinned: s.1 ran with the values"),
		"values of no session":             one("READ x", func(_ *Statement, e *replicator.Execution) { e.Values = nil }).wants("pinned: s.1 ran with the values"),
		"other values after a failure":     one("READ x", func(s *Statement, e *replicator.Execution) { s.Uncertain, e.Values = true, nil }),
		"transaction":                      two(func(*Statement, *replicator.Execution) {}),
		"transaction on two connections":   two(func(_ *Statement, e *replicator.Execution) { e.Connection, e.Transaction = 2, 5 }).wants("pinned: s.3 ran in transaction 5"),
		"outside its transaction":          two(func(_ *Statement, e *replicator.Execution) { e.Transaction = 0 }).wants("pinned: s.3 ran outside"),
		"in another's transaction":         shared.wants("pinned: o.1 ran in a transaction of s"),
		"no signature":                     one("READ x", func(s *Statement, e *replicator.Execution) { s.Signature, e.Signature = "", "" }).wants("mixed: s.1"),
		"an entry host's signature":        one("READ x", func(s *Statement, _ *replicator.Execution) { s.Signature = "-" }).wants("mixed: s.1"),
		"signature of another statement":   one("READ x", func(s *Statement, _ *replicator.Execution) { s.Signature = "sig.s.0.1" }).wants("mixed: s.1"),
		"signature that no server sent":    one("COMMIT", func(s *Statement, _ *replicator.Execution) { s.Signature = "sig.s.1.9" }).wants("mixed: s.1"),
		"other rows":                       one("READ x", func(s *Statement, _ *replicator.Execution) { s.Rows = []string{"7"} }).wants("mixed: s.1"),
		"succeeded and not run":            {sent: one("COMMIT", nil).sent, want: "mixed: s.1"},
		"message without a request":        {surplus: []string{"s received a message"}, want: "mixed: s received"},
		"answered by an entry host itself": {sent: one("SET n a", func(s *Statement, _ *replicator.Execution) { s.Signature = "-" }).sent},
	} {
		t.Run(name, func(t *testing.T) {
			truth := committed()
			truth.Executions = x.runs
			got := Check(&History{Statements: x.sent, Surplus: x.surplus}, truth)
			switch {
			case x.want == "" && len(got) > 0:
				t.Errorf("got %q, want no findings", got)
			case x.want != "" && (len(got) == 0 || !strings.HasPrefix(got[0], x.want)):
				t.Errorf("got %q, want %q", got, x.want)
			}
		})
	}
}
