package server

import (
	"bytes"
	"strconv"
	"strings"
	"testing"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/session/replayer"
	"github.com/cuminwick/cuminwick/internal/statement/classifier"
	"github.com/cuminwick/cuminwick/internal/wire/batcher"
)

// messages is what the first byte of a fuzzed message chooses from.
var messages = []byte{batcher.Parse, batcher.Bind, batcher.Describe, batcher.Execute, batcher.Close}

// planAll plans the messages in b: a type, a length and a body each.
func planAll(s *statements, b []byte) (*plan, []batcher.Batch, error) {
	l := planner{statements: s, plan: &plan{}}
	var given []batcher.Batch
	for len(b) > 2 {
		n := min(int(b[1]), len(b)-2)
		var m batcher.Batch
		m.AddBody(messages[int(b[0])%len(messages)], batcher.Pass, b[2:2+n])
		if err := l.add(&m, 0); err != nil {
			return l.plan, given, err
		}
		given = append(given, m)
		b = b[2+n:]
	}
	return l.plan, given, nil
}

func step(t byte, body string) string {
	return string([]byte{t, byte(len(body))}) + body
}

func portals(n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(step(1, strconv.Itoa(i)+"\x00s\x00\x00\x00\x00\x00\x00\x00"))
	}
	return b.String()
}

func newStatements() *statements {
	return &statements{classifier: new(classifier.Classifier), replay: new(replayer.Session)}
}

func TestPlanRefuses(t *testing.T) {
	parse := step(0, "s\x00SELECT 1\x00\x00\x00")
	for _, c := range []struct {
		name string
		sent string
		want error
	}{
		{"parse without types", step(0, "s\x00SELECT 1\x00"), ErrMalformed},
		{"parse with fewer types than counted", step(0, "s\x00SELECT 1\x00\x00\x02\x00\x00\x00\x14"), ErrMalformed},
		{"parse without end", step(0, "s"), ErrMalformed},
		{"parse of a name twice", parse + parse, replayer.ErrDuplicateStatement},
		{"bind of an unknown statement", step(1, "\x00other\x00\x00\x00\x00\x00\x00\x00"), ErrUnknownStatement},
		{"bind without end", parse + step(1, "\x00s"), ErrMalformed},
		{"bind of too many portals", parse + portals(maximumPortals+1), ErrTooManyPortals},
		{"describe of neither statement nor portal", parse + step(2, "Xs\x00"), ErrMalformed},
		{"describe of an unknown statement", step(2, "Sother\x00"), ErrUnknownStatement},
		{"execute without end", step(3, "p"), ErrMalformed},
		{"close of neither statement nor portal", parse + step(4, "Xs\x00"), ErrMalformed},
	} {
		t.Run(c.name, func(t *testing.T) {
			if _, _, err := planAll(newStatements(), []byte(c.sent)); !errors.Is(err, c.want) {
				t.Errorf("error %v, want %v", err, c.want)
			}
		})
	}
}

// Messages that only name portals go on as the caller sent them; of the others
// each leaves one that answers it; a refusal has a SQLSTATE of its own.
func FuzzPlan(f *testing.F) {
	parse := step(0, "s\x00SELECT $1::bigint\x00\x00\x01\x00\x00\x00\x14")
	f.Add([]byte(parse + step(1, "p\x00s\x00\x00\x00\x00\x00\x00\x00") + step(2, "Pp\x00") + step(3, "p\x00\x00\x00\x00\x00") + step(4, "Pp\x00")))
	f.Add([]byte(parse + step(2, "Ss\x00") + step(4, "Ss\x00") + parse))
	f.Add([]byte(step(0, "\x00BEGIN\x00\x00\x00") + step(1, "\x00\x00\x00\x00\x00\x00\x00\x00")))
	f.Add([]byte(step(2, "S\x00") + step(4, "S\x00")))
	f.Fuzz(func(t *testing.T, b []byte) {
		s := newStatements()
		p, given, err := planAll(s, b)
		if err != nil && codeFor(err) == codeCannotConnect {
			t.Errorf("untyped error %v", err)
		}
		if len(s.portals) > maximumPortals {
			t.Errorf("%d portals", len(s.portals))
		}
		var answers []int
		for i, m := range p.batch.Items {
			if m.Answer != batcher.Swallow {
				answers = append(answers, i)
			}
		}
		if err != nil {
			return
		}
		if len(answers) != len(given) {
			t.Fatalf("%d messages answered by %d", len(given), len(answers))
		}
		for i := range given {
			o := given[i].Items[0].Type
			if o != batcher.Execute && (o == batcher.Parse || o == batcher.Bind || given[i].Body(0)[0] != 'P') {
				continue
			}
			if !bytes.Equal(given[i].Raw(0), p.batch.Raw(answers[i])) {
				t.Errorf("%q sent as %q", given[i].Raw(0), p.batch.Raw(answers[i]))
			}
		}
	})
}
