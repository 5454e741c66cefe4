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

// messageTypes are the types from which the first byte of a fuzzed message chooses.
var messageTypes = []byte{batcher.Parse, batcher.Bind, batcher.Describe, batcher.Execute, batcher.Close}

// planAll plans the messages encoded in b, each as a type, a length and a body.
func planAll(s *statements, b []byte) (*plan, []batcher.Batch, error) {
	l := planner{statements: s, plan: &plan{}}
	var sent []batcher.Batch
	for len(b) > 2 {
		n := min(int(b[1]), len(b)-2)
		var m batcher.Batch
		m.AddBody(messageTypes[int(b[0])%len(messageTypes)], batcher.Pass, b[2:2+n])
		if err := l.add(&m, 0); err != nil {
			return l.plan, sent, err
		}
		sent = append(sent, m)
		b = b[2+n:]
	}
	return l.plan, sent, nil
}

func encodeMessage(t byte, body string) string {
	return string([]byte{t, byte(len(body))}) + body
}

func bindPortals(n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(encodeMessage(1, strconv.Itoa(i)+"\x00s\x00\x00\x00\x00\x00\x00\x00"))
	}
	return b.String()
}

func newStatements() *statements {
	return &statements{classifier: new(classifier.Classifier), replay: new(replayer.Session)}
}

// A message of a caller that is malformed, names an unknown statement or exceeds a limit is refused
// with its own error. Planned nevertheless, it would fail at a backend server or exhaust memory.
func TestPlanRefuses(t *testing.T) {
	parse := encodeMessage(0, "s\x00SELECT 1\x00\x00\x00")
	for _, c := range []struct {
		name string
		sent string
		want error
	}{
		{"parse without types", encodeMessage(0, "s\x00SELECT 1\x00"), ErrMalformed},
		{"parse with fewer types than counted", encodeMessage(0, "s\x00SELECT 1\x00\x00\x02\x00\x00\x00\x14"), ErrMalformed},
		{"parse without end", encodeMessage(0, "s"), ErrMalformed},
		{"parse of a name twice", parse + parse, replayer.ErrDuplicateStatement},
		{"bind of an unknown statement", encodeMessage(1, "\x00other\x00\x00\x00\x00\x00\x00\x00"), ErrUnknownStatement},
		{"bind without end", parse + encodeMessage(1, "\x00s"), ErrMalformed},
		{"bind of too many portals", parse + bindPortals(maximumPortals+1), ErrTooManyPortals},
		{"describe of neither statement nor portal", parse + encodeMessage(2, "Xs\x00"), ErrMalformed},
		{"describe of an unknown statement", encodeMessage(2, "Sother\x00"), ErrUnknownStatement},
		{"execute without end", encodeMessage(3, "p"), ErrMalformed},
		{"close of neither statement nor portal", parse + encodeMessage(4, "Xs\x00"), ErrMalformed},
	} {
		t.Run(c.name, func(t *testing.T) {
			if _, _, err := planAll(newStatements(), []byte(c.sent)); !errors.Is(err, c.want) {
				t.Errorf("error %v, want %v", err, c.want)
			}
		})
	}
}

// A message that only names portals must be sent as the caller sent it, any other message must have
// exactly one item that answers it, and each refusal must have a SQLSTATE of its own. Otherwise
// answers and messages would get out of step.
func FuzzPlan(f *testing.F) {
	parse := encodeMessage(0, "s\x00SELECT $1::bigint\x00\x00\x01\x00\x00\x00\x14")
	f.Add([]byte(parse + encodeMessage(1, "p\x00s\x00\x00\x00\x00\x00\x00\x00") + encodeMessage(2, "Pp\x00") + encodeMessage(3, "p\x00\x00\x00\x00\x00") + encodeMessage(4, "Pp\x00")))
	f.Add([]byte(parse + encodeMessage(2, "Ss\x00") + encodeMessage(4, "Ss\x00") + parse))
	f.Add([]byte(encodeMessage(0, "\x00BEGIN\x00\x00\x00") + encodeMessage(1, "\x00\x00\x00\x00\x00\x00\x00\x00")))
	f.Add([]byte(encodeMessage(2, "S\x00") + encodeMessage(4, "S\x00")))
	f.Fuzz(func(t *testing.T, b []byte) {
		s := newStatements()
		p, sent, err := planAll(s, b)
		if err != nil && codeFor(err) == codeCannotConnect {
			t.Errorf("error without a SQLSTATE of its own: %v", err)
		}
		if len(s.portals) > maximumPortals {
			t.Errorf("%d open portals, more than the limit", len(s.portals))
		}
		var answers []int
		for i, m := range p.batch.Items {
			if m.Answer != batcher.Discard {
				answers = append(answers, i)
			}
		}
		if err != nil {
			return
		}
		if len(answers) != len(sent) {
			t.Fatalf("%d messages sent, %d items that answer them", len(sent), len(answers))
		}
		for i := range sent {
			o := sent[i].Items[0].Type
			if o != batcher.Execute && (o == batcher.Parse || o == batcher.Bind || sent[i].Body(0)[0] != 'P') {
				continue
			}
			if !bytes.Equal(sent[i].Raw(0), p.batch.Raw(answers[i])) {
				t.Errorf("%q was sent as %q", sent[i].Raw(0), p.batch.Raw(answers[i]))
			}
		}
	})
}
