// Package executor serves the statements of one caller's session at the backend servers.
package executor

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/proxy/blackboard"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

const (
	// startTimeout bounds the wait for a caller to say what it wants.
	startTimeout = 10 * time.Second
	// defaultTimeout stands for a route without one.
	defaultTimeout = 5 * time.Second
	// defaultIdleTransaction stands where the configuration gives no limit.
	defaultIdleTransaction = 10 * time.Second
)

// Session serves one caller. Its exported fields are set before Run.
type Session struct {
	Caller       Caller
	Board        *blackboard.Board
	Pools        Pools
	Reporter     Reporter
	Observer     *Observer
	RetryBudgets *RetryBudgets
	// Ready says that the host has what it needs to serve.
	Ready func() bool

	database string
	values   map[string]string
	prepared map[string]prepared
	// kept is how many bytes values and prepared take up.
	kept int
	// mark is the session's last commit in group.
	mark  marker.Mark
	group string
	// open is the transaction, nil outside of one.
	open *transaction

	mu       sync.Mutex
	stopping atomic.Bool
	// idle says that the session waits for its caller outside of a transaction.
	idle bool
}

// prepared is a statement that the caller has prepared.
type prepared struct {
	writes bool
	shape  string
}

// Run serves the caller until its session ends.
func (s *Session) Run() {
	defer s.Caller.Close()
	if !s.start() {
		return
	}
	for s.step() {
	}
	s.abandon()
}

// start answers the caller's first message.
func (s *Session) start() bool {
	d, _, err := s.Caller.Start(time.Now().Add(startTimeout))
	if err != nil {
		return false
	}
	s.database = d
	if !s.awaitReady() {
		_ = s.Caller.Refuse(declarer.CodeBusy, "the host isn't ready yet")
		return false
	}
	if _, ok := s.route(); !ok {
		_ = s.Caller.Refuse(declarer.CodeNoDatabase, d)
		return false
	}
	return s.Caller.Ready() == nil
}

const (
	// readyWait is how long a caller is kept until the host has its configuration.
	readyWait = 1500 * time.Millisecond
	readyStep = 20 * time.Millisecond
)

func (s *Session) awaitReady() bool {
	for end := time.Now().Add(readyWait); !s.Ready(); {
		if time.Now().After(end) {
			return false
		}
		time.Sleep(readyStep)
	}
	return true
}

// route returns the route of the session's database as it is in force now.
func (s *Session) route() (declarer.Route, bool) {
	c := s.Board.Configuration()
	if c == nil {
		return declarer.Route{}, false
	}
	r, ok := c.Routes[s.database]
	if r.Timeout == 0 {
		r.Timeout = defaultTimeout
	}
	return r, ok
}

// version returns that of the configuration in force.
func (s *Session) version() uint64 {
	if c := s.Board.Configuration(); c != nil {
		return c.Version
	}
	return 0
}

// step serves one statement and reports whether the session goes on.
func (s *Session) step() bool {
	x, err := s.next()
	if err != nil {
		return s.open != nil && s.expired(err)
	}
	return s.serve(x) == nil
}

// next waits for the caller. Outside of a transaction a session that is to stop
// ends here, where nothing is cut off.
func (s *Session) next() (declarer.Statement, error) {
	var deadline time.Time
	if s.open != nil && s.open.lease != nil {
		deadline = time.Now().Add(s.idleLimit())
	}
	s.await(s.open == nil)
	defer s.await(false)
	if s.stopping.Load() && s.open == nil {
		return declarer.Statement{}, errStopped
	}
	return s.Caller.Next(deadline)
}

const errStopped = errors.ConstError("session stopped")

func (s *Session) await(idle bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idle = idle
}

// Stop ends the session as soon as it is outside of a transaction.
func (s *Session) Stop() {
	s.stopping.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.idle {
		s.Caller.Interrupt()
	}
}

// Terminate ends the session at its next wait for the caller.
func (s *Session) Terminate() {
	s.stopping.Store(true)
	s.Caller.Interrupt()
}

func (s *Session) idleLimit() time.Duration {
	if c := s.Board.Configuration(); c != nil && c.IdleTransactionTimeout > 0 {
		return c.IdleTransactionTimeout
	}
	return defaultIdleTransaction
}

// expired ends a transaction whose caller let its time pass, and reports whether the
// session goes on. The caller learns of it with its next statement.
func (s *Session) expired(err error) bool {
	if !errors.Is(err, ErrDeadline) || s.stopping.Load() {
		return false
	}
	s.open.fail()
	return true
}

// ErrDeadline is returned by Caller.Next when the deadline has passed.
const ErrDeadline = errors.ConstError("caller sent nothing in time")

// abandon gives back what the caller leaves behind.
func (s *Session) abandon() {
	if s.open != nil {
		s.open.fail()
	}
}

// serve answers one statement. An error ends the session.
func (s *Session) serve(x declarer.Statement) error {
	if s.open != nil && s.open.failed && x.Verb != declarer.VerbCommit && x.Verb != declarer.VerbRollback {
		return s.Caller.Fail(declarer.CodeMalformed, "the transaction has failed", declarer.StateFailed)
	}
	switch x.Verb {
	case declarer.VerbSet:
		return s.set(x)
	case declarer.VerbPrepare:
		return s.prepare(x)
	case declarer.VerbDeallocate:
		return s.deallocate(x)
	case declarer.VerbBegin, declarer.VerbBeginRead:
		return s.begin(x)
	case declarer.VerbRollback:
		return s.rollback()
	case declarer.VerbCommit:
		return s.commit(x)
	case declarer.VerbRead, declarer.VerbWrite, declarer.VerbExecute:
		return s.run(x)
	}
	return s.fail(declarer.CodeMalformed, "statement not understood")
}

// state is what the caller is told about its session.
func (s *Session) state() declarer.State {
	switch {
	case s.open == nil:
		return declarer.StateIdle
	case s.open.failed:
		return declarer.StateFailed
	}
	return declarer.StateTransaction
}

// fail answers by an error of ours, which fails a transaction.
func (s *Session) fail(c declarer.Code, text string) error {
	if s.open != nil {
		s.open.fail()
	}
	return s.Caller.Fail(c, text, s.state())
}

// maximumState bounds what one session may have set and prepared, in bytes of names and
// values. An entry host keeps it for thousands of sessions: a caller that sets on and on
// would have the process killed for its memory, and all other callers cut off.
const maximumState = 64 << 10

// keeps reports whether the session may keep a name with a value in place of the old
// bytes, and counts it. Where it may not, what was there stays.
func (s *Session) keeps(name, value string, old int) bool {
	n := s.kept - old + len(name) + len(value)
	if n > maximumState {
		return false
	}
	s.kept = n
	return true
}

func (s *Session) set(x declarer.Statement) error {
	old := 0
	if o, ok := s.values[x.Name]; ok {
		old = len(x.Name) + len(o)
	}
	if !s.keeps(x.Name, x.Argument, old) {
		return s.fail(declarer.CodeTooBig, "the session has set and prepared too much")
	}
	if s.values == nil {
		s.values = make(map[string]string)
	}
	s.values[x.Name] = x.Argument
	return s.Caller.Done(s.state())
}

func (s *Session) prepare(x declarer.Statement) error {
	old := 0
	if o, ok := s.prepared[x.Name]; ok {
		old = len(x.Name) + len(o.shape)
	}
	if !s.keeps(x.Name, x.Argument, old) {
		return s.fail(declarer.CodeTooBig, "the session has set and prepared too much")
	}
	if s.prepared == nil {
		s.prepared = make(map[string]prepared)
	}
	s.prepared[x.Name] = prepared{writes: x.Writes, shape: x.Argument}
	return s.Caller.Done(s.state())
}

func (s *Session) deallocate(x declarer.Statement) error {
	o, ok := s.prepared[x.Name]
	if !ok {
		return s.fail(declarer.CodeNoSuchStatement, x.Name)
	}
	s.kept -= len(x.Name) + len(o.shape)
	delete(s.prepared, x.Name)
	return s.Caller.Done(s.state())
}

func (s *Session) begin(x declarer.Statement) error {
	if s.open != nil {
		return s.fail(declarer.CodeMalformed, "a transaction is open")
	}
	r, ok := s.route()
	if !ok {
		return s.fail(declarer.CodeNoDatabase, s.database)
	}
	s.open = &transaction{route: r, arrived: s.Board.Time(), reads: x.Verb == declarer.VerbBeginRead}
	return s.Caller.Done(declarer.StateTransaction)
}

func (s *Session) rollback() error {
	t := s.open
	s.open = nil
	if t != nil {
		t.fail()
	}
	return s.Caller.Done(declarer.StateIdle)
}

// run serves a read or a write, by itself or in the transaction.
func (s *Session) run(x declarer.Statement) error {
	q, err := s.request(x)
	if err != nil {
		return s.fail(declarer.CodeNoSuchStatement, x.Name)
	}
	if s.open != nil {
		return s.inside(q)
	}
	r, ok := s.route()
	if !ok {
		return s.fail(declarer.CodeNoDatabase, s.database)
	}
	return s.alone(r, q)
}

const errNoStatement = errors.ConstError("no such prepared statement")

// request makes what goes to the backend server. A prepared statement has a name of
// its shape there, so that sessions that prepare the same share it, and two that give
// different shapes the same name don't meet.
func (s *Session) request(x declarer.Statement) (*request, error) {
	q := &request{Request: declarer.Request{ID: x.ID, Text: x.Text, Writes: x.Verb == declarer.VerbWrite}, verb: x.Verb}
	if x.Verb != declarer.VerbExecute {
		return q, nil
	}
	p, ok := s.prepared[x.Name]
	if !ok {
		return nil, errNoStatement
	}
	q.Text = ""
	q.Verb = declarer.VerbExecute
	q.Name = nameOf(p)
	q.Argument = x.Argument
	q.Writes = p.writes
	q.prepared = &p
	return q, nil
}

func nameOf(p prepared) string {
	if p.writes {
		return "w_" + p.shape
	}
	return "r_" + p.shape
}

// request is one statement on its way to a backend server.
type request struct {
	declarer.Request
	verb     declarer.Verb
	prepared *prepared
}

// Board notes are by group; the session's mark belongs to one group only, as a route
// may come to lead elsewhere.
func (s *Session) committed(group string, m marker.Mark) {
	if m.IsZero() {
		return
	}
	if s.group != group || !s.mark.Covers(m) {
		s.mark = m
	}
	s.group = group
}

func (s *Session) own(group string) marker.Mark {
	if s.group != group {
		return marker.Mark{}
	}
	return s.mark
}
