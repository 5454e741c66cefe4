// Package server serves one caller's session over the PostgreSQL protocol.
package server

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/caller/greeter"
	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/outcome/recorder"
	"github.com/cuminwick/cuminwick/internal/pool/exchanger"
	"github.com/cuminwick/cuminwick/internal/pool/lessor"
	"github.com/cuminwick/cuminwick/internal/session/replayer"
	"github.com/cuminwick/cuminwick/internal/session/tracker"
	"github.com/cuminwick/cuminwick/internal/statement/classifier"
	"github.com/cuminwick/cuminwick/internal/wire/batcher"
	"github.com/cuminwick/cuminwick/internal/wire/framer"
)

const (
	// inboundBytes is read ahead from a caller.
	inboundBytes = 4 << 10
	idleMessage  = "the entry host is stopping, please reconnect"
)

// ErrStopping ends sessions at a planned stop.
const ErrStopping = errors.ConstError("entry host stopping")

// errCancelled is the cause of a request's end when the caller cancelled it.
const errCancelled = errors.ConstError("cancelled by caller")

// errDisconnected is the cause when the caller's connection ended.
const errDisconnected = errors.ConstError("caller disconnected")

// Marks turns a session's marks into a token and back, usually a signer.Signer.
type Marks interface {
	// Sign returns the token for marks.
	Sign(marks []tracker.GroupMark) (string, error)
	// Restore checks a token and raises in t its marks of groups.
	Restore(token string, groups []string, t *tracker.Tracker) error
}

// Session serves one caller. The exported fields are set before Run.
type Session struct {
	Greeting   greeter.Greeting
	Key        greeter.CancelKey
	Director   Director
	Classifier *classifier.Classifier
	Marks      Marks
	Log        log.Interface
	// ID numbers the session at its entry host, Host names that.
	ID                  uint64
	Host                string
	MaximumMessageBytes int
	WriteTimeout        time.Duration
	// RequestTimeout ends a request whose caller declared no timeout.
	RequestTimeout time.Duration
	// IdleInTransactionTimeout ends a transaction whose caller sends nothing; zero is never.
	IdleInTransactionTimeout time.Duration
	// Counters may be nil.
	Counters Counters
	// ServerParameters are reported to the caller at the start.
	ServerParameters map[string]string

	in         inbound
	out        outbound
	statements statements
	replay     replayer.Session

	ctx    context.Context
	end    context.CancelCauseFunc
	drain  chan struct{}
	once   sync.Once
	mu     sync.Mutex
	cancel context.CancelCauseFunc

	group   string
	role    string
	request uint64
	marks   tracker.Tracker
	sent    marker.Mark
	key     string
	// tag and maximumAge stand in for those of a statement's comment.
	tag        string
	maximumAge string
	last       lastOutcome

	current *batcher.Batch
	at      int
	pending batcher.Batch

	lease lessor.Lease
	// leased are the settings that the lease was asked for with.
	leased replayer.Settings
	choice Choice
	status byte
	begun  *beginning
	keyed  *keyed
	pinned bool
	// hidden says that the connection may hold state that isn't tracked, so
	// that it is cleared before anybody else uses it.
	hidden  bool
	skip    bool
	flushed bool
	// errored says that the server answered the last batch with an error.
	errored bool
}

// lastOutcome is what SHOW cuminwick.last_outcome answers.
type lastOutcome struct {
	// request is zero if there was none.
	request uint64
	outcome recorder.Outcome
}

// beginning is a BEGIN that the caller has sent and no backend server has seen:
// the first statement decides where the transaction runs.
type beginning struct {
	sql      string
	readOnly bool
	// key is the idempotency key in the BEGIN's comment.
	key string
}

// Prepare makes the session ready for Run, Cancel and Drain.
func (s *Session) Prepare(ctx context.Context) {
	s.ctx, s.end = context.WithCancelCause(ctx)
	s.drain = make(chan struct{})
	s.status = exchanger.Idle
	s.group = s.Greeting.Parameters["database"]
	s.role = s.Greeting.Parameters["user"]
	if s.group == "" {
		s.group = s.role
	}
	s.out = outbound{conn: s.Greeting.Conn, writeTimeout: s.WriteTimeout}
	s.replay.Startup = startupSettings(s.Greeting.Parameters)
	s.statements = statements{classifier: s.Classifier, replay: &s.replay}
}

// Cancel cancels the request in progress, if any.
func (s *Session) Cancel() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancel != nil {
		s.cancel(errCancelled)
	}
	if s.Counters != nil {
		s.Counters.Cancelled(s.cancel != nil)
	}
}

// Drain ends the session at the next moment without a request or transaction.
func (s *Session) Drain() {
	s.once.Do(func() { close(s.drain) })
}

// Close ends the session at once.
func (s *Session) Close() {
	s.end(ErrStopping)
	s.Greeting.Conn.Close()
}

// Run serves the caller until it leaves or the session is drained.
func (s *Session) Run() error {
	defer s.finish()
	if err := s.start(); err != nil {
		return err
	}
	for {
		err := s.next()
		if err != nil {
			return err
		}
		if err := s.handle(); err != nil {
			return err
		}
	}
}

// lost is called by the reader when the caller's connection ends: whatever is
// queued or runs for it counts as cancelled.
func (s *Session) lost(error) {
	s.end(errDisconnected)
}

// next waits for the caller's next messages.
func (s *Session) next() error {
	if s.current != nil {
		s.in.empty <- s.current
		s.current = nil
	}
	idle, stop := s.idleTimer()
	defer stop()
	select {
	case b, ok := <-s.in.full:
		return s.received(b, ok)
	case <-s.drainable():
		s.fatal(&failure{severity: severityFatal, code: codeShutdown, message: idleMessage, outcome: recorder.NotRun})
		return ErrStopping
	case <-idle:
		s.fatal(&failure{severity: severityFatal, code: "25P03", message: "transaction ended: caller sent nothing within the idle-in-transaction timeout", outcome: recorder.NotRun})
		return errors.New("idle in transaction")
	}
}

func (s *Session) received(b *batcher.Batch, ok bool) error {
	if !ok {
		return s.readError()
	}
	s.current = b
	s.at = 0
	return nil
}

func (s *Session) readError() error {
	err := s.in.err
	switch {
	case errors.Is(err, framer.ErrTooLarge), errors.Is(err, ErrBatchTooLarge):
		s.fatal(&failure{severity: severityFatal, code: codeProgramLimit, message: err.Error(), outcome: recorder.NotRun})
	case errors.Is(err, framer.ErrLength):
		s.fatal(&failure{severity: severityFatal, code: codeProtocol, message: err.Error(), outcome: recorder.NotRun})
	}
	return err
}

// drainable returns a channel that is closed when the session may be ended now.
func (s *Session) drainable() <-chan struct{} {
	if s.status != exchanger.Idle || s.flushed || s.pending.Bytes() > 0 || s.pinned {
		return nil
	}
	return s.drain
}

// idleTimer bounds how long a caller may hold a connection without using it.
func (s *Session) idleTimer() (<-chan time.Time, func()) {
	if s.lease == nil || s.IdleInTransactionTimeout == 0 || s.pinned {
		return nil, func() {}
	}
	t := time.NewTimer(s.IdleInTransactionTimeout)
	return t.C, func() { t.Stop() }
}

// Next implements exchanger.Input: it returns the caller's next message.
func (s *Session) Next() (byte, []byte, error) {
	for s.current == nil || s.at >= len(s.current.Items) {
		if s.current != nil {
			s.in.empty <- s.current
			s.current = nil
		}
		if err := s.out.flush(); err != nil {
			return 0, nil, err
		}
		b, ok := <-s.in.full
		if !ok {
			return 0, nil, s.in.err
		}
		s.current = b
		s.at = 0
	}
	i := s.at
	s.at++
	return s.current.Items[i].Type, s.current.Raw(i), nil
}

// handle works on the messages that next received.
func (s *Session) handle() error {
	for s.current != nil && s.at < len(s.current.Items) {
		i := s.at
		s.at++
		if err := s.message(s.current.Items[i].Type, i); err != nil {
			return err
		}
	}
	return s.out.flush()
}

func (s *Session) message(t byte, i int) error {
	if s.skip && t != batcher.Sync && t != terminate {
		return nil
	}
	switch t {
	case batcher.Query:
		return s.simple(s.current.Body(i))
	case batcher.Parse, batcher.Bind, batcher.Describe, batcher.Execute, batcher.Close:
		return s.collect(t, i)
	case batcher.Sync, batcher.Flush:
		s.pending.Add(t, batcher.Pass, s.current.Raw(i))
		return s.extended(t)
	case batcher.CopyData, batcher.CopyDone, batcher.CopyFail:
		// Late data of a COPY that has failed already is ignored, as servers do.
		return nil
	case terminate:
		return errDisconnected
	case functionCall:
		s.fatal(&failure{severity: severityFatal, code: codeFeature, message: "function calls outside SQL aren't supported", outcome: recorder.NotRun})
		return ErrMalformed
	default:
		s.fatal(&failure{severity: severityFatal, code: codeProtocol, message: "unknown message type " + strconv.Quote(string(rune(t))), outcome: recorder.NotRun})
		return ErrMalformed
	}
}

func (s *Session) collect(t byte, i int) error {
	if s.pending.Bytes()+len(s.current.Raw(i)) > s.MaximumMessageBytes {
		s.fatal(&failure{severity: severityFatal, code: codeProgramLimit, message: ErrBatchTooLarge.Error(), outcome: recorder.NotRun})
		return ErrBatchTooLarge
	}
	s.pending.Add(t, batcher.Pass, s.current.Raw(i))
	return nil
}

// fatal tells the caller why its connection ends.
func (s *Session) fatal(f *failure) {
	f.severity = severityFatal
	s.out.send(f.response(s.requestID()))
	_ = s.out.flush()
}

// notice tells the caller something that is no error.
func (s *Session) notice(message string) {
	s.out.send(&pgproto3.NoticeResponse{Severity: "NOTICE", SeverityUnlocalized: "NOTICE", Code: "00000", Message: message})
}

// ready ends the answer to a request.
func (s *Session) ready() {
	if s.status == exchanger.Idle {
		s.statements.endPortals()
		s.reportMark()
	}
	s.out.raw('Z', s.status)
}

// finish releases what the session holds; a transaction in progress is ended
// by closing its connection, which rolls it back.
func (s *Session) finish() {
	s.end(errDisconnected)
	if s.lease != nil {
		s.lease.Release(lessor.Return{})
		s.lease = nil
	}
	_ = s.out.flush()
	s.Greeting.Conn.Close()
	if s.in.empty == nil {
		return
	}
	close(s.in.empty)
	s.in.drain()
}
