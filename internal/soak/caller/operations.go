package caller

import (
	"fmt"
	"time"

	"github.com/cuminwick/cuminwick/internal/soak/checker"
)

// operate carries out one random operation: a write, a transaction, or a read, which may use the
// prepared statement.
func (s *Session) operate() error {
	if s.chance(s.PipelinePercent) {
		return s.pipeline()
	}
	if s.chance(s.OddPercent) {
		return s.operateOdd()
	}
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

// write makes one write outside a transaction and records its outcome.
func (s *Session) write(item string) error { return s.writeWith("WRITE", item) }

// writeWith makes one write outside a transaction, with a text that starts with the command, and records its
// outcome.
func (s *Session) writeWith(command, item string) error {
	w := checker.Write{Session: s.Name, Item: item, Value: s.Recorder.nextValue()}
	a, err := s.ask(command + " " + item + " " + s.data(w.Value))
	w.ID = fmt.Sprintf("%s.%d", s.Name, s.statements)
	w.Outcome, w.Answered = outcome(a, err), time.Now()
	s.Recorder.Update(func(h *checker.History) { h.Writes = append(h.Writes, w) })
	return err
}

// read makes one read and records the value. The read counts as sent when its transaction began.
func (s *Session) read(text, item string) error {
	sent := time.Now()
	if s.tx.open {
		sent = s.tx.began
	}
	a, err := s.ask(text)
	if err != nil || a.code != "" {
		return err
	}
	r := checker.Read{ID: fmt.Sprintf("%s.%d", s.Name, s.statements), Session: s.Name, Item: item, Freshness: s.Freshness, Sent: sent}
	if _, err := fmt.Sscan(a.row, &r.Value); err != nil {
		s.recordStrange("strange: %s read %q", r.ID, a.row)
		return nil
	}
	s.Recorder.Update(func(h *checker.History) { h.Reads = append(h.Reads, r) })
	return nil
}

// transact writes and reads the item twice in a transaction and commits it, or rolls it back at
// random or after an error.
func (s *Session) transact(item string) error {
	began := time.Now()
	a, err := s.ask("BEGIN")
	if a.stopping {
		return errHostStopping
	}
	if err != nil || a.code != "" {
		return err
	}
	s.tx = transaction{open: true, began: began}
	defer func() { s.tx = transaction{} }()
	for range 2 {
		w := checker.Write{Session: s.Name, Item: item, Value: s.Recorder.nextValue()}
		a, err := s.ask("WRITE " + item + " " + s.data(w.Value))
		w.ID = fmt.Sprintf("%s.%d", s.Name, s.statements)
		s.tx.writes = append(s.tx.writes, w)
		if err != nil || a.code != "" {
			return s.rollBack(err)
		}
		if err := s.read("READ "+item, item); err != nil {
			return s.rollBack(err)
		}
		if err := s.rest(time.Duration(s.Random.IntN(maximumThinkTimeMilliseconds)) * time.Millisecond); err != nil {
			return s.rollBack(err)
		}
	}
	if s.Random.IntN(4) == 0 {
		return s.rollBack(nil)
	}
	a, err = s.ask("COMMIT")
	s.recordWrites(outcome(a, err))
	return err
}

// rollBack records the writes of a transaction for which no COMMIT was sent as not run. It sends
// ROLLBACK unless err is set, which it returns.
func (s *Session) rollBack(err error) error {
	s.recordWrites(checker.OutcomeNotRun)
	if err != nil {
		return err
	}
	_, err = s.ask("ROLLBACK")
	return err
}
