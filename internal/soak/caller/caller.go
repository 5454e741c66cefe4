// Package caller runs short sessions at entry hosts as applications do, some of which disconnect
// without waiting for an answer, and records what they observed for the checker.
package caller

import (
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/soak/checker"
	"github.com/cuminwick/cuminwick/internal/soak/framer"
)

const (
	// dialTimeout and answerTimeout are the maximum times that a caller waits.
	dialTimeout   = 2 * time.Second
	answerTimeout = 8 * time.Second
	// items is the number of distinct items that are written and read in each group: few, so that
	// sessions use the same ones at the same time.
	items = 4
	// maximumThinkTimeMilliseconds is the maximum pause between the statements of a transaction.
	maximumThinkTimeMilliseconds = 300
	// disconnectPercent is the share of statements after which the caller disconnects without
	// waiting for the answer.
	disconnectPercent = 10
)

// Host is the name of an entry host and the address at which callers reach it.
type Host struct {
	Name    string
	Address string
}

// Session is one connection of a caller to an entry host. Its exported fields are set before Open,
// Run or Probe.
type Session struct {
	// Name identifies the session and is the first part of the ids of its statements.
	Name string
	// Key is the caller's key, Name if empty.
	Key      string
	Host     Host
	Database string
	// Freshness states which commits the reads of the database must see.
	Freshness checker.Freshness
	// Recorder receives what the session observes.
	Recorder *Recorder
	// Random decides the operations, pauses and disconnects.
	Random *rand.Rand
	// MaximumPause is the maximum pause between two operations, zero for none.
	MaximumPause time.Duration
	// OddPercent is the share of operations whose texts hold odd bytes, PipelinePercent that of statements sent
	// several at once.
	OddPercent, PipelinePercent int

	conn  net.Conn
	lines *framer.Reader
	// statements is the number of statements sent; it is the second part of a statement's id.
	statements int
	// outstanding holds the statements without an answer yet, in the order in which they were sent.
	outstanding []*checker.Statement
	// values and prepared are the session's values and prepared statements, by name.
	values   map[string]string
	prepared map[string]prepared
	// transactions is the number of transactions begun, transaction the number of the open one, zero without
	// one.
	transactions, transaction int
	// state is that of the last answer.
	state string
	// tx is the open transaction, or the zero value.
	tx transaction
}

// transaction is a session's open transaction with the writes whose outcome is not recorded yet.
type transaction struct {
	open bool
	// began is when BEGIN was sent.
	began  time.Time
	writes []checker.Write
}

// errConnectionBroken is returned for a connection that broke, or that received no answer within
// answerTimeout.
const errConnectionBroken = errors.ConstError("connection broke")

// errCallerDisconnected is returned after the session closed its connection without waiting for an
// answer.
const errCallerDisconnected = errors.ConstError("caller left")

// errRefused is returned after a statement that changes the session and failed.
const errRefused = errors.ConstError("session not changed")

// errHostStopping is returned after a refusal with which a stopping host ends the session.
const errHostStopping = errors.ConstError("host is stopping")

// Open connects and starts the session. It returns false if the host does not serve the database,
// and an error if the connection fails or the host answers otherwise.
func (s *Session) Open() (bool, error) {
	c, err := net.DialTimeout("tcp4", s.Host.Address, dialTimeout)
	if err != nil {
		return false, err
	}
	s.conn, s.lines = c, framer.New(c)
	c.SetDeadline(time.Now().Add(answerTimeout))
	key := s.Key
	if key == "" {
		key = s.Name
	}
	if _, err := fmt.Fprintf(c, "STARTUP %s %s\r\n", s.Database, key); err != nil {
		return false, err
	}
	l, err := s.lines.Next()
	switch {
	case err != nil:
		return false, err
	case strings.HasPrefix(l, "READY"):
		return true, nil
	case strings.HasPrefix(l, "ERR NODB"):
		return false, nil
	}
	return false, errors.Errorf("greeted by %q", l)
}

// Close closes the connection, if there is one. What was sent after a statement that changes the session and wasn't
// answered may run in another state than was expected, as that statement may have failed.
func (s *Session) Close() {
	if i := slices.IndexFunc(s.outstanding, func(x *checker.Statement) bool { return !signed(x.Text) }); i >= 0 {
		markUncertain(s.outstanding[i+1:])
	}
	if s.conn != nil {
		s.conn.Close()
	}
}

// Run opens the session and carries out the given number of operations. It ends early if an
// operation breaks the session.
func (s *Session) Run(operations int) {
	defer s.Close()
	sent := time.Now()
	if ok, err := s.Open(); err != nil || !ok {
		s.recordServed(checker.ServiceNotOpened, sent)
		return
	}
	if a, err := s.ask("SET who " + s.Name); err != nil || a.code != "" {
		return
	}
	if a, err := s.ask("PREPARE look READ q"); err != nil || a.code != "" {
		return
	}
	for range operations {
		if s.operate() != nil {
			s.recordWrites(checker.OutcomeNotRun) // no COMMIT was sent
			return
		}
		pause := time.Duration(0)
		if s.MaximumPause > 0 {
			pause = time.Duration(s.Random.Int64N(int64(s.MaximumPause)))
		}
		if s.state != stateIdle || s.rest(pause) != nil {
			return
		}
	}
	_, _ = fmt.Fprint(s.conn, "BYE\r\n")
}

// Probe makes one write and one read, and reports whether both were answered.
func (s *Session) Probe() bool {
	if ok, err := s.Open(); err != nil || !ok {
		return false
	}
	if a, err := s.ask("SET who " + s.Name); err != nil || a.code != "" {
		return false
	}
	w := checker.Write{Session: s.Name, Item: "x0", Value: s.Recorder.nextValue()}
	a, err := s.ask(fmt.Sprintf("WRITE x0 %d", w.Value))
	w.ID = fmt.Sprintf("%s.%d", s.Name, s.statements)
	w.Outcome, w.Answered = outcome(a, err), time.Now()
	s.Recorder.Update(func(h *checker.History) { h.Writes = append(h.Writes, w) })
	if w.Outcome != checker.OutcomeRan {
		return false
	}
	a, err = s.ask("READ x0")
	return err == nil && a.code == ""
}

// IsHeld opens the session and reports whether a transaction is refused as held by the operators. It
// returns an error if it isn't answered, or is refused otherwise.
func (s *Session) IsHeld() (bool, error) {
	if ok, err := s.Open(); err != nil || !ok {
		return false, errors.Errorf("session not opened: %v", err)
	}
	a, err := s.ask("BEGIN")
	if err == nil && a.code != "" && !a.held {
		err = errors.Errorf("refused with %s", a.code)
	}
	return a.held, err
}

// answer is the result row or the error code that was received for one statement.
type answer struct {
	row  string
	code string
	// held reports that the statement was refused as held by the operators.
	held bool
	// stopping reports that the statement was refused as the host is stopping, which ends the session.
	stopping bool
}

// heldText is the part of an answer by which a statement held by the operators is recognized, stoppingText that of one
// refused by a stopping host.
const (
	heldText     = "is held by the operator"
	stoppingText = "the host is stopping"
)

// ask sends one statement and waits for its answer, unless the session disconnects at random. It
// records a connection that broke meanwhile.
func (s *Session) ask(text string) (answer, error) {
	sent := time.Now()
	if s.send(text) != nil {
		return answer{}, errConnectionBroken
	}
	if s.Random.IntN(100) < disconnectPercent && s.disconnect(text) {
		return answer{}, errCallerDisconnected
	}
	return s.receive(sent)
}

// receive waits for the answer to the first outstanding statement, which was sent at the given time.
func (s *Session) receive(sent time.Time) (answer, error) {
	id := s.outstanding[0].ID
	a, err := s.await(sent)
	if err != nil {
		x := checker.Disconnect{Host: s.Host.Name, ID: id, Sent: sent, StatementSent: sent, Ended: time.Now()}
		if s.tx.open {
			x.Sent = s.tx.began // the whole transaction was broken off
		}
		s.Recorder.Update(func(h *checker.History) { h.Disconnects = append(h.Disconnects, x) })
		s.recordServed(checker.ServiceBrokenOff, sent)
		return a, errConnectionBroken
	}
	switch outcome(a, nil) {
	case checker.OutcomeRan:
		s.recordServed(checker.ServiceAnswered, sent)
	case checker.OutcomeNotRun:
		s.recordServed(checker.ServiceRefused, sent)
	}
	return a, nil
}

// disconnect closes the connection after a short pause and returns true. It returns false and keeps
// the connection for the first two statements, which set up the session, and for BEGIN.
func (s *Session) disconnect(text string) bool {
	if s.statements <= 2 || strings.HasPrefix(text, "BEGIN") {
		return false
	}
	time.Sleep(time.Duration(s.Random.IntN(5)) * time.Millisecond)
	s.conn.Close()
	return true
}

// await reads the answer to the first outstanding statement. It records an unexpected answer if the signature of
// the server is not the one of this statement.
func (s *Session) await(sent time.Time) (answer, error) {
	var a answer
	x := s.outstanding[0]
	for {
		l, err := s.lines.Next()
		if err != nil {
			return a, err
		}
		keyword, rest, _ := strings.Cut(l, " ")
		if ended := x.Signature != "" || a.code != ""; ended != (keyword == "READY") {
			s.recordStrange("strange: %s (%.100q) got the message %.100q out of order", x.ID, x.Text, l)
		}
		switch keyword {
		case "ROW":
			x.Rows = append(x.Rows, rest)
		case "DONE":
			x.Signature = rest
		case "ERR":
			a.code, _, _ = strings.Cut(rest, " ")
			if a.held = strings.Contains(rest, heldText); a.held {
				s.recordHeld(x.ID, rest, sent)
			}
			a.stopping = strings.Contains(rest, stoppingText)
		case "READY":
			if a.code == "" && signed(x.Text) && !strings.HasPrefix(x.Signature, "sig."+x.ID+".") {
				s.recordStrange("strange: %s (%.100q) got the answer %q", x.ID, x.Text, x.Signature)
			}
			if len(x.Rows) > 0 {
				a.row = x.Rows[0]
			}
			s.state, _, _ = strings.Cut(rest, " ")
			s.recordAnswer(a.code)
			return a, nil
		default:
			s.recordStrange("strange: %s (%.100q) got the message %.100q", x.ID, x.Text, l)
		}
	}
}

// signed reports whether the answer to the statement must carry a server's signature, as an entry
// host may not answer it by itself.
func signed(text string) bool {
	keyword, _, _ := strings.Cut(text, " ")
	return keyword == "READ" || keyword == "WRITE" || keyword == "EXEC" || keyword == "COMMIT"
}

// outcome returns the outcome of a write that got the answer. Only the listed error codes say that
// it did not run.
func outcome(a answer, err error) checker.Outcome {
	switch {
	case err != nil:
		return checker.OutcomeUnknown
	case a.code == "":
		return checker.OutcomeRan
	}
	switch a.code {
	case "BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY":
		return checker.OutcomeNotRun
	}
	return checker.OutcomeUnknown
}
