package caller

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cuminwick/cuminwick/internal/soak/checker"
)

// Recorder collects the history of the callers of one group.
type Recorder struct {
	mu      sync.Mutex
	history checker.History
	// value is the last value that nextValue returned.
	value atomic.Int64
}

// Update calls f with the history while it holds the recorder's lock.
func (r *Recorder) Update(f func(h *checker.History)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(&r.history)
}

// nextValue returns a value higher than all that it returned before. The checker relies on growing
// values of each item.
func (r *Recorder) nextValue() int { return int(r.value.Add(1)) }

// History returns the history without locking, so only once all sessions have ended.
func (r *Recorder) History() *checker.History { return &r.history }

// recordServed records how a statement, or the opening of the session, was served.
func (s *Session) recordServed(x checker.Service, sent time.Time) {
	r := checker.Served{Host: s.Host.Name, Service: x, Sent: sent, Ended: time.Now()}
	s.Recorder.Update(func(h *checker.History) { h.Served = append(h.Served, r) })
}

// recordStrange records an answer that doesn't match its request.
func (s *Session) recordStrange(format string, a ...any) {
	s.Recorder.Update(func(h *checker.History) { h.UnexpectedAnswers = append(h.UnexpectedAnswers, fmt.Sprintf(format, a...)) })
}

// recordHeld records a statement that was refused as held, and an unexpected answer if a transaction is
// open: operators hold back no statement of an open transaction.
func (s *Session) recordHeld(id, text string, sent time.Time) {
	s.Recorder.Update(func(h *checker.History) {
		h.Held = append(h.Held, checker.HeldAnswer{Session: s.Name, Database: s.Database, Text: text, Sent: sent})
		if s.tx.open {
			h.UnexpectedAnswers = append(h.UnexpectedAnswers, fmt.Sprintf("strange: %s is held in an open transaction", id))
		}
	})
}

// recordWrites records the writes of the transaction with the given outcome.
func (s *Session) recordWrites(o checker.Outcome) {
	l := s.tx.writes
	s.tx.writes = nil
	for i := range l {
		l[i].Outcome, l[i].Answered = o, time.Now()
	}
	s.Recorder.Update(func(h *checker.History) { h.Writes = append(h.Writes, l...) })
}
