package server

import (
	"strconv"
	"time"

	"github.com/cuminwick/cuminwick/internal/outcome/recorder"
)

// Counters counts callers' requests and cancels. Its methods are called from several goroutines and
// must not block.
type Counters interface {
	// Ended counts a request with its outcome and the time from its arrival to its answer.
	Ended(o recorder.Outcome, elapsed time.Duration)
	// Cancelled counts a cancel request. inProgress says that the session had a request in progress.
	Cancelled(inProgress bool)
}

// countRequest counts the current request, which ended with f if f isn't nil. A request without a
// recorded outcome, such as a statement inside a transaction, counts as run.
func (s *Session) countRequest(f *failure, elapsed time.Duration) {
	if s.Counters == nil {
		return
	}
	o := recorder.Ran
	switch {
	case f != nil:
		o = f.outcome
	case s.lastOutcome.request == s.request:
		o = s.lastOutcome.outcome
	case s.errored:
		o = recorder.NotRun
	}
	s.Counters.Ended(o, elapsed)
}

func (s *Session) requestID() string {
	return s.requestIDOf(s.request)
}

// requestIDOf returns the ID of the session's nth request.
func (s *Session) requestIDOf(n uint64) string {
	return s.Host + "-" + strconv.FormatUint(s.ID, 10) + "-" + strconv.FormatUint(n, 10)
}
