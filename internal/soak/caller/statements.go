package caller

import (
	"bytes"
	"fmt"
	"maps"
	"os"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/soak/checker"
)

// prepared is a prepared statement.
type prepared struct {
	mode, shape string
}

// stateIdle is the state of a session without an open transaction.
const stateIdle = "I"

// errSurplus is returned after a message that no request had asked for.
const errSurplus = errors.ConstError("message while no request is outstanding")

// send sends statements in one write and records them.
func (s *Session) send(texts ...string) error {
	var b []byte
	var l []*checker.Statement
	for _, t := range texts {
		s.statements++
		x := s.statement(fmt.Sprintf("%s.%d", s.Name, s.statements), t)
		b = fmt.Appendf(b, "QUERY %s %s\r\n", x.ID, t)
		l = append(l, x)
	}
	s.outstanding = append(s.outstanding, l...)
	s.Recorder.Update(func(h *checker.History) { h.Statements = append(h.Statements, l...) })
	s.conn.SetDeadline(time.Now().Add(answerTimeout))
	_, err := s.conn.Write(b)
	return err
}

// statement returns the record of a statement that is about to be sent, and changes the session's state as if it
// succeeded.
func (s *Session) statement(id, text string) *checker.Statement {
	x := &checker.Statement{ID: id, Text: text, Transaction: s.transaction, Values: s.values}
	keyword, rest, _ := strings.Cut(text, " ")
	name, argument, _ := strings.Cut(rest, " ")
	switch keyword {
	case "BEGIN":
		s.transactions++
		s.transaction = s.transactions
	case "COMMIT", "ROLLBACK":
		s.transaction = 0
	case "SET":
		s.values = with(s.values, name, argument)
	case "PREPARE":
		mode, shape, _ := strings.Cut(argument, " ")
		s.prepared = with(s.prepared, name, prepared{mode: mode, shape: shape})
	case "DEALLOC":
		s.prepared = maps.Clone(s.prepared)
		delete(s.prepared, rest)
	case "EXEC":
		p := s.prepared[name]
		x.Mode, x.Shape, x.Arguments = p.mode, p.shape, argument
	}
	return x
}

// with returns a copy of m with a further entry.
func with[V any](m map[string]V, name string, value V) map[string]V {
	c := maps.Clone(m)
	if c == nil {
		c = make(map[string]V)
	}
	c[name] = value
	return c
}

// recordAnswer records that the first outstanding statement was answered. What was sent after one that changes
// the session and failed may run in another state than was expected.
func (s *Session) recordAnswer(code string) {
	x := s.outstanding[0]
	s.outstanding = s.outstanding[1:]
	x.Answered, x.Code = true, code
	if code != "" && !signed(x.Text) {
		markUncertain(s.outstanding)
	}
	if s.state == stateIdle && len(s.outstanding) == 0 {
		s.transaction = 0
	}
}

func markUncertain(l []*checker.Statement) {
	for _, x := range l {
		x.Uncertain = true
	}
}

// minimumRest is the time in which a surplus message that was sent with an answer arrives.
const minimumRest = time.Millisecond

// rest pauses. It records a message that arrives meanwhile, and returns errSurplus then. A close by the host
// is left to the next statement.
func (s *Session) rest(pause time.Duration) error {
	end := time.Now().Add(max(pause, minimumRest))
	s.conn.SetReadDeadline(end)
	const errorStart = "ERR "
	b, err := s.lines.Peek(len(errorStart))
	switch {
	case len(b) > 0 && !bytes.Equal(b, []byte(errorStart)):
		x := fmt.Sprintf("%s received %.100q after statement %d while no request was outstanding", s.Name, s.surplus(), s.statements)
		s.Recorder.Update(func(h *checker.History) { h.Surplus = append(h.Surplus, x) })
		return errSurplus
	case err != nil && !errors.Is(err, os.ErrDeadlineExceeded):
		time.Sleep(time.Until(end))
	}
	return nil
}

// surplus returns what has arrived.
func (s *Session) surplus() []byte {
	b, _ := s.lines.Peek(s.lines.Buffered())
	return b
}

// chance returns true in a share of the calls.
func (s *Session) chance(percent int) bool { return percent > 0 && s.Random.IntN(100) < percent }
