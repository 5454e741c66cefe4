package server

import (
	"strconv"
	"time"

	"github.com/cuminwick/cuminwick/internal/outcome/recorder"
)

// Counters takes what becomes of callers' requests. Its methods are called from
// many goroutines and don't wait.
type Counters interface {
	// Ended counts a request that was answered, took after its arrival.
	Ended(o recorder.Outcome, took time.Duration)
	// Cancelled counts a caller's cancel; inProgress says that it had a request to hit.
	Cancelled(inProgress bool)
}

// ended counts the present request, which ended with f if that isn't nil. One
// whose outcome wasn't noted, as a statement inside a transaction, ran.
func (s *Session) ended(f *failure, took time.Duration) {
	if s.Counters == nil {
		return
	}
	o := recorder.Ran
	switch {
	case f != nil:
		o = f.outcome
	case s.last.request == s.request:
		o = s.last.outcome
	case s.errored:
		o = recorder.NotRun
	}
	s.Counters.Ended(o, took)
}

func (s *Session) requestID() string {
	return s.numbered(s.request)
}

// numbered returns the name of the session's request n.
func (s *Session) numbered(n uint64) string {
	return s.Host + "-" + strconv.FormatUint(s.ID, 10) + "-" + strconv.FormatUint(n, 10)
}
