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

// SQLSTATEs of refused connections, named after PostgreSQL's condition names.
const (
	codeTooManyConnections  = "53300"
	codeProtocolViolation   = "08P01"
	codeFeatureNotSupported = "0A000"
	codeInvalidPassword     = "28P01"
	codeInvalidCatalogName  = "3D000"
	codeCannotConnectNow    = "57P03"
)

// rejectTimeout bounds the write of a refusal.
const rejectTimeout = time.Second

// connection serves one caller's connection from its acceptance to its end.
type connection struct {
	listener *Listener
	conn     net.Conn
}

func (c *connection) run(ctx context.Context) {
	l := c.listener
	defer l.connectionGroup.Done()
	defer l.openConnections.Add(-1)
	defer c.conn.Close()
	err := c.serve(ctx)
	if err == nil {
		return
	}
	g := l.Log.WithError(err).WithField("peer", c.conn.RemoteAddr().String())
	if closedByHost(err) {
		g.Warn("caller disconnected")
		return
	}
	g.Debug("caller left")
}

// closedByHost reports whether the host ended the connection because of something that the caller
// did. It is false for a caller that merely disconnects, as a health check does.
func closedByHost(err error) bool {
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
	g, err := greeter.Greet(c.conn, c.tlsConfig())
	if err != nil {
		return c.reject(g, codeProtocolViolation, errors.Cause(err).Error(), err)
	}
	if g.Cancel != nil {
		c.serveCancel(ctx, *g.Cancel)
		return nil
	}
	if err := c.admit(ctx, g); err != nil {
		return err
	}
	k := l.newKey()
	s, err := l.SessionFactory.NewSession(g, k)
	if err != nil {
		return c.reject(g, codeInvalidCatalogName, err.Error(), err)
	}
	c.conn.SetDeadline(time.Time{})
	s.Prepare(ctx)
	l.addSession(k, s)
	defer l.removeSession(k)
	return s.Run()
}

// admit authenticates the caller. It rejects a connection that this host can't serve.
func (c *connection) admit(ctx context.Context, g greeter.StartupRequest) error {
	l := c.listener
	if l.draining.Load() {
		return c.reject(g, codeCannotConnectNow, "the entry host is stopping", server.ErrStopping)
	}
	if int(l.openConnections.Load()) > l.MaximumConnections {
		return c.reject(g, codeTooManyConnections, "too many callers are connected to this entry host", errTooManyCallers)
	}
	if v := g.Parameters["replication"]; v != "" && v != "false" && v != "off" {
		return c.reject(g, codeFeatureNotSupported, "replication connections aren't served", errReplication)
	}
	if err := c.negotiateVersion(g); err != nil {
		return err
	}
	err := c.authenticate(ctx, g)
	if l.OnLogin != nil {
		l.OnLogin(err)
	}
	if err != nil {
		return c.reject(g, codeInvalidPassword, "password authentication failed for user \""+g.Parameters["user"]+"\"", err)
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
	errTooManyCallers = errors.ConstError("too many callers")
	errReplication    = errors.ConstError("replication asked for")
	errRefused        = errors.ConstError("caller refused")
)

// negotiateVersion answers a caller that requested a newer minor version or unsupported options with
// the minor version that is served.
func (c *connection) negotiateVersion(g greeter.StartupRequest) error {
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

func (c *connection) tlsConfig() *tls.Config {
	if c.listener.TLS == nil {
		return nil
	}
	return c.listener.TLS()
}

// serveCancel serves a cancel request: it cancels the request of a session of this host, or else
// forwards the key to the host that holds the session. The protocol has no answer to a cancel request.
func (c *connection) serveCancel(ctx context.Context, k greeter.CancelKey) {
	l := c.listener
	if !l.Cancel(k) && l.Canceller != nil {
		l.Canceller.ForwardCancel(ctx, k)
	}
}

// reject sends the caller a fatal error and returns cause with the type errRefused.
func (c *connection) reject(g greeter.StartupRequest, code, message string, cause error) error {
	m := pgproto3.ErrorResponse{
		Severity:            "FATAL",
		SeverityUnlocalized: "FATAL",
		Code:                code,
		Message:             message,
		Detail:              "outcome=not-run",
	}
	if p, err := m.Encode(nil); err == nil && g.Conn != nil {
		// The handshake's deadline may have passed, and the caller may have disconnected. The
		// cause is returned in any case.
		g.Conn.SetWriteDeadline(time.Now().Add(rejectTimeout))
		_, _ = g.Conn.Write(p)
	}
	return errors.WithType(errors.Annotate(cause, "reject caller"), errRefused)
}
