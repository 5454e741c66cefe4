package listener

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/peer/encoder"
	"github.com/cuminwick/cuminwick/internal/peer/linker"
)

// incomingStream is a stream that a peer opened to send a request.
type incomingStream struct {
	listener *Listener
	stream   *linker.Stream
}

// run reads the request and serves it.
func (x *incomingStream) run(ctx context.Context) {
	c, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(x.stream.Context(), cancel)
	defer stop()
	r, err := x.read(c)
	switch {
	case err != nil:
		x.refuse(err)
	case r.Kind == encoder.KindForward:
		x.serveForward(c, r)
	default:
		x.serveRoute(c, r)
	}
}

// read reads the request and checks its sender. It fails after the handshake timeout, so that a
// peer that opens streams and sends nothing doesn't occupy them.
func (x *incomingStream) read(ctx context.Context) (encoder.Request, error) {
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
	return r, x.listener.checkSender(ctx, r, x.stream.Link)
}

// serveRoute answers a request by the route for its kind.
func (x *incomingStream) serveRoute(ctx context.Context, r encoder.Request) {
	f, ok := x.listener.findRoute(r.Kind)
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

// answerTimeout bounds the writing of an answer, since a peer may not read it.
const answerTimeout = 10 * time.Second

// send writes the answer a with this host as its sender.
func (x *incomingStream) send(a encoder.Answer) error {
	a.Sender = x.listener.Self()
	if err := x.stream.SetWriteDeadline(time.Now().Add(answerTimeout)); err != nil {
		return errors.Trace(err)
	}
	if err := encoder.Write(x.stream, a); err != nil {
		return err
	}
	return errors.Trace(x.stream.SetWriteDeadline(time.Time{}))
}

// refuse answers the request with the refusal for err. It logs refusals for encoder.ReasonFault and
// encoder.ReasonMalformed, the ones that aren't expected in operation.
func (x *incomingStream) refuse(err error) {
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

// ForwardRequest is a request to forward a transaction, with the stream on which it arrived.
type ForwardRequest struct {
	encoder.Forward
	// Sender is the forwarding host.
	Sender encoder.Sender
	// Stream carries raw bytes once Grant has returned.
	Stream *linker.Stream

	incoming *incomingStream
	// granted reports whether Grant was called.
	granted bool
}

// Grant grants the request and sends g to the forwarding host.
func (f *ForwardRequest) Grant(g encoder.Grant) error {
	b, err := encoder.Marshal(g)
	if err != nil {
		return err
	}
	f.granted = true
	return f.incoming.send(encoder.Answer{Body: b})
}

// serveForward serves a request of the kind encoder.KindForward by the handler in Forwards.
func (x *incomingStream) serveForward(ctx context.Context, r encoder.Request) {
	f := &ForwardRequest{Sender: r.Sender, Stream: x.stream, incoming: x}
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
