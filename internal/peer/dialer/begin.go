package dialer

import (
	"bytes"
	"context"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/fault/wrapper"
	"github.com/cuminwick/cuminwick/internal/peer/encoder"
	"github.com/cuminwick/cuminwick/internal/peer/linker"
)

// Pending is a Forward whose answer hasn't come yet. More bytes may follow the
// request on the stream; the host reads them once it has granted the request.
type Pending struct {
	Stream *linker.Stream
	// Request is what the caller writes to Stream first. It isn't written here
	// so that it can share a packet with what follows.
	Request []byte

	dialer *Dialer
	host   string
}

// Begin opens a stream to ask host for a lease without waiting for the answer.
// After an error nothing was sent.
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

// Await reads the answer. A refusal is an error of type *encoder.Refusal; after
// any other one it isn't known what the host did with what was written.
func (p *Pending) Await(ctx context.Context) (encoder.Grant, error) {
	var g encoder.Grant
	var a encoder.Answer
	stop := context.AfterFunc(ctx, interrupter{stream: p.Stream}.run)
	err := encoder.Read(p.Stream, &a)
	if !stop() {
		err = errors.Annotate(ctx.Err(), "wait for answer")
	}
	if err == nil {
		err = p.dialer.heard(a.Sender, p.Stream.Link)
	}
	if err == nil && a.Refusal != nil {
		err = a.Refusal
	}
	if err == nil {
		err = encoder.Unmarshal(a.Body, &g)
	}
	return g, wrapper.Wrap(err, "forward", p.host)
}
