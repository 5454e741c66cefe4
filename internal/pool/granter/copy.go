package granter

import (
	"bytes"
	"context"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/peer/encoder"
	"github.com/cuminwick/cuminwick/internal/pool/forwarder"
	"github.com/cuminwick/cuminwick/internal/pool/messenger"
)

// input is one message of the caller during COPY FROM STDIN.
type input struct {
	kind byte
	raw  []byte
	err  error
}

// inputs is the exchanger's Input. It asks the other host once, which then
// sends all messages of the COPY; the stream's flow control bounds them.
type inputs struct {
	service *service
	// context is that of the lease: a COPY that is cancelled is still read to
	// its end, as the caller learns of it only then.
	context context.Context
	asked   bool
}

// Next implements exchanger.Input.
func (i *inputs) Next() (byte, []byte, error) {
	if !i.asked {
		i.asked = true
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

func (s *service) takeInput(ctx context.Context, p []byte) error {
	if len(p) == 0 {
		return errors.Annotate(encoder.ErrMalformed, "copy data without type")
	}
	return s.offer(ctx, input{kind: p[0], raw: bytes.Clone(p[1:])})
}

// offer hands m to the exchange that reads it. One that failed reads no more;
// what is still under way for it is dropped, as it would hold up the stream.
func (s *service) offer(ctx context.Context, m input) error {
	select {
	case s.inputs <- m:
		return nil
	case <-s.over():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// output is the exchanger's Output.
type output struct {
	conn *messenger.Conn
}

// Frame implements exchanger.Output.
func (o *output) Frame(t byte, part []byte, first, last bool) error {
	h := forwarder.OutputHeader(t, first, last)
	return o.conn.Put(messenger.KindOutput, h[:], part)
}
