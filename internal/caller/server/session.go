// Package server serves the session of one caller over the PostgreSQL protocol.
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
	// inboundBytes is the size of the read buffer of a caller's connection.
	inboundBytes = 4 << 10
	// stoppingMessage is sent to callers whose sessions end because the host stops.
	stoppingMessage = "the entry host is stopping, please reconnect"
)

// ErrStopping is the reason of sessions that end at a planned stop of the entry host.
const ErrStopping = errors.ConstError("entry host stopping")

// errCancelled is the cause of a request's context after the caller cancelled the request.
const errCancelled = errors.ConstError("cancelled by caller")

// errDisconnected is the cause of a session's context after the caller's connection ended.
const errDisconnected = errors.ConstError("caller disconnected")

// Marks converts a session's marks to a signed token and back, usually a signer.Signer.
type Marks interface {
	// Sign returns the token of the marks.
	Sign(marks []tracker.GroupMark) (string, error)
	// Restore checks the token and raises the marks of the groups in t to those in the token.
	Restore(token string, groups []string, t *tracker.Tracker) error
}

// Session serves one caller. The exported fields are set before Prepare.
type Session struct {
	StartupRequest greeter.StartupRequest
	Key            greeter.CancelKey
	Director       Director
	Classifier     *classifier.Classifier
	Marks          Marks
	Log            log.Interface
	// ID is the number of the session, unique at its entry host. Host is the name of the entry host.
	ID   uint64
	Host string
	// MaximumMessageBytes bounds one message, and the messages up to the next Sync or Flush.
	MaximumMessageBytes int
	// WriteTimeout bounds one write to the caller.
	WriteTimeout time.Duration
	// RequestTimeout bounds the time of each request. A statement_timeout of the caller's can only
	// shorten it.
	RequestTimeout time.Duration
	// IdleInTransactionTimeout ends a session whose caller sends nothing while it holds a connection
	// that isn't pinned; zero disables it.
	IdleInTransactionTimeout time.Duration
	// Counters counts requests and cancels, nil for none.
	Counters Counters
	// ServerParameters are reported to the caller at the start as parameter statuses.
	ServerParameters map[string]string

	in         inbound
	out        outbound
	statements statements
	replay     replayer.Session

	ctx           context.Context
	cancelSession context.CancelCauseFunc
	// drain is closed by Drain.
	drain     chan struct{}
	drainOnce sync.Once
	// mu guards cancelRequest.
	mu sync.Mutex
	// cancelRequest cancels the request in progress, nil between requests.
	cancelRequest context.CancelCauseFunc

	group string
	role  string
	// request is the number of the current request.
	request uint64
	marks   tracker.Tracker
	// reportedMark is the mark that was last reported to the caller.
	reportedMark marker.Mark
	// idempotencyKey is the key that the caller set for the next write or transaction.
	idempotencyKey string
	// tag and maximumAge are the caller's settings. They apply to statements whose comment has none.
	tag         string
	maximumAge  string
	lastOutcome lastOutcome

	// current holds the messages being handled, and nextItem is the index of the next one.
	current  *batcher.Batch
	nextItem int
	// pending collects messages of the extended protocol until a Sync or Flush.
	pending batcher.Batch

	lease lessor.Lease
	// leaseSettings are the settings with which the lease was requested.
	leaseSettings replayer.Settings
	choice        Choice
	// status is the transaction state, as in ReadyForQuery.
	status        byte
	deferredBegin *deferredBegin
	keyed         *keyedRequest
	// pinned says that the session keeps its connection until either of them ends.
	pinned bool
	// hiddenState says that the connection may have state that isn't tracked, so that it must be
	// cleared before another session uses it.
	hiddenState bool
	// skipToSync says that messages up to the next Sync are skipped after an error.
	skipToSync bool
	// flushed says that the last batch ended in a Flush and its connection awaits further messages.
	flushed bool
	// errored says that the server answered the last batch with an error.
	errored bool
}

// lastOutcome is the outcome that SHOW cuminwick.last_outcome returns.
type lastOutcome struct {
	// request is the number of the request, zero if there was none.
	request uint64
	outcome recorder.Outcome
}

// deferredBegin is a BEGIN of the caller that hasn't been sent to a backend server yet, since the
// first statement decides where the transaction runs.
type deferredBegin struct {
	sql      string
	readOnly bool
	// key is the idempotency key in the BEGIN's comment.
	key string
}

// Prepare initializes the session. It must be called before Run, Cancel and Drain.
func (s *Session) Prepare(ctx context.Context) {
	s.ctx, s.cancelSession = context.WithCancelCause(ctx)
	s.drain = make(chan struct{})
	s.status = exchanger.Idle
	s.group = s.StartupRequest.Parameters["database"]
	s.role = s.StartupRequest.Parameters["user"]
	if s.group == "" {
		s.group = s.role
	}
	s.out = outbound{conn: s.StartupRequest.Conn, writeTimeout: s.WriteTimeout}
	s.replay.Startup = startupSettings(s.StartupRequest.Parameters)
	s.statements = statements{classifier: s.Classifier, replay: &s.replay}
}

// Cancel cancels the request in progress, if any.
func (s *Session) Cancel() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancelRequest != nil {
		s.cancelRequest(errCancelled)
	}
	if s.Counters != nil {
		s.Counters.Cancelled(s.cancelRequest != nil)
	}
}

// Drain ends the session as soon as it has no request or transaction in progress.
func (s *Session) Drain() {
	s.drainOnce.Do(func() { close(s.drain) })
}

// Close ends the session immediately.
func (s *Session) Close() {
	s.cancelSession(ErrStopping)
	s.StartupRequest.Conn.Close()
}

// Run serves the caller until it disconnects or the session is drained.
func (s *Session) Run() error {
	defer s.finish()
	if err := s.start(); err != nil {
		return err
	}
	for {
		err := s.receive()
		if err != nil {
			return err
		}
		if err := s.handle(); err != nil {
			return err
		}
	}
}

// disconnected is called by the reader when the caller's connection ends. It cancels what is queued
// or running for the caller.
func (s *Session) disconnected(error) {
	s.cancelSession(errDisconnected)
}

// receive waits for the caller's next messages.
func (s *Session) receive() error {
	if s.current != nil {
		s.in.empty <- s.current
		s.current = nil
	}
	idle, stop := s.idleTimer()
	defer stop()
	select {
	case b, ok := <-s.in.full:
		return s.takeBatch(b, ok)
	case <-s.drainable():
		s.fatal(&failure{severity: severityFatal, code: codeShutdown, message: stoppingMessage, outcome: recorder.NotRun})
		return ErrStopping
	case <-idle:
		s.fatal(&failure{severity: severityFatal, code: "25P03", message: "transaction ended: caller sent nothing within the idle-in-transaction timeout", outcome: recorder.NotRun})
		return errors.New("idle in transaction")
	}
}

func (s *Session) takeBatch(b *batcher.Batch, ok bool) error {
	if !ok {
		return s.readError()
	}
	s.current = b
	s.nextItem = 0
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

// drainable returns the drain channel if the session may end now, else nil.
func (s *Session) drainable() <-chan struct{} {
	if s.status != exchanger.Idle || s.flushed || s.pending.Size() > 0 || s.pinned {
		return nil
	}
	return s.drain
}

// idleTimer limits how long a caller may hold a connection without using it. It returns a nil
// channel if there is no limit.
func (s *Session) idleTimer() (<-chan time.Time, func()) {
	if s.lease == nil || s.IdleInTransactionTimeout == 0 || s.pinned {
		return nil, func() {}
	}
	t := time.NewTimer(s.IdleInTransactionTimeout)
	return t.C, func() { t.Stop() }
}

// Next returns the type of the caller's next message and its bytes with the header.
func (s *Session) Next() (byte, []byte, error) {
	for s.current == nil || s.nextItem >= len(s.current.Items) {
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
		s.nextItem = 0
	}
	i := s.nextItem
	s.nextItem++
	return s.current.Items[i].Type, s.current.Raw(i), nil
}

// handle handles the received messages.
func (s *Session) handle() error {
	for s.current != nil && s.nextItem < len(s.current.Items) {
		i := s.nextItem
		s.nextItem++
		if err := s.handleMessage(s.current.Items[i].Type, i); err != nil {
			return err
		}
	}
	return s.out.flush()
}

func (s *Session) handleMessage(t byte, i int) error {
	if s.skipToSync && t != batcher.Sync && t != terminate {
		return nil
	}
	switch t {
	case batcher.Query:
		if s.pending.Size() > 0 {
			return s.violation("query before the sync of the messages before it")
		}
		return s.simple(s.current.Body(i))
	case batcher.Parse, batcher.Bind, batcher.Describe, batcher.Execute, batcher.Close:
		return s.collect(t, i)
	case batcher.Sync, batcher.Flush:
		if len(s.current.Body(i)) > 0 {
			return s.violation("message " + quoteType(t) + " with a body")
		}
		s.pending.Add(t, batcher.Pass, s.current.Raw(i))
		return s.extended(t)
	case batcher.CopyData, batcher.CopyDone, batcher.CopyFail:
		// Late data of a COPY that has failed is ignored, as PostgreSQL does.
		return nil
	case terminate:
		return errDisconnected
	case functionCall:
		s.fatal(&failure{severity: severityFatal, code: codeFeature, message: "function calls outside SQL aren't supported", outcome: recorder.NotRun})
		return ErrMalformed
	default:
		return s.violation("unknown message type " + quoteType(t))
	}
}

// violation ends the session because of a message after which the server's answers couldn't be matched
// to the caller's requests.
func (s *Session) violation(message string) error {
	s.fatal(&failure{code: codeProtocol, message: message, outcome: recorder.NotRun})
	return ErrMalformed
}

// quoteType returns the type of a message as it is shown to the caller.
func quoteType(t byte) string { return strconv.QuoteToASCII(string(rune(t))) }

func (s *Session) collect(t byte, i int) error {
	if s.pending.Size()+len(s.current.Raw(i)) > s.MaximumMessageBytes {
		s.fatal(&failure{severity: severityFatal, code: codeProgramLimit, message: ErrBatchTooLarge.Error(), outcome: recorder.NotRun})
		return ErrBatchTooLarge
	}
	s.pending.Add(t, batcher.Pass, s.current.Raw(i))
	return nil
}

// fatal sends the caller the reason for which its connection ends.
func (s *Session) fatal(f *failure) {
	f.severity = severityFatal
	s.out.send(f.response(s.requestID()))
	_ = s.out.flush()
}

// notice sends the caller a notice.
func (s *Session) notice(message string) {
	s.out.send(&pgproto3.NoticeResponse{Severity: "NOTICE", SeverityUnlocalized: "NOTICE", Code: "00000", Message: message})
}

// readyForQuery ends the answer to a request with ReadyForQuery.
func (s *Session) readyForQuery() {
	if s.status == exchanger.Idle {
		s.statements.closePortals()
		s.reportMark()
	}
	s.out.sendRaw('Z', s.status)
}

// finish releases the session's resources. A transaction in progress is rolled back, since its
// connection is closed.
func (s *Session) finish() {
	s.cancelSession(errDisconnected)
	if s.lease != nil {
		s.lease.Release(lessor.Return{})
		s.lease = nil
	}
	_ = s.out.flush()
	s.StartupRequest.Conn.Close()
	if s.in.empty == nil {
		return
	}
	close(s.in.empty)
	s.in.drain()
}
