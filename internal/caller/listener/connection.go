package listener

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"os"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/caller/greeter"
	"github.com/cuminwick/cuminwick/internal/caller/server"
	"github.com/cuminwick/cuminwick/internal/wire/framer"
)

// SQLSTATEs of refused connections.
const (
	codeTooMany  = "53300"
	codeProtocol = "08P01"
	codeFeature  = "0A000"
	codePassword = "28P01"
	codeCatalog  = "3D000"
	codeShutdown = "57P03"
)

// rejectTimeout bounds the writing of a refusal.
const rejectTimeout = time.Second

// connection is one caller's connection from accept to its end.
type connection struct {
	listener *Listener
	conn     net.Conn
}

func (c *connection) run(ctx context.Context) {
	l := c.listener
	defer l.group.Done()
	defer l.open.Add(-1)
	defer c.conn.Close()
	err := c.serve(ctx)
	if err == nil {
		return
	}
	g := l.Log.WithError(err).WithField("peer", c.conn.RemoteAddr().String())
	if disconnected(err) {
		g.Warn("caller disconnected")
		return
	}
	g.Debug("caller left")
}

// disconnected reports whether it was the host that ended the connection, for
// something the caller did. Who connects and leaves without a word, as a
// health check does, is not counted.
func disconnected(err error) bool {
	for _, e := range []error{errRefused, server.ErrMalformed, server.ErrBatchTooLarge, framer.ErrTooLarge, framer.ErrLength, os.ErrDeadlineExceeded} {
		if errors.Is(err, e) {
			return !errors.Is(err, io.EOF)
		}
	}
	return false
}

func (c *connection) serve(ctx context.Context) error {
	l := c.listener
	c.conn.SetDeadline(time.Now().Add(l.HandshakeTimeout))
	g, err := greeter.Greet(c.conn, c.tls())
	if err != nil {
		return c.reject(g, codeProtocol, errors.Cause(err).Error(), err)
	}
	if g.Cancel != nil {
		c.cancel(ctx, *g.Cancel)
		return nil
	}
	if err := c.admit(ctx, g); err != nil {
		return err
	}
	k := l.key()
	s, err := l.SessionFactory.NewSession(g, k)
	if err != nil {
		return c.reject(g, codeCatalog, err.Error(), err)
	}
	c.conn.SetDeadline(time.Time{})
	s.Prepare(ctx)
	l.add(k, s)
	defer l.remove(k)
	return s.Run()
}

// admit authenticates the caller and refuses what can't be served.
func (c *connection) admit(ctx context.Context, g greeter.StartupRequest) error {
	l := c.listener
	if l.draining.Load() {
		return c.reject(g, codeShutdown, "the entry host is stopping", server.ErrStopping)
	}
	if int(l.open.Load()) > l.MaximumConnections {
		return c.reject(g, codeTooMany, "too many callers are connected to this entry host", errTooMany)
	}
	if v := g.Parameters["replication"]; v != "" && v != "false" && v != "off" {
		return c.reject(g, codeFeature, "replication connections aren't served", errFeature)
	}
	if err := c.negotiate(g); err != nil {
		return err
	}
	err := c.authenticate(ctx, g)
	if l.OnLogin != nil {
		l.OnLogin(err)
	}
	if err != nil {
		return c.reject(g, codePassword, "password authentication failed for user \""+g.Parameters["user"]+"\"", err)
	}
	return nil
}

func (c *connection) authenticate(ctx context.Context, g greeter.StartupRequest) error {
	if c.listener.Authenticator == nil {
		return nil
	}
	return c.listener.Authenticator.Authenticate(ctx, g.Conn, g.Parameters)
}

const (
	errTooMany = errors.ConstError("too many callers")
	errFeature = errors.ConstError("replication asked for")
	errRefused = errors.ConstError("caller refused")
)

// negotiate tells a caller that asked for a newer minor version which one is served.
func (c *connection) negotiate(g greeter.StartupRequest) error {
	if g.MinorVersion == 0 && len(g.UnknownOptions) == 0 {
		return nil
	}
	m := pgproto3.NegotiateProtocolVersion{NewestMinorProtocol: 3 << 16, UnrecognizedOptions: g.UnknownOptions}
	p, err := m.Encode(nil)
	if err != nil {
		return errors.Annotate(err, "encode negotiation")
	}
	_, err = g.Conn.Write(p)
	return errors.Annotate(err, "negotiate protocol version")
}

func (c *connection) tls() *tls.Config {
	if c.listener.TLS == nil {
		return nil
	}
	return c.listener.TLS()
}

// cancel answers a cancel request, which never has an answer in words.
func (c *connection) cancel(ctx context.Context, k greeter.CancelKey) {
	l := c.listener
	if !l.Cancel(k) && l.Canceller != nil {
		l.Canceller.ForwardCancel(ctx, k)
	}
}

func (c *connection) reject(g greeter.StartupRequest, code, message string, cause error) error {
	m := pgproto3.ErrorResponse{
		Severity:            "FATAL",
		SeverityUnlocalized: "FATAL",
		Code:                code,
		Message:             message,
		Detail:              "outcome=not-run",
	}
	if p, err := m.Encode(nil); err == nil && g.Conn != nil {
		// The handshake's time may be up, and the caller may be gone; the cause
		// is reported in any case.
		g.Conn.SetWriteDeadline(time.Now().Add(rejectTimeout))
		_, _ = g.Conn.Write(p)
	}
	return errors.WithType(errors.Annotate(cause, "reject caller"), errRefused)
}
