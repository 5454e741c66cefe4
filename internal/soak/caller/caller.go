// Package caller drives sessions at entry hosts as applications do: short ones, many of
// which leave in the middle of what they asked for, and writes down what it was told.
package caller

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/soak/checker"
)

const (
	// dialTimeout and answerTimeout bound what a caller waits for.
	dialTimeout   = 2 * time.Second
	answerTimeout = 8 * time.Second
	// items is how many things are written and read in each group: few, so that sessions
	// meet at them.
	items = 4
	// thinking bounds the pause inside a transaction, in milliseconds.
	thinking = 300
	// leaving is how many of a hundred statements their callers don't wait for.
	leaving = 10
)

// Recorder gathers what the callers of one group saw.
type Recorder struct {
	mu      sync.Mutex
	history checker.History
	value   atomic.Int64
}

// Update adds to the history under its lock.
func (r *Recorder) Update(f func(h *checker.History)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(&r.history)
}

// next returns a value that is higher than all before.
func (r *Recorder) next() int { return int(r.value.Add(1)) }

// Host is an entry host as callers reach it.
type Host struct {
	Name    string
	Address string
}

// Session is one connection of a caller. Its exported fields are set before Work.
type Session struct {
	// Name begins the ids of its statements.
	Name     string
	Host     Host
	Database string
	// Freshness is what the reads of the database must see.
	Freshness checker.Freshness
	Recorder  *Recorder
	Random    *rand.Rand

	conn  net.Conn
	lines *bufio.Reader
	n     int
	// tx is the open transaction.
	tx transaction
}

// transaction is what a session has written in one.
type transaction struct {
	open   bool
	began  time.Time
	writes []checker.Write
}

// errGone is a connection that broke, or on which nothing came in time.
const errGone = errors.ConstError("connection broke")

// errLeft is a caller that left by itself.
const errLeft = errors.ConstError("caller left")

// Open starts the session, and returns false if its host doesn't serve the database.
func (s *Session) Open() (bool, error) {
	c, err := net.DialTimeout("tcp4", s.Host.Address, dialTimeout)
	if err != nil {
		return false, err
	}
	s.conn, s.lines = c, bufio.NewReader(c)
	c.SetDeadline(time.Now().Add(answerTimeout))
	if _, err := fmt.Fprintf(c, "STARTUP %s %s\r\n", s.Database, s.Name); err != nil {
		return false, err
	}
	l, err := s.line()
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

// Close ends it.
func (s *Session) Close() {
	if s.conn != nil {
		s.conn.Close()
	}
}

// Run does so many operations, and ends at the first that breaks the session.
func (s *Session) Run(operations int) {
	defer s.Close()
	if ok, err := s.Open(); err != nil || !ok {
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
			s.undone(checker.OutcomeNotRun) // no commit was asked for
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
	w := checker.Write{Session: s.Name, Item: "x0", Value: s.Recorder.next()}
	a, err := s.ask(fmt.Sprintf("WRITE x0 %d", w.Value))
	w.ID = fmt.Sprintf("%s.%d", s.Name, s.n)
	w.Outcome, w.Answered = outcome(a, err), time.Now()
	s.Recorder.Update(func(h *checker.History) { h.Writes = append(h.Writes, w) })
	if w.Outcome != checker.OutcomeRan {
		return false
	}
	a, err = s.ask("READ x0")
	return err == nil && a.code == ""
}

func (s *Session) operate() error {
	item := fmt.Sprintf("x%d", s.Random.IntN(items))
	switch s.Random.IntN(8) {
	case 0, 1:
		return s.write(item)
	case 2:
		return s.transact(item)
	case 3:
		return s.read("EXEC look "+item, item)
	}
	return s.read("READ "+item, item)
}

// answer is what came back for one statement.
type answer struct {
	row  string
	code string
}

// ask sends one statement and waits for its answer.
func (s *Session) ask(text string) (answer, error) {
	s.n++
	id := fmt.Sprintf("%s.%d", s.Name, s.n)
	sent := time.Now()
	s.conn.SetDeadline(sent.Add(answerTimeout))
	if _, err := fmt.Fprintf(s.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return answer{}, errGone
	}
	if s.Random.IntN(100) < leaving && s.leaves(text) {
		return answer{}, errLeft
	}
	a, err := s.await(id, text)
	if err != nil {
		if s.tx.open {
			sent = s.tx.began // what is cut off is the transaction
		}
		s.Recorder.Update(func(h *checker.History) {
			h.Disconnects = append(h.Disconnects, checker.Disconnect{Host: s.Host.Name, ID: id, Sent: sent, Ended: time.Now()})
		})
		return a, errGone
	}
	return a, nil
}

// leaves reports whether a caller may leave without the answer, and does so. Work only
// starts once the values are set.
func (s *Session) leaves(text string) bool {
	if s.n <= 2 || strings.HasPrefix(text, "BEGIN") {
		return false
	}
	time.Sleep(time.Duration(s.Random.IntN(5)) * time.Millisecond)
	s.conn.Close()
	return true
}

// await reads an answer. It must be the one to this statement, with the server's word.
func (s *Session) await(id, text string) (answer, error) {
	var a answer
	signature := ""
	for {
		l, err := s.line()
		if err != nil {
			return a, err
		}
		word, rest, _ := strings.Cut(l, " ")
		switch word {
		case "ROW":
			a.row = rest
		case "DONE":
			signature = rest
		case "ERR":
			a.code, _, _ = strings.Cut(rest, " ")
		case "READY":
			if a.code == "" && signed(text) && signature != "sig."+id {
				s.Recorder.Update(func(h *checker.History) {
					h.UnexpectedAnswers = append(h.UnexpectedAnswers, fmt.Sprintf("strange: %s (%s) got the answer %q", id, text, signature))
				})
			}
			return a, nil
		}
	}
}

// signed reports whether only a server may answer the statement.
func signed(text string) bool {
	word, _, _ := strings.Cut(text, " ")
	return word == "READ" || word == "WRITE" || word == "EXEC" || word == "COMMIT"
}

func (s *Session) line() (string, error) {
	l, err := s.lines.ReadString('\n')
	return strings.TrimRight(l, "\r\n"), err
}

// outcome is what an answer says of a write.
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

// write makes one write by itself.
func (s *Session) write(item string) error {
	w := checker.Write{Session: s.Name, Item: item, Value: s.Recorder.next()}
	a, err := s.ask(fmt.Sprintf("WRITE %s %d", item, w.Value))
	w.ID = fmt.Sprintf("%s.%d", s.Name, s.n)
	w.Outcome, w.Answered = outcome(a, err), time.Now()
	s.Recorder.Update(func(h *checker.History) { h.Writes = append(h.Writes, w) })
	return err
}

// read makes one read and notes what it saw.
func (s *Session) read(text, item string) error {
	sent := time.Now()
	if s.tx.open {
		sent = s.tx.began
	}
	a, err := s.ask(text)
	if err != nil || a.code != "" {
		return err
	}
	r := checker.Read{ID: fmt.Sprintf("%s.%d", s.Name, s.n), Session: s.Name, Item: item, Freshness: s.Freshness, Sent: sent}
	if _, err := fmt.Sscan(a.row, &r.Value); err != nil {
		s.Recorder.Update(func(h *checker.History) {
			h.UnexpectedAnswers = append(h.UnexpectedAnswers, fmt.Sprintf("strange: %s read %q", r.ID, a.row))
		})
		return nil
	}
	s.Recorder.Update(func(h *checker.History) { h.Reads = append(h.Reads, r) })
	return nil
}

// transact writes twice and reads in a transaction, and commits it or rolls it back.
func (s *Session) transact(item string) error {
	began := time.Now()
	if a, err := s.ask("BEGIN"); err != nil || a.code != "" {
		return err
	}
	s.tx = transaction{open: true, began: began}
	defer func() { s.tx = transaction{} }()
	for range 2 {
		w := checker.Write{Session: s.Name, Item: item, Value: s.Recorder.next()}
		a, err := s.ask(fmt.Sprintf("WRITE %s %d", item, w.Value))
		w.ID = fmt.Sprintf("%s.%d", s.Name, s.n)
		s.tx.writes = append(s.tx.writes, w)
		if err != nil || a.code != "" {
			return s.rollBack(err)
		}
		if err := s.read("READ "+item, item); err != nil {
			return s.rollBack(err)
		}
		time.Sleep(time.Duration(s.Random.IntN(thinking)) * time.Millisecond)
	}
	if s.Random.IntN(4) == 0 {
		return s.rollBack(nil)
	}
	a, err := s.ask("COMMIT")
	s.undone(outcome(a, err))
	return err
}

// rollBack ends a transaction that was never asked to commit.
func (s *Session) rollBack(err error) error {
	s.undone(checker.OutcomeNotRun)
	if err != nil {
		return err
	}
	_, err = s.ask("ROLLBACK")
	return err
}

// undone notes how the writes of the transaction ended.
func (s *Session) undone(o checker.Outcome) {
	l := s.tx.writes
	s.tx.writes = nil
	for i := range l {
		l[i].Outcome, l[i].Answered = o, time.Now()
	}
	s.Recorder.Update(func(h *checker.History) { h.Writes = append(h.Writes, l...) })
}

// History returns what was seen, once all sessions have ended.
func (r *Recorder) History() *checker.History { return &r.history }
