package granter

import (
	"bytes"
	"context"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/peer/encoder"
	"github.com/cuminwick/cuminwick/internal/pool/forwarder"
	"github.com/cuminwick/cuminwick/internal/pool/messenger"
	"github.com/cuminwick/cuminwick/internal/wire/batcher"
)

// input is one message of the caller during COPY FROM STDIN, or the error that ends it.
type input struct {
	kind byte
	raw  []byte
	err  error
}

// inputs implements exchanger.Input. It requests the input once from the forwarding host, which
// then sends all messages of the COPY; the flow control of the stream limits them.
type inputs struct {
	service *service
	// context is that of the lease, not of the exchange: a cancelled COPY is still read to its
	// end, since only then the caller receives the cancellation.
	context   context.Context
	requested bool
}

// Next implements exchanger.Input.
func (i *inputs) Next() (byte, []byte, error) {
	if !i.requested {
		i.requested = true
		if err := i.service.conn.Send(messenger.KindInput); err != nil {
			return 0, nil, err
		}
	}
	select {
	case m := <-i.service.inputs:
		return m.kind, m.raw, m.err
	case <-i.context.Done():
		return 0, nil, context.Cause(i.context)
	}
}

// handleCopyData passes a message of type KindCopyData on to the exchange.
func (s *service) handleCopyData(ctx context.Context, p []byte) error {
	if len(p) == 0 || !isMessage(p[0], p[1:]) || !isCopyMessage(p[0]) {
		return errors.Annotatef(encoder.ErrMalformed, "copy data of %d bytes, beginning with %.2q", len(p), p)
	}
	return s.deliverInput(ctx, input{kind: p[0], raw: bytes.Clone(p[1:])})
}

// isCopyMessage reports whether a message of type t may be sent during a COPY or ends one.
func isCopyMessage(t byte) bool {
	switch t {
	case batcher.CopyData, batcher.CopyDone, batcher.CopyFail, batcher.Sync:
		return true
	}
	return false
}

// deliverInput passes m to the exchange that reads it. A failed exchange reads no more, so the
// remaining input is dropped; otherwise it would block the stream.
func (s *service) deliverInput(ctx context.Context, m input) error {
	select {
	case s.inputs <- m:
		return nil
	case <-s.exchangeDone():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// output implements exchanger.Output by sending the response to the forwarding host.
type output struct {
	conn *messenger.Conn
}

// Frame implements exchanger.Output.
func (o *output) Frame(t byte, part []byte, first, last bool) error {
	h := forwarder.OutputHeader(t, first, last)
	return o.conn.Put(messenger.KindOutput, h[:], part)
}
