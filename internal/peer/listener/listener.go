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
	// HandleForward calls f.Grant and then serves f.Stream until the transaction has ended. An
	// error before the grant refuses the request, and one after it aborts the stream. ctx ends when
	// the forwarding host aborts the stream or the link ends.
	HandleForward(ctx context.Context, f *ForwardRequest) error
}

// Listener serves the links of this host, whichever side dialed them. The exported fields are set
// before Run.
type Listener struct {
	// Transport is the UDP socket on which peers are accepted.
	Transport *quic.Transport
	Securer   *securer.Securer
	// Links holds the links of this host, also those that the dialer made.
	Links *linker.Table
	// Self returns the sender of each answer: this host with its revision in force.
	Self func() encoder.Sender
	// CatchUp brings this host to the revision of the sender of a message, and returns once the
	// revision is in force. It is called for senders at a higher revision and may be nil.
	CatchUp func(ctx context.Context, s encoder.Sender) error
	// Forwards serves forwarded transactions. If nil, they are refused with
	// encoder.ReasonNotOwner.
	Forwards ForwardHandler
	// Routes serve all other kinds of request.
	Routes []Route
	// HandshakeTimeout bounds the QUIC handshake of a connection, and the wait for the complete
	// request on a stream.
	HandshakeTimeout time.Duration
	// PeerStreams is how many forwarded transactions one peer may have open here.
	PeerStreams int
	Log         log.Interface
}

// Run accepts connections until ctx ends, and then returns nil.
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

// Serve serves the streams and datagrams that the peer sends on k, until k or ctx ends.
func (l *Listener) Serve(ctx context.Context, k *linker.Link) {
	c, cancel := context.WithCancel(ctx)
	defer cancel()
	go l.loopDatagrams(c, k)
	for {
		s, err := k.Conn.AcceptStream(ctx)
		if err != nil {
			l.handleLinkEnd(ctx, k)
			return
		}
		x := incomingStream{listener: l, stream: linker.NewStream(s, k)}
		go x.run(c)
	}
}

// handleLinkEnd closes a link that this host stops serving, and logs the cause if a link ended
// without being closed by either side.
func (l *Listener) handleLinkEnd(ctx context.Context, k *linker.Link) {
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
		l.handleDatagram(ctx, k, b)
	}
}

// handleDatagram handles one datagram. A datagram that is malformed or would be refused is dropped,
// which has the same effect as its loss on the network.
func (l *Listener) handleDatagram(ctx context.Context, k *linker.Link, b []byte) {
	var r encoder.Request
	if err := encoder.Unmarshal(b, &r); err != nil || r.Kind.RequiresRevision() {
		return
	}
	if err := l.checkSender(ctx, r, k); err != nil {
		return
	}
	if x, ok := l.findRoute(r.Kind); ok {
		_, _ = x.Serve(ctx, r.Sender, r.Body)
	}
}

// runCatchUp calls CatchUp, which may take a while, and logs its failure.
func (l *Listener) runCatchUp(ctx context.Context, s encoder.Sender) {
	if err := l.CatchUp(ctx, s); err != nil && ctx.Err() == nil {
		l.Log.WithFields(log.Fields{"peer": s.Host, "step": "move up"}).WithError(err).Debug("not at the peer's revision")
	}
}

// checkSender checks that r is from the host of k, and calls CatchUp if the sender is at a higher
// revision. A request that requires the sender's revision waits for CatchUp and is refused if that
// fails.
func (l *Listener) checkSender(ctx context.Context, r encoder.Request, k *linker.Link) error {
	s := r.Sender
	if s.Host != k.Host {
		return &encoder.Refusal{Reason: encoder.ReasonMalformed, Detail: "message in another host's name"}
	}
	if l.CatchUp == nil || s.Revision <= l.Self().Revision {
		return nil
	}
	if !r.Kind.RequiresRevision() {
		go l.runCatchUp(ctx, s)
		return nil
	}
	if err := l.CatchUp(ctx, s); err != nil {
		return &encoder.Refusal{Reason: encoder.ReasonRevision, Detail: err.Error()}
	}
	return nil
}
