package listener

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/peer/encoder"
	"github.com/cuminwick/cuminwick/internal/peer/linker"
)

// exchange is one stream that a peer opened.
type exchange struct {
	listener *Listener
	stream   *linker.Stream
}

// run reads the request and serves it.
func (x *exchange) run(ctx context.Context) {
	c, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(x.stream.Context(), cancel)
	defer stop()
	r, err := x.read(c)
	switch {
	case err != nil:
		x.refuse(err)
	case r.Kind == encoder.KindForward:
		x.forward(c, r)
	default:
		x.answer(c, r)
	}
}

// read takes the request within the handshake timeout: a peer that opens
// streams and sends nothing must not hold them.
func (x *exchange) read(ctx context.Context) (encoder.Request, error) {
	var r encoder.Request
	if err := x.stream.SetReadDeadline(time.Now().Add(x.listener.HandshakeTimeout)); err != nil {
		return r, errors.Trace(err)
	}
	if err := encoder.Read(x.stream, &r); err != nil {
		return r, err
	}
	if err := x.stream.SetReadDeadline(time.Time{}); err != nil {
		return r, errors.Trace(err)
	}
	return r, x.listener.heard(ctx, r, x.stream.Link)
}

func (x *exchange) answer(ctx context.Context, r encoder.Request) {
	f, ok := x.listener.route(r.Kind)
	if !ok {
		x.refuse(&encoder.Refusal{Reason: encoder.ReasonUnknownKind, Detail: string(r.Kind)})
		return
	}
	b, err := f.Serve(ctx, r.Sender, r.Body)
	if err != nil {
		x.refuse(err)
		return
	}
	if err := x.send(encoder.Answer{Body: b}); err != nil {
		x.stream.Abort()
		return
	}
	_ = x.stream.Close()
}

// answerTimeout bounds the writing of an answer to a peer that doesn't read.
const answerTimeout = 10 * time.Second

func (x *exchange) send(a encoder.Answer) error {
	a.Sender = x.listener.Self()
	if err := x.stream.SetWriteDeadline(time.Now().Add(answerTimeout)); err != nil {
		return errors.Trace(err)
	}
	if err := encoder.Write(x.stream, a); err != nil {
		return err
	}
	return errors.Trace(x.stream.SetWriteDeadline(time.Time{}))
}

func (x *exchange) refuse(err error) {
	r := refusal(err)
	if r.Reason == encoder.ReasonFault || r.Reason == encoder.ReasonMalformed {
		f := log.Fields{"peer": x.stream.Link.Host, "step": "serve peer", "reason": r.Reason}
		x.listener.Log.WithFields(f).WithError(err).Warn("peer request refused")
	}
	if err := x.send(encoder.Answer{Refusal: r}); err != nil {
		x.stream.Abort()
		return
	}
	_ = x.stream.Close()
}

// ForwardRequest is a forwarded transaction that waits for its grant.
type ForwardRequest struct {
	encoder.Forward
	Sender encoder.Sender
	// Stream carries raw bytes once Grant has returned.
	Stream *linker.Stream

	exchange *exchange
	granted  bool
}

// Grant tells the other host that it has the connection.
func (f *ForwardRequest) Grant(g encoder.Grant) error {
	b, err := encoder.Marshal(g)
	if err != nil {
		return err
	}
	f.granted = true
	return f.exchange.send(encoder.Answer{Body: b})
}

func (x *exchange) forward(ctx context.Context, r encoder.Request) {
	f := &ForwardRequest{Sender: r.Sender, Stream: x.stream, exchange: x}
	if err := encoder.Unmarshal(r.Body, &f.Forward); err != nil {
		x.refuse(err)
		return
	}
	if x.listener.Forwards == nil {
		x.refuse(&encoder.Refusal{Reason: encoder.ReasonNotOwner})
		return
	}
	err := x.listener.Forwards.HandleForward(ctx, f)
	switch {
	case err == nil && f.granted:
		_ = x.stream.Close()
	case f.granted:
		x.stream.Abort()
	case err == nil:
		x.refuse(errors.New("transaction neither granted nor refused"))
	default:
		x.refuse(err)
	}
}
