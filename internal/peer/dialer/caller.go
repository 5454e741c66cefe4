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

// Call sends q to host and returns its answer. A refusal by the host is an
// error of type *encoder.Refusal. Messages are idempotent: one whose answer
// was lost may be sent again.
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

// Forward asks host for a lease on a backend server's connection. With the
// grant the stream carries raw bytes both ways. After an error nothing of the
// transaction has reached a backend server, as its bytes follow the grant.
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

// Send sends v in a datagram, which may be lost.
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

// ask sends r on a new stream and returns the stream with its first answer.
// Where the connection ended because it was idle or silent, or the peer lost
// its state in a restart, a new one is tried once.
func (d *Dialer) ask(ctx context.Context, host string, r encoder.Request) (*linker.Stream, encoder.Answer, error) {
	s, a, err := d.askOnce(ctx, host, r)
	if err != nil && ctx.Err() == nil && isStale(err) {
		s, a, err = d.askOnce(ctx, host, r)
	}
	return s, a, err
}

// isStale reports whether err is the end of a connection that was open before
// the request: a new connection may work.
func isStale(err error) bool {
	var x *quic.ApplicationError
	if errors.As(err, &x) {
		c := linker.Code(x.ErrorCode)
		return c == linker.CodeIdle || c == linker.CodeSilent
	}
	var y *quic.StatelessResetError
	return errors.As(err, &y)
}

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
	if err := d.heard(a.Sender, l); err != nil {
		s.Abort()
		return nil, a, err
	}
	if a.Refusal != nil {
		_ = s.Close()
		return nil, a, a.Refusal
	}
	return s, a, nil
}

// exchanged is the part of a stream that one request and its answer need.
type exchanged interface {
	io.ReadWriter
	CloseWrite() error
	SetDeadline(t time.Time) error
}

// exchange writes r and reads the answer, until ctx ends.
func exchange(ctx context.Context, s exchanged, r encoder.Request, a *encoder.Answer) error {
	stop := context.AfterFunc(ctx, interrupter{stream: s}.run)
	err := encoder.Write(s, r)
	if err == nil && r.Kind != encoder.KindForward {
		// Nothing follows. The end goes in the request's packet; sent with the
		// answer's acknowledgement it took packets of its own in both directions.
		// A peer that answers before the end is written stops reading, which fails
		// it. The answer is there all the same, so what the read says counts.
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

// interrupter wakes reads and writes of a stream.
type interrupter struct {
	stream exchanged
}

func (i interrupter) run() {
	_ = i.stream.SetDeadline(time.Unix(1, 0))
}

// heard checks whom an answer is from and passes its sender on. It doesn't wait
// for this host to move up: the answer is to a request that was decided by the
// present revision, and dropping it would leave the outcome open.
func (d *Dialer) heard(s encoder.Sender, l *linker.Link) error {
	if s.Host != l.Host {
		return errors.Annotatef(encoder.ErrMalformed, "answer in the name of %q", s.Host)
	}
	if d.CatchUp != nil && s.Revision > d.Self().Revision {
		go d.runHeard(d.lifetime(), s)
	}
	return nil
}

// runHeard passes a sender on, whose revision may take a while to reach.
func (d *Dialer) runHeard(ctx context.Context, s encoder.Sender) {
	// The next message of a higher revision tries again.
	_ = d.CatchUp(ctx, s)
}
