package dialer

import (
	"bytes"
	"context"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/fault/wrapper"
	"github.com/cuminwick/cuminwick/internal/peer/encoder"
	"github.com/cuminwick/cuminwick/internal/peer/linker"
)

// Pending is an encoder.Forward request whose answer hasn't been read. The caller may write more
// bytes after the request; the host reads them once it has granted the request.
type Pending struct {
	// Stream is the stream of the request, on which nothing has been written.
	Stream *linker.Stream
	// Request is the encoded request. The caller writes it to Stream first, in one write with the
	// bytes that follow, so that both can share a packet.
	Request []byte

	dialer *Dialer
	host   string
}

// Begin opens a stream to host and prepares a request for a lease, without waiting for the answer.
// If it returns an error, nothing of the request was sent. It returns ErrStreamLimit if PeerStreams
// streams to host are open.
func (d *Dialer) Begin(ctx context.Context, host string, f encoder.Forward) (*Pending, error) {
	b, err := encoder.Marshal(f)
	if err != nil {
		return nil, err
	}
	l, err := d.link(ctx, host)
	if err != nil {
		return nil, wrapper.Wrap(err, "forward", host)
	}
	if l.Streams() >= d.PeerStreams {
		return nil, wrapper.Wrap(ErrStreamLimit, "forward", host)
	}
	q, err := l.Conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, wrapper.Wrap(errors.Annotate(err, "open stream"), "forward", host)
	}
	p := &Pending{Stream: linker.NewStream(q, l), dialer: d, host: host}
	var w bytes.Buffer
	if err := encoder.Write(&w, encoder.Request{Kind: encoder.KindForward, Sender: d.Self(), Body: b}); err != nil {
		p.Stream.Abort()
		return nil, wrapper.Wrap(err, "forward", host)
	}
	p.Request = w.Bytes()
	return p, nil
}

// Await reads the answer. A refusal is returned as an error of type *encoder.Refusal. After any
// other error it is unknown what the host did with the bytes that were written.
func (p *Pending) Await(ctx context.Context) (encoder.Grant, error) {
	var g encoder.Grant
	var a encoder.Answer
	stop := context.AfterFunc(ctx, interrupter{stream: p.Stream}.run)
	err := encoder.Read(p.Stream, &a)
	if !stop() {
		err = errors.Annotate(ctx.Err(), "wait for answer")
	}
	if err == nil {
		err = p.dialer.checkSender(a.Sender, p.Stream.Link)
	}
	if err == nil && a.Refusal != nil {
		err = a.Refusal
	}
	if err == nil {
		err = encoder.Unmarshal(a.Body, &g)
	}
	return g, wrapper.Wrap(err, "forward", p.host)
}
