package forwarder

import (
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/peer/encoder"
	"github.com/cuminwick/cuminwick/internal/pool/exchanger"
	"github.com/cuminwick/cuminwick/internal/pool/lessor"
	"github.com/cuminwick/cuminwick/internal/pool/messenger"
	"github.com/cuminwick/cuminwick/internal/wire/batcher"
)

// answer is the answer to one exchange while it comes in.
type answer struct {
	lease    *lease
	exchange lessor.Exchange
	// outErr is why the caller can't be answered any more.
	outErr error
}

// Flags of an output message.
const (
	flagFirst = 1 << iota
	flagLast
)

// OutputHeaderBytes come before the part of an answer: its type and flags.
const OutputHeaderBytes = 2

// OutputHeader returns what comes before a part.
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

// receive passes the answer on until its result.
func (a *answer) receive() (exchanger.Result, error) {
	for {
		k, b, err := a.lease.conn.Read()
		if err != nil {
			return exchanger.Result{}, a.lease.lost(err)
		}
		switch k {
		case messenger.KindOutput:
			err = a.output(b)
		case messenger.KindInput:
			err = a.input()
		case messenger.KindResult:
			return a.result(b)
		default:
			err = errors.Annotatef(encoder.ErrMalformed, "message %q", k)
		}
		if err != nil {
			return exchanger.Result{}, a.lease.lost(err)
		}
	}
}

// output hands a part to the caller. Once that has failed, the exchange is
// cancelled and the rest of the answer is read and dropped.
func (a *answer) output(b []byte) error {
	if len(b) < OutputHeaderBytes {
		return errors.Annotate(encoder.ErrMalformed, "output without header")
	}
	if a.outErr != nil {
		return nil
	}
	a.outErr = a.exchange.Output.Frame(b[0], b[OutputHeaderBytes:], b[1]&flagFirst != 0, b[1]&flagLast != 0)
	if a.outErr == nil {
		return nil
	}
	return a.lease.conn.SendValue(messenger.KindCancel, messenger.Cancel{Sequence: a.lease.sequence})
}

// input passes the caller's messages of COPY FROM STDIN on, up to the last
// one that belongs to it.
func (a *answer) input() error {
	ended := false
	for {
		t, p, err := a.exchange.Input.Next()
		if err != nil {
			a.outErr = errors.Annotate(err, "read copy data from caller")
			return a.lease.conn.Send(messenger.KindCopyAbort)
		}
		ended = ended || t == batcher.CopyDone || t == batcher.CopyFail
		if !a.complete(t, ended) {
			err = a.lease.conn.Put(messenger.KindCopyData, []byte{t}, p)
		} else {
			return a.lease.conn.Send(messenger.KindCopyData, []byte{t}, p)
		}
		if err != nil {
			return err
		}
	}
}

// complete reports whether the message t is the last one of the COPY. In the
// extended protocol a Sync follows its end.
func (a *answer) complete(t byte, ended bool) bool {
	i := a.exchange.Batch.Items
	if ended && i[len(i)-1].Type == batcher.Sync {
		return t == batcher.Sync
	}
	return ended
}

func (a *answer) result(b []byte) (exchanger.Result, error) {
	var r messenger.Result
	if err := encoder.Unmarshal(b, &r); err != nil {
		return exchanger.Result{}, a.lease.lost(err)
	}
	if r.Sequence != a.lease.sequence {
		return exchanger.Result{}, a.lease.lost(errors.Annotatef(encoder.ErrMalformed, "result of exchange %d, want %d", r.Sequence, a.lease.sequence))
	}
	a.lease.returned = r.Returned
	if r.Load != nil && a.lease.pool.LoadRecorder != nil {
		a.lease.pool.LoadRecorder.RecordLoad(*r.Load)
	}
	f := r.Failure
	if a.outErr != nil && (f == nil || f.Cause == messenger.CauseCallerGone) {
		return r.ExchangeResult(), a.outErr
	}
	if f != nil {
		return r.ExchangeResult(), f.Err(a.lease.pool.Host)
	}
	return r.ExchangeResult(), nil
}
