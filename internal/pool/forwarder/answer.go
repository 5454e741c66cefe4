package forwarder

import (
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/peer/encoder"
	"github.com/cuminwick/cuminwick/internal/pool/exchanger"
	"github.com/cuminwick/cuminwick/internal/pool/lessor"
	"github.com/cuminwick/cuminwick/internal/pool/messenger"
	"github.com/cuminwick/cuminwick/internal/wire/batcher"
)

// answerReader reads the answer to one exchange from the pool owner and forwards it to the caller.
type answerReader struct {
	lease    *lease
	exchange lessor.Exchange
	// inFrame reports that the last part of the present frame hasn't been received.
	inFrame bool
	// callerErr is the error that ended the forwarding to or from the caller.
	callerErr error
}

// Flags in the header of an output message: the part is the first or the last one of its frame.
const (
	flagFirst = 1 << iota
	flagLast
)

// OutputHeaderBytes is the length of the header of an output message: type and flags.
const OutputHeaderBytes = 2

// OutputHeader returns the header of an output message that carries one part of a message of type
// t; first and last have the meaning that they have in exchanger.Output.
func OutputHeader(t byte, first, last bool) [OutputHeaderBytes]byte {
	var f byte
	if first {
		f |= flagFirst
	}
	if last {
		f |= flagLast
	}
	return [OutputHeaderBytes]byte{t, f}
}

// receive forwards the answer to the caller up to its result.
func (a *answerReader) receive() (exchanger.Result, error) {
	for {
		k, b, err := a.lease.conn.Read()
		if err != nil {
			return exchanger.Result{}, a.lease.lost(err)
		}
		switch k {
		case messenger.KindOutput:
			err = a.handleOutput(b)
		case messenger.KindInput:
			err = a.sendCopyData()
		case messenger.KindResult:
			return a.handleResult(b)
		default:
			err = errors.Annotatef(encoder.ErrMalformed, "message %q", k)
		}
		if err != nil {
			return exchanger.Result{}, a.lease.lost(err)
		}
	}
}

// handleOutput writes a part of a message to the caller. Once that has failed, the exchange is
// cancelled and the rest of the answer is read and dropped.
func (a *answerReader) handleOutput(b []byte) error {
	if len(b) < OutputHeaderBytes {
		return errors.Annotate(encoder.ErrMalformed, "output without header")
	}
	if first := b[1]&flagFirst != 0; first == a.inFrame {
		return errors.Annotatef(encoder.ErrMalformed, "part of frame %q, first %t", b[0], first)
	}
	a.inFrame = b[1]&flagLast == 0
	if a.callerErr != nil {
		return nil
	}
	a.callerErr = a.exchange.Output.Frame(b[0], b[OutputHeaderBytes:], b[1]&flagFirst != 0, b[1]&flagLast != 0)
	if a.callerErr == nil {
		return nil
	}
	return a.lease.conn.SendValue(messenger.KindCancel, messenger.Cancel{Sequence: a.lease.sequence})
}

// sendCopyData forwards the caller's messages of a COPY FROM STDIN up to its last one.
func (a *answerReader) sendCopyData() error {
	if a.exchange.Input == nil {
		return errors.Annotate(encoder.ErrMalformed, "input for a batch without a COPY")
	}
	ended := false
	for {
		t, p, err := a.exchange.Input.Next()
		if err != nil {
			a.callerErr = errors.Annotate(err, "read copy data from caller")
			return a.lease.conn.Send(messenger.KindCopyAbort)
		}
		ended = ended || t == batcher.CopyDone || t == batcher.CopyFail
		if !a.endsCopy(t, ended) {
			err = a.lease.conn.Put(messenger.KindCopyData, []byte{t}, p)
		} else {
			return a.lease.conn.Send(messenger.KindCopyData, []byte{t}, p)
		}
		if err != nil {
			return err
		}
	}
}

// endsCopy reports whether a message of type t is the last one of the COPY; ended says that CopyDone
// or CopyFail has been sent. In the extended protocol a Sync follows them.
func (a *answerReader) endsCopy(t byte, ended bool) bool {
	i := a.exchange.Batch.Items
	if ended && i[len(i)-1].Type == batcher.Sync {
		return t == batcher.Sync
	}
	return ended
}

// handleResult returns the result of the exchange and the error that the pool owner reported.
func (a *answerReader) handleResult(b []byte) (exchanger.Result, error) {
	var r messenger.Result
	if err := encoder.Unmarshal(b, &r); err != nil {
		return exchanger.Result{}, a.lease.lost(err)
	}
	if !isStatus(r.Status) || a.inFrame && r.Failure == nil {
		return exchanger.Result{}, a.lease.lost(errors.Annotatef(encoder.ErrMalformed, "result in state %q, within a frame %t", r.Status, a.inFrame))
	}
	if r.Sequence != a.lease.sequence {
		return exchanger.Result{}, a.lease.lost(errors.Annotatef(encoder.ErrMalformed, "result of exchange %d, want %d", r.Sequence, a.lease.sequence))
	}
	a.lease.returned = r.Returned
	if r.Load != nil && a.lease.pool.LoadRecorder != nil {
		a.lease.pool.LoadRecorder.RecordLoad(*r.Load)
	}
	f := r.Failure
	if a.callerErr != nil && (f == nil || f.Cause == messenger.CauseCallerGone) {
		return r.ExchangeResult(), a.callerErr
	}
	if f != nil {
		return r.ExchangeResult(), f.Err(a.lease.pool.Host)
	}
	return r.ExchangeResult(), nil
}

// isStatus reports whether s is a transaction state, or zero for an exchange that ended with a Flush or
// failed.
func isStatus(s byte) bool {
	return s == 0 || s == exchanger.Idle || s == exchanger.InTransaction || s == exchanger.Failed
}
