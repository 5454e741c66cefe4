package executor

import (
	"sync/atomic"
	"time"

	"github.com/cuminwick/cuminwick/internal/limit/admitter"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

// admission is what the configuration in force lets a statement or transaction of the session use.
type admission struct {
	route declarer.Route
	// customer holds the caller's key, empty if it needs none.
	customer string
	// importance is that of the route and the customer, and ranked whether the configuration ranks them.
	// A transaction keeps both to its end.
	importance admitter.Importance
	ranked     bool
	// hold is what operators hold back of such requests. It doesn't apply to open transactions.
	hold Hold
}

// admit returns what the session may use under the configuration in force, or the code with which it
// is refused.
func (s *Session) admit() (admission, declarer.Code) {
	c := s.Board.Configuration()
	if c == nil {
		return admission{}, declarer.CodeNoDatabase
	}
	r, ok := c.Routes[s.database]
	if !ok {
		return admission{}, declarer.CodeNoDatabase
	}
	n, ok := c.Identify(r, s.key)
	if !ok {
		return admission{}, declarer.CodeUnauthorized
	}
	if n != "" && s.KeysConfirmed != nil && !s.KeysConfirmed() {
		return admission{}, declarer.CodeBusy
	}
	if r.Timeout == 0 {
		r.Timeout = defaultStatementTimeout
	}
	return admission{route: r, customer: n, importance: c.Importance(r, n), ranked: c.Ranked, hold: holdOf(&c.Operations, r.Name, n)}, declarer.CodeNone
}

// refusalText describes a code of admit.
func (s *Session) refusalText(c declarer.Code) string {
	switch c {
	case declarer.CodeUnauthorized:
		return "not run: the key is unknown"
	case declarer.CodeBusy:
		return "not run: whether the key is still valid can't be confirmed"
	}
	return s.database
}

const (
	// unknownKeyWait is how long a new caller with an unknown key waits for a configuration that has
	// it: hosts learn of a new key at slightly different times, and the caller may have used it at
	// another one.
	unknownKeyWait = 250 * time.Millisecond
	// maximumKeyWaits bounds the callers of one host that wait so. Others are refused at once, so
	// that clients with wild keys cost little.
	maximumKeyWaits = 32
)

// KeyWaits counts the callers of one host that wait for their key to become known. Its zero value is ready
// to use. It is safe for concurrent use.
type KeyWaits struct{ waiting atomic.Int64 }

// admitStart is admit for a new caller.
func (s *Session) admitStart() declarer.Code {
	next := s.Board.Configured()
	_, code := s.admit()
	if code != declarer.CodeUnauthorized {
		return code
	}
	defer s.KeyWaits.waiting.Add(-1)
	if s.KeyWaits.waiting.Add(1) > maximumKeyWaits {
		return code
	}
	t := time.NewTimer(unknownKeyWait)
	defer t.Stop()
	select {
	case <-next:
		_, code = s.admit()
	case <-t.C:
	}
	return code
}

// refuse answers a statement that the configuration in force doesn't admit.
func (s *Session) refuse(x declarer.Statement, c declarer.Code) error {
	t := s.refusalText(c)
	s.Reporter.Statement(&Report{Database: s.database, Statement: x.ID, Verb: x.Verb, Code: c, Reason: t, Version: s.version()})
	return s.fail(c, t)
}
