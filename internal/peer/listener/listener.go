// Package listener accepts connections of other entry hosts and serves their requests.
package listener

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/juju/errors"
	"github.com/quic-go/quic-go"

	"github.com/cuminwick/cuminwick/internal/fault/wrapper"
	"github.com/cuminwick/cuminwick/internal/peer/encoder"
	"github.com/cuminwick/cuminwick/internal/peer/linker"
	"github.com/cuminwick/cuminwick/internal/peer/securer"
)

// ForwardHandler serves forwarded transactions.
type ForwardHandler interface {
	// HandleForward queues for the connection that f asks for. It calls
	// f.Grant and then serves the stream until the transaction has ended. An
	// error before the grant refuses the request, one after it aborts the
	// stream. The context ends when the other host gives up.
	HandleForward(ctx context.Context, f *ForwardRequest) error
}

// Listener serves the links of this host, whichever side dialed them.
type Listener struct {
	Transport *quic.Transport
	Securer   *securer.Securer
	Links     *linker.Table
	// Self is put on each answer.
	Self func() encoder.Sender
	// CatchUp is told of the sender of a request that is at a higher revision
	// than this host, which has to move up; it may be nil.
	CatchUp func(ctx context.Context, s encoder.Sender) error
	// Forwards serves forwarded transactions.
	Forwards ForwardHandler
	// Routes serve all other kinds of request.
	Routes []Route
	// HandshakeTimeout ends a connection or request that isn't complete by then.
	HandshakeTimeout time.Duration
	// PeerStreams is how many forwarded transactions one peer may have open here.
	PeerStreams int
	Log         log.Interface
}

// Run accepts connections until ctx ends.
func (l *Listener) Run(ctx context.Context) error {
	q, err := l.Transport.Listen(l.Securer.Server(), linker.Configuration(l.HandshakeTimeout, l.PeerStreams))
	if err != nil {
		return wrapper.Wrap(err, "listen for peers", l.Transport.Conn.LocalAddr().String())
	}
	defer func() { _ = q.Close() }()
	return l.loop(ctx, q)
}

func (l *Listener) loop(ctx context.Context, q *quic.Listener) error {
	for {
		c, err := q.Accept(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return wrapper.Wrap(err, "accept peers", q.Addr().String())
		}
		go l.runConn(ctx, c)
	}
}

// runConn serves an accepted connection until it ends.
func (l *Listener) runConn(ctx context.Context, c *quic.Conn) {
	n, err := securer.Identity(c.ConnectionState().TLS)
	if err != nil {
		l.Log.WithField("peer", c.RemoteAddr().String()).WithError(err).Warn("peer rejected")
		_ = c.CloseWithError(quic.ApplicationErrorCode(linker.CodeRejected), "")
		return
	}
	k := &linker.Link{Host: n, Conn: c}
	l.Links.Add(k)
	defer l.Links.Remove(k)
	l.Serve(ctx, k)
}

// Serve serves the streams and datagrams that the peer sends on k, until k ends.
func (l *Listener) Serve(ctx context.Context, k *linker.Link) {
	c, cancel := context.WithCancel(ctx)
	defer cancel()
	go l.loopDatagrams(c, k)
	for {
		s, err := k.Conn.AcceptStream(ctx)
		if err != nil {
			l.ended(ctx, k)
			return
		}
		x := exchange{listener: l, stream: linker.NewStream(s, k)}
		go x.run(c)
	}
}

// ended closes a link that this host stops serving, and tells why a link
// ended that the peer didn't close in an orderly way.
func (l *Listener) ended(ctx context.Context, k *linker.Link) {
	if ctx.Err() != nil {
		k.Close(linker.CodeStopping)
		return
	}
	err := context.Cause(k.Conn.Context())
	var x *quic.ApplicationError
	if errors.As(err, &x) {
		return
	}
	l.Log.WithFields(log.Fields{"peer": k.Host, "step": "serve peer"}).WithError(err).Warn("link lost")
}

// loopDatagrams handles datagrams in the order in which they arrive.
func (l *Listener) loopDatagrams(ctx context.Context, k *linker.Link) {
	for {
		b, err := k.Conn.ReceiveDatagram(ctx)
		if err != nil {
			return
		}
		k.Touch()
		l.datagram(ctx, k, b)
	}
}

// datagram handles one datagram; one that is malformed or refused is dropped,
// as a lost one would be.
func (l *Listener) datagram(ctx context.Context, k *linker.Link, b []byte) {
	var r encoder.Request
	if err := encoder.Unmarshal(b, &r); err != nil || r.Kind.RequiresRevision() {
		return
	}
	if err := l.heard(ctx, r, k); err != nil {
		return
	}
	if x, ok := l.route(r.Kind); ok {
		_, _ = x.Serve(ctx, r.Sender, r.Body)
	}
}

// runHeard passes a sender on, whose revision may take a while to reach.
func (l *Listener) runHeard(ctx context.Context, s encoder.Sender) {
	if err := l.CatchUp(ctx, s); err != nil && ctx.Err() == nil {
		l.Log.WithFields(log.Fields{"peer": s.Host, "step": "move up"}).WithError(err).Debug("not at the peer's revision")
	}
}

// heard checks whom a message is from and passes its sender on. Requests that
// the configuration decides wait until this host is at the sender's revision.
func (l *Listener) heard(ctx context.Context, r encoder.Request, k *linker.Link) error {
	s := r.Sender
	if s.Host != k.Host {
		return &encoder.Refusal{Reason: encoder.ReasonMalformed, Detail: "message in another host's name"}
	}
	if l.CatchUp == nil || s.Revision <= l.Self().Revision {
		return nil
	}
	if !r.Kind.RequiresRevision() {
		go l.runHeard(ctx, s)
		return nil
	}
	if err := l.CatchUp(ctx, s); err != nil {
		return &encoder.Refusal{Reason: encoder.ReasonRevision, Detail: err.Error()}
	}
	return nil
}
