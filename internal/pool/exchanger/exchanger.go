// Package exchanger sends one batch of messages over a pooled connection and forwards the answer to the caller.
package exchanger

import (
	"bytes"
	"context"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/pool/keeper"
	"github.com/cuminwick/cuminwick/internal/session/replayer"
	"github.com/cuminwick/cuminwick/internal/wire/batcher"
	"github.com/cuminwick/cuminwick/internal/wire/follower"
	"github.com/cuminwick/cuminwick/internal/wire/framer"
)

const (
	// inlineWriteBytes is the largest batch that is written before its answer is read. Socket
	// buffers hold that much, so the write can't block until the answer is read.
	inlineWriteBytes = 32 << 10
)

const (
	// ErrNotSent is returned when no byte of the batch reached the backend server.
	ErrNotSent = errors.ConstError("batch not sent")
	// ErrLost is returned when the connection was lost after bytes of the batch were sent, so
	// that its outcome is unknown.
	ErrLost = errors.ConstError("connection lost")
	// ErrMalformed is returned for a message of the backend server that violates the protocol.
	ErrMalformed = errors.ConstError("malformed message of the backend server")
)

// Transaction states in ReadyForQuery.
const (
	Idle          byte = 'I'
	InTransaction byte = 'T'
	Failed        byte = 'E'
)

// Output receives the backend server's messages for the caller, except for ReadyForQuery.
type Output interface {
	// Frame receives one part of a message of type t. A long message comes in several parts; first
	// and last mark its ends, and the first part includes the header.
	Frame(t byte, part []byte, first, last bool) error
}

// Input reads the caller's messages during COPY FROM STDIN.
type Input interface {
	// Next returns the type of the next message and its bytes with the header.
	Next() (t byte, raw []byte, err error)
}

// Canceller sends cancel requests to backend servers. It is usually a dialer.Dialer.
type Canceller interface {
	Cancel(ctx context.Context, address string, processID, secretKey uint32) error
}

// Result describes the answer to one exchange.
type Result struct {
	// Status is the transaction state that ReadyForQuery reported (Idle, InTransaction or Failed),
	// zero after a batch that ends in Flush.
	Status byte
	// Position is the mark of the server's log after the batch, zero unless AskPosition was set.
	Position marker.Mark
	// Before is the mark of the server's log before the batch, zero unless AskBefore was set.
	Before marker.Mark
	// Code is the SQLSTATE of the first error, empty if there was none.
	Code string
	// Tag is the last command tag.
	Tag string
	// Returned reports whether the connection was returned to its pool together with the answer.
	Returned bool
}

// Exchange sends one batch on one connection. The exported fields are set before Run.
type Exchange struct {
	Conn *keeper.Conn
	// Canceller sends the cancel requests when the context of Run ends.
	Canceller Canceller
	Batch     *batcher.Batch
	Output    Output
	// Input is nil if the batch begins no COPY FROM STDIN.
	Input Input
	// AskPosition sends a query for the log position after the batch. It must not be set for a
	// COPY FROM STDIN, because the query would arrive in the middle of the COPY data.
	AskPosition bool
	// AskBefore sends the same query before the batch as well.
	AskBefore bool
	// AskProof sends a request after the batch whose answer shows that the answers before it are the
	// batch's. It runs no query. As for AskPosition, the batch must not begin a COPY FROM STDIN. It has
	// no effect if AskPosition is set.
	AskProof bool
	// Prober distinguishes a long-running statement from a dead connection. If it is nil, dead
	// connections aren't detected.
	Prober Prober

	follower follower.Follower
	result   Result
	// before and after are the position queries around the batch.
	before, after positionQuery
	proof         proof
	// callerErr is the error that ended the forwarding to or from the caller.
	callerErr error
	cancel    *cancellation
}

// Run sends the batch and returns when its answer is complete. An error is ErrNotSent, ErrLost or
// that of Output or Input.
//
// When ctx ends, a cancel request is sent to the backend server and Run still reads the answer,
// because the connection can't be reused before the answer is complete.
func (x *Exchange) Run(ctx context.Context) (Result, error) {
	if err := x.settle(ctx); err != nil {
		return Result{}, errors.WithType(err, ErrNotSent)
	}
	if err := x.receiveUnread(); err != nil {
		return Result{}, errors.WithType(err, ErrNotSent)
	}
	if err := x.send(); err != nil {
		return Result{}, err
	}
	x.cancel = &cancellation{Conn: x.Conn, Canceller: x.Canceller, done: make(chan struct{}), ended: make(chan struct{})}
	stop := context.AfterFunc(ctx, x.cancel.run)
	stopDetection := x.detectSilence(ctx)
	err := x.receive()
	stopDetection()
	close(x.cancel.done)
	if x.callerErr != nil {
		go x.cancel.run()
	}
	if !stop() || x.callerErr != nil {
		x.Conn.FinishCancel = x.cancel.settle
	}
	if err != nil {
		return x.result, err
	}
	return x.result, x.callerErr
}

// settle waits until a cancel request for an earlier batch can't affect this one.
func (x *Exchange) settle(ctx context.Context) error {
	if x.Conn.FinishCancel == nil {
		return nil
	}
	if err := x.Conn.FinishCancel(ctx); err != nil {
		return errors.Annotatef(err, "settle connection to backend server %s", x.Conn.Address)
	}
	x.Conn.FinishCancel = nil
	return nil
}

// send sends the batch. An error is ErrNotSent or ErrLost.
func (x *Exchange) send() error {
	x.rewriteBatch()
	x.follower = follower.Follower{Batch: x.Batch}
	p := x.encode()
	if len(p) > inlineWriteBytes {
		go x.runSend(p)
		return nil
	}
	n, err := x.Conn.Write(p)
	if err == nil {
		return nil
	}
	if n == 0 {
		return errors.WithType(errors.Annotatef(err, "send to backend server %s", x.Conn.Address), ErrNotSent)
	}
	return x.lost(err)
}

// runSend sends a large batch while its answer is already being read. Otherwise both sides could
// deadlock with full socket buffers.
func (x *Exchange) runSend(p []byte) {
	if _, err := x.Conn.Write(p); err != nil {
		x.Conn.Close()
	}
}

// receive reads the answers to the position queries and to the batch.
func (x *Exchange) receive() error {
	if x.AskBefore {
		m, err := x.receivePosition(&x.before)
		if err != nil {
			return err
		}
		x.result.Before = m
	}
	if err := x.receiveBatch(); err != nil {
		return err
	}
	switch {
	case x.AskPosition:
		m, err := x.receivePosition(&x.after)
		x.result.Position = m
		return err
	case x.AskProof && len(x.Batch.Items) > 0:
		return x.receiveProof()
	}
	return nil
}

// receiveBatch reads the answer to the batch itself.
func (x *Exchange) receiveBatch() error {
	for {
		x.deliverInjected()
		if x.follower.Done() {
			return nil
		}
		f, err := x.Conn.Reader.Next()
		if err != nil {
			return x.lost(err)
		}
		if err := x.handle(f); err != nil {
			return err
		}
	}
}

// deliverInjected sends the caller the answers that are due to messages which weren't sent.
func (x *Exchange) deliverInjected() {
	for {
		t, ok := x.follower.NextInjected()
		if !ok {
			return
		}
		x.deliver(t, []byte{t, 0, 0, 0, 4}, true, true)
	}
}

// handle processes one message of the backend server.
func (x *Exchange) handle(f framer.Frame) error {
	if !x.follower.Expects(f.Type) {
		return x.lost(errors.Annotatef(ErrSurplus, "message %q", f.Type))
	}
	if f.Type == follower.ErrorResponse {
		x.forgetSkippedParses()
	}
	pass := x.follower.Accept(f.Type)
	switch f.Type {
	case follower.ReadyForQuery:
		return x.recordStatus(f)
	case follower.ErrorResponse:
		if err := x.recordCode(f); err != nil {
			return err
		}
	case follower.CommandComplete:
		x.result.Tag = string(bytes.TrimRight(f.Body(), "\x00"))
	case follower.CopyInResponse:
		return x.handleCopyIn(f, pass)
	}
	return x.forward(f, pass)
}

// recordStatus keeps the transaction state in a ReadyForQuery.
func (x *Exchange) recordStatus(f framer.Frame) error {
	s, err := parseStatus(f)
	if err != nil {
		return x.lost(err)
	}
	x.result.Status = s
	return nil
}

// parseStatus returns the transaction state in a ReadyForQuery.
func parseStatus(f framer.Frame) (byte, error) {
	if b := f.Body(); f.Whole() && len(b) == 1 && (b[0] == Idle || b[0] == InTransaction || b[0] == Failed) {
		return b[0], nil
	}
	return 0, errors.Annotatef(ErrMalformed, "ready for query of %d bytes, state %.1q", len(f.Body())+f.Remaining, f.Body())
}

// handleCopyIn forwards the beginning of a COPY FROM STDIN and then the caller's data.
func (x *Exchange) handleCopyIn(f framer.Frame, pass bool) error {
	if x.Input == nil {
		return x.lost(errors.Annotate(ErrSurplus, "server asks for the data of a COPY"))
	}
	if err := x.forward(f, pass); err != nil {
		return err
	}
	return x.copyIn()
}

// forward reads the rest of a message and, if pass is set, delivers all of it to the caller.
func (x *Exchange) forward(f framer.Frame, pass bool) error {
	if pass {
		x.deliver(f.Type, f.Raw, true, f.Whole())
	}
	for f.Remaining > 0 {
		p, err := x.Conn.Reader.Rest(&f)
		if err != nil {
			return x.lost(err)
		}
		if pass {
			x.deliver(f.Type, p, false, f.Whole())
		}
	}
	return nil
}

// deliver writes a part of a message to Output. Once that has failed, the statement is cancelled
// and the rest of the answer is read and dropped.
func (x *Exchange) deliver(t byte, p []byte, first, last bool) {
	if x.callerErr != nil {
		return
	}
	x.callerErr = x.Output.Frame(t, p, first, last)
	if x.callerErr != nil {
		go x.cancel.run()
	}
}

// forgetSkippedParses removes from Conn.Replay the statements of the failed message and of those up
// to the Sync, which the server skips.
func (x *Exchange) forgetSkippedParses() {
	for _, i := range x.follower.Unanswered() {
		if i.Type == batcher.Sync {
			return
		}
		if i.Type == batcher.Parse && i.Name != "" {
			x.Conn.Replay.ParseFailed(replayer.StatementPlan{Name: replayer.StatementID(i.Name)})
		}
	}
}

// recordCode keeps the SQLSTATE of the first error response. Without one the request would count as
// run.
func (x *Exchange) recordCode(f framer.Frame) error {
	c := Code(f.Body())
	if c == "" {
		return x.lost(errors.Annotatef(ErrMalformed, "error response without an SQLSTATE, of %d bytes", len(f.Body())+f.Remaining))
	}
	if x.result.Code == "" {
		x.result.Code = c
	}
	return nil
}

// lost returns err as an ErrLost.
func (x *Exchange) lost(err error) error {
	return errors.WithType(errors.Annotatef(err, "exchange with backend server %s", x.Conn.Address), ErrLost)
}

// Code returns the SQLSTATE in the body of an ErrorResponse, empty if there is none.
func Code(body []byte) string {
	for len(body) > 1 {
		n := bytes.IndexByte(body, 0)
		if n < 0 {
			return ""
		}
		if body[0] == 'C' {
			return string(body[1:n])
		}
		body = body[n+1:]
	}
	return ""
}
