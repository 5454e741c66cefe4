// Package exchanger sends one batch over a pooled connection and passes on the answer.
package exchanger

import (
	"bytes"
	"context"
	"strconv"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/pool/keeper"
	"github.com/cuminwick/cuminwick/internal/session/replayer"
	"github.com/cuminwick/cuminwick/internal/wire/batcher"
	"github.com/cuminwick/cuminwick/internal/wire/follower"
	"github.com/cuminwick/cuminwick/internal/wire/framer"
)

const (
	// positionSQL asks for the mark of the log's last entry.
	positionSQL = "SELECT cuminwick_position()"
	// inlineWriteBytes is what is sent without a goroutine of its own; socket
	// buffers hold it, so that sending can't wait for the answer to be read.
	inlineWriteBytes = 32 << 10
	// maximumErrorBytes bounds an error response that is looked into.
	maximumErrorBytes = framer.ChunkBytes
)

const (
	// ErrNotSent says that no byte of the batch reached the backend server.
	ErrNotSent = errors.ConstError("batch not sent")
	// ErrLost says that the connection was lost after the batch was sent, so
	// that its outcome is open.
	ErrLost = errors.ConstError("connection lost")
)

// Transaction states in ReadyForQuery.
const (
	Idle          byte = 'I'
	InTransaction byte = 'T'
	Failed        byte = 'E'
)

// Output takes the backend server's messages that are for the caller, except
// for ReadyForQuery. A long message comes in several parts.
type Output interface {
	Frame(t byte, part []byte, first, last bool) error
}

// Input returns the caller's further messages during COPY FROM STDIN.
type Input interface {
	Next() (t byte, raw []byte, err error)
}

// Canceller sends a cancel request, usually a dialer.Dialer.
type Canceller interface {
	Cancel(ctx context.Context, address string, processID, secretKey uint32) error
}

// Result is what is known after an exchange.
type Result struct {
	// Status is the transaction state, zero after a batch that ends in Flush.
	Status byte
	// Position is the mark of the server's log after the batch, zero if not asked.
	Position marker.Mark
	// Before is the mark of the server's log before the batch, zero if not asked.
	Before marker.Mark
	// Code is the SQLSTATE of the first error, empty without error.
	Code string
	// Tag is the last command tag.
	Tag string
	// Returned says that the connection went back to its pool with the answer.
	Returned bool
}

// Exchange is one batch on one connection.
type Exchange struct {
	Conn      *keeper.Conn
	Canceller Canceller
	Batch     *batcher.Batch
	Output    Output
	Input     Input
	// AskPosition sends a question for the log position along with the batch.
	// It must not follow COPY FROM STDIN, whose data would be mistaken.
	AskPosition bool
	// AskBefore sends the same question ahead of the batch as well.
	AskBefore bool
	// Prober, if set, tells a long statement from a connection gone silent.
	Prober Prober

	follower follower.Follower
	result   Result
	outErr   error
	cancel   *cancelling
}

// Run sends the batch and returns when its answer is complete.
//
// When ctx ends, the backend server is asked to cancel, and the answer to that
// is still awaited: the connection is worth nothing to others before.
func (x *Exchange) Run(ctx context.Context) (Result, error) {
	if err := x.settle(ctx); err != nil {
		return Result{}, errors.WithType(err, ErrNotSent)
	}
	if err := x.send(); err != nil {
		return Result{}, err
	}
	x.cancel = &cancelling{Conn: x.Conn, Canceller: x.Canceller, done: make(chan struct{}), ended: make(chan struct{})}
	stop := context.AfterFunc(ctx, x.cancel.run)
	unwatch := x.watch(ctx)
	err := x.receive()
	unwatch()
	close(x.cancel.done)
	if x.outErr != nil {
		go x.cancel.run()
	}
	if !stop() || x.outErr != nil {
		x.Conn.FinishCancel = x.cancel.settle
	}
	if err != nil {
		return x.result, err
	}
	return x.result, x.outErr
}

// settle waits until a cancel of an earlier batch can't hit this one.
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

func (x *Exchange) send() error {
	x.adapt()
	x.follower = follower.Follower{Batch: x.Batch}
	p := x.bytes()
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

// runSend sends a long batch while its answer is already being read; without
// this, both sides could wait for each other with full socket buffers.
func (x *Exchange) runSend(p []byte) {
	if _, err := x.Conn.Write(p); err != nil {
		x.Conn.Close()
	}
}

func (x *Exchange) receive() error {
	if x.AskBefore {
		m, err := x.receivePosition()
		if err != nil {
			return err
		}
		x.result.Before = m
	}
	if err := x.receiveBatch(); err != nil || !x.AskPosition {
		return err
	}
	m, err := x.receivePosition()
	x.result.Position = m
	return err
}

func (x *Exchange) receiveBatch() error {
	for {
		x.inject()
		if x.follower.Done() {
			return nil
		}
		f, err := x.Conn.Reader.Next()
		if err != nil {
			return x.lost(err)
		}
		if err := x.take(f); err != nil {
			return err
		}
	}
}

func (x *Exchange) inject() {
	for {
		t, ok := x.follower.Injected()
		if !ok {
			return
		}
		x.pass(t, []byte{t, 0, 0, 0, 4}, true, true)
	}
}

func (x *Exchange) take(f framer.Frame) error {
	if f.Type == follower.ErrorResponse {
		x.forgetParsed()
	}
	pass := x.follower.Accept(f.Type)
	switch f.Type {
	case follower.ReadyForQuery:
		x.result.Status = f.Body()[0]
		return nil
	case follower.ErrorResponse:
		x.noteError(f)
	case follower.CommandComplete:
		x.result.Tag = string(bytes.TrimRight(f.Body(), "\x00"))
	case follower.CopyInResponse:
		x.pass(f.Type, f.Raw, true, f.Whole())
		return x.copyIn()
	}
	return x.forward(f, pass)
}

func (x *Exchange) forward(f framer.Frame, pass bool) error {
	if pass {
		x.pass(f.Type, f.Raw, true, f.Whole())
	}
	for f.Remaining > 0 {
		p, err := x.Conn.Reader.Rest(&f)
		if err != nil {
			return x.lost(err)
		}
		if pass {
			x.pass(f.Type, p, false, f.Whole())
		}
	}
	return nil
}

// pass hands a part to the caller; after its connection has failed, the
// statement is cancelled and the rest of the answer is read and dropped.
func (x *Exchange) pass(t byte, p []byte, first, last bool) {
	if x.outErr != nil {
		return
	}
	x.outErr = x.Output.Frame(t, p, first, last)
	if x.outErr != nil {
		go x.cancel.run()
	}
}

// forgetParsed notes that the server skips the Parse messages from the one
// that failed up to the Sync.
func (x *Exchange) forgetParsed() {
	for _, i := range x.follower.Rest() {
		if i.Type == batcher.Sync {
			return
		}
		if i.Type == batcher.Parse && i.Name != "" {
			x.Conn.Replay.ParseFailed(replayer.StatementPlan{Name: replayer.StatementID(i.Name)})
		}
	}
}

func (x *Exchange) noteError(f framer.Frame) {
	if x.result.Code != "" || len(f.Raw) > maximumErrorBytes+framer.HeaderBytes {
		return
	}
	x.result.Code = Code(f.Body())
}

// receivePosition reads the answer to a question for the log position. It is
// zero if the server answered with an error, as after a cancel.
func (x *Exchange) receivePosition() (marker.Mark, error) {
	var m marker.Mark
	for {
		f, err := x.Conn.Reader.Next()
		if err != nil {
			return marker.Mark{}, x.lost(err)
		}
		switch f.Type {
		case follower.DataRow:
			m = ParsePosition(f.Body())
		case follower.ReadyForQuery:
			return m, nil
		}
	}
}

func (x *Exchange) lost(err error) error {
	return errors.WithType(errors.Annotatef(err, "exchange with backend server %s", x.Conn.Address), ErrLost)
}

// ParsePosition reads the mark from a row of one text column, as term/position.
func ParsePosition(row []byte) marker.Mark {
	const columnHeader = 6
	if len(row) <= columnHeader {
		return marker.Mark{}
	}
	t, p, _ := bytes.Cut(row[columnHeader:], []byte{'/'})
	n, err := strconv.ParseUint(string(t), 10, 64)
	if err != nil {
		return marker.Mark{}
	}
	k, err := strconv.ParseUint(string(p), 10, 64)
	if err != nil {
		return marker.Mark{}
	}
	return marker.Mark{Term: marker.Term(n), Position: marker.Position(k)}
}

// Code returns the SQLSTATE of an error response's body.
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
