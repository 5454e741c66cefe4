package dialer

import (
	"context"
	"io"
	"time"

	"github.com/juju/errors"
	"github.com/quic-go/quic-go"

	"github.com/cuminwick/cuminwick/internal/fault/wrapper"
	"github.com/cuminwick/cuminwick/internal/peer/encoder"
	"github.com/cuminwick/cuminwick/internal/peer/linker"
)

// Call sends q to host and returns its answer. A refusal by the host is returned as an error of
// type *encoder.Refusal. A request whose answer was lost may be sent again, so messages have to be
// idempotent.
func Call[Q, A any](ctx context.Context, d *Dialer, host string, k encoder.Kind, q Q) (A, error) {
	var a A
	m, err := encoder.Marshal(q)
	if err != nil {
		return a, err
	}
	s, b, err := d.ask(ctx, host, encoder.Request{Kind: k, Body: m})
	if err != nil {
		return a, wrapper.Wrap(err, string(k), host)
	}
	_ = s.Close()
	err = encoder.Unmarshal(b.Body, &a)
	return a, wrapper.Wrap(err, string(k), host)
}

// Forward asks host for a lease on a backend server's connection and waits for the grant. After
// that, the returned stream carries raw bytes in both directions. If Forward returns an error,
// nothing of the transaction has reached a backend server, since its bytes follow the grant.
func (d *Dialer) Forward(ctx context.Context, host string, f encoder.Forward) (*linker.Stream, encoder.Grant, error) {
	var g encoder.Grant
	if l := d.Links.Find(host); l != nil && l.Streams() >= d.PeerStreams {
		return nil, g, wrapper.Wrap(ErrStreamLimit, "forward", host)
	}
	b, err := encoder.Marshal(f)
	if err != nil {
		return nil, g, err
	}
	s, a, err := d.ask(ctx, host, encoder.Request{Kind: encoder.KindForward, Body: b})
	if err != nil {
		return nil, g, wrapper.Wrap(err, "forward", host)
	}
	if err := encoder.Unmarshal(a.Body, &g); err != nil {
		s.Abort()
		return nil, g, wrapper.Wrap(err, "forward", host)
	}
	return s, g, nil
}

// Send sends v to host in a datagram, which may be lost. It returns encoder.ErrTooLarge if the
// message exceeds encoder.MaximumDatagramBytes.
func (d *Dialer) Send(ctx context.Context, host string, k encoder.Kind, v any) error {
	b, err := encoder.Marshal(v)
	if err != nil {
		return err
	}
	m, err := encoder.Marshal(encoder.Request{Kind: k, Sender: d.Self(), Body: b})
	if err != nil {
		return err
	}
	if len(m) > encoder.MaximumDatagramBytes {
		return wrapper.Wrap(errors.Annotatef(encoder.ErrTooLarge, "datagram of %d bytes", len(m)), string(k), host)
	}
	l, err := d.link(ctx, host)
	if err != nil {
		return err
	}
	l.Touch()
	return wrapper.Wrap(l.Conn.SendDatagram(m), string(k), host)
}

// ask sends r on a new stream and returns the stream and the answer. If the connection was closed
// as idle or silent, or the peer lost its state in a restart, ask tries again once on a new
// connection.
func (d *Dialer) ask(ctx context.Context, host string, r encoder.Request) (*linker.Stream, encoder.Answer, error) {
	s, a, err := d.askOnce(ctx, host, r)
	if err != nil && ctx.Err() == nil && isStale(err) {
		s, a, err = d.askOnce(ctx, host, r)
	}
	return s, a, err
}

// isStale reports whether err is the end of a connection that may have been dead before the
// request, so that a new connection may work.
func isStale(err error) bool {
	var x *quic.ApplicationError
	if errors.As(err, &x) {
		c := linker.Code(x.ErrorCode)
		return c == linker.CodeIdle || c == linker.CodeSilent
	}
	var y *quic.StatelessResetError
	return errors.As(err, &y)
}

// askOnce is one attempt of ask.
func (d *Dialer) askOnce(ctx context.Context, host string, r encoder.Request) (*linker.Stream, encoder.Answer, error) {
	var a encoder.Answer
	l, err := d.link(ctx, host)
	if err != nil {
		return nil, a, err
	}
	q, err := l.Conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, a, errors.Annotate(err, "open stream")
	}
	s := linker.NewStream(q, l)
	r.Sender = d.Self()
	if err := exchange(ctx, s, r, &a); err != nil {
		s.Abort()
		return nil, a, err
	}
	if err := d.checkSender(a.Sender, l); err != nil {
		s.Abort()
		return nil, a, err
	}
	if a.Refusal != nil {
		_ = s.Close()
		return nil, a, a.Refusal
	}
	return s, a, nil
}

// requestStream is the part of linker.Stream that one request and its answer need.
type requestStream interface {
	io.ReadWriter
	CloseWrite() error
	SetDeadline(t time.Time) error
}

// exchange writes r to s and reads the answer into a. It is interrupted when ctx ends.
func exchange(ctx context.Context, s requestStream, r encoder.Request, a *encoder.Answer) error {
	stop := context.AfterFunc(ctx, interrupter{stream: s}.run)
	err := encoder.Write(s, r)
	if err == nil && r.Kind != encoder.KindForward {
		// Nothing follows the request. Closed now, the end of the stream is sent in the packet of
		// the request; closed after the answer, it would need packets of its own in both
		// directions. CloseWrite fails if the peer has already answered and stopped reading. The
		// answer is valid nevertheless, so only the result of the read counts.
		_ = s.CloseWrite()
	}
	if err == nil {
		err = encoder.Read(s, a)
	}
	if !stop() {
		return errors.Annotate(ctx.Err(), "wait for answer")
	}
	return err
}

// interrupter interrupts the reads and writes of a stream by a deadline in the past.
type interrupter struct {
	stream requestStream
}

func (i interrupter) run() {
	_ = i.stream.SetDeadline(time.Unix(1, 0))
}

// checkSender checks that an answer is from the host of l, and starts CatchUp if the sender is at a
// higher revision. It doesn't wait for CatchUp: the request was made under this host's revision,
// and if the answer were discarded, the outcome of the request would be unknown.
func (d *Dialer) checkSender(s encoder.Sender, l *linker.Link) error {
	if s.Host != l.Host {
		return errors.Annotatef(encoder.ErrMalformed, "answer in the name of %q", s.Host)
	}
	if d.CatchUp != nil && s.Revision > d.Self().Revision {
		go d.runCatchUp(d.runContext(), s)
	}
	return nil
}

// runCatchUp calls CatchUp, which may take a while.
func (d *Dialer) runCatchUp(ctx context.Context, s encoder.Sender) {
	// A failure is ignored, since the next message with a higher revision causes another attempt.
	_ = d.CatchUp(ctx, s)
}
