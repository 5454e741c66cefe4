// Package greeter reads the startup message of a caller's connection and negotiates its encryption.
package greeter

import (
	"crypto/tls"
	"encoding/binary"
	"io"
	"net"
	"strings"

	"github.com/juju/errors"
)

// Constants of the startup packet. A request other than the startup message has a code in place of
// the protocol version.
const (
	codeCancelRequest = 80877102
	codeSSLRequest    = 80877103
	codeGSSENCRequest = 80877104
	// majorVersion is the only major protocol version that is served.
	majorVersion = 3
	// headerBytes is the size of a packet's length and its version or code.
	headerBytes = 8
	// maximumStartupBytes is the maximum length of a startup packet that PostgreSQL accepts.
	maximumStartupBytes = 10000
	// maximumEncryptionRequests is the maximum number of encryption requests on one connection.
	maximumEncryptionRequests = 4
)

const (
	// ErrStartup is returned for a startup packet that violates the protocol.
	ErrStartup = errors.ConstError("startup message not understood")
	// ErrVersion is returned for a protocol version other than 3.
	ErrVersion = errors.ConstError("protocol version not supported")
)

// CancelKey identifies the session whose request a cancel request cancels.
type CancelKey struct {
	ProcessID uint32
	SecretKey uint32
}

// StartupRequest is a startup message or a cancel request, and the connection that it arrived on.
type StartupRequest struct {
	// Conn is the connection, encrypted if the caller requested TLS and it is available.
	Conn net.Conn
	// Parameters are the startup parameters, nil for a cancel request.
	Parameters map[string]string
	// Cancel is the key of a cancel request, nil for a startup message.
	Cancel *CancelKey
	// UnknownOptions lists the protocol options that the caller requested. None are supported.
	UnknownOptions []string
	// MinorVersion is the minor protocol version that the caller requested.
	MinorVersion uint16
}

// Greet answers encryption requests on n and reads the startup message or cancel request. If t is
// nil, TLS is declined. The result has Conn set even if an error is returned. Errors other than those
// of the connection or of TLS are ErrStartup and ErrVersion.
func Greet(n net.Conn, t *tls.Config) (StartupRequest, error) {
	for range maximumEncryptionRequests {
		c, b, err := readPacket(n)
		if err != nil {
			return StartupRequest{Conn: n}, errors.Annotatef(err, "greet caller %s", n.RemoteAddr())
		}
		switch {
		case c == codeSSLRequest && t != nil:
			n, err = startTLS(n, t)
		case c == codeSSLRequest || c == codeGSSENCRequest:
			_, err = n.Write([]byte{'N'})
		case c == codeCancelRequest:
			return parseCancelRequest(n, b)
		case c>>16 == majorVersion:
			return parseStartupMessage(n, b, uint16(c))
		default:
			return StartupRequest{Conn: n}, errors.Annotatef(ErrVersion, "version %d.%d", c>>16, c&0xffff)
		}
		if err != nil {
			return StartupRequest{Conn: n}, errors.Annotatef(err, "answer encryption request of caller %s", n.RemoteAddr())
		}
	}
	return StartupRequest{Conn: n}, errors.Annotate(ErrStartup, "too many encryption requests")
}

// readPacket reads a startup packet and returns its version or code, and its body.
func readPacket(n net.Conn) (uint32, []byte, error) {
	var h [headerBytes]byte
	if _, err := io.ReadFull(n, h[:]); err != nil {
		return 0, nil, errors.Trace(err)
	}
	l := binary.BigEndian.Uint32(h[:4])
	if l < headerBytes || l > maximumStartupBytes {
		return 0, nil, errors.Annotatef(ErrStartup, "length %d", l)
	}
	b := make([]byte, l-headerBytes)
	if _, err := io.ReadFull(n, b); err != nil {
		return 0, nil, errors.Trace(err)
	}
	return binary.BigEndian.Uint32(h[4:]), b, nil
}

// startTLS accepts the encryption request and performs the TLS handshake as the server.
func startTLS(n net.Conn, t *tls.Config) (net.Conn, error) {
	if _, err := n.Write([]byte{'S'}); err != nil {
		return n, errors.Trace(err)
	}
	c := tls.Server(n, t)
	return c, errors.Trace(c.Handshake())
}

func parseCancelRequest(n net.Conn, b []byte) (StartupRequest, error) {
	if len(b) != 8 {
		return StartupRequest{Conn: n}, errors.Annotatef(ErrStartup, "cancel key of %d bytes", len(b))
	}
	k := CancelKey{
		ProcessID: binary.BigEndian.Uint32(b),
		SecretKey: binary.BigEndian.Uint32(b[4:]),
	}
	return StartupRequest{Conn: n, Cancel: &k}, nil
}

func parseStartupMessage(n net.Conn, b []byte, minor uint16) (StartupRequest, error) {
	g := StartupRequest{Conn: n, Parameters: make(map[string]string), MinorVersion: minor}
	if len(b) == 0 || b[len(b)-1] != 0 {
		return g, errors.Annotate(ErrStartup, "parameters not terminated")
	}
	f := strings.Split(string(b[:len(b)-1]), "\x00")
	if f[len(f)-1] == "" {
		f = f[:len(f)-1]
	}
	if len(f)%2 != 0 {
		return g, errors.Annotate(ErrStartup, "parameter without a value")
	}
	for i := 0; i < len(f); i += 2 {
		if f[i] == "" {
			return g, errors.Annotate(ErrStartup, "parameter without a name")
		}
		g.addParameter(f[i], f[i+1])
	}
	return g, nil
}

// addParameter adds a startup parameter, or a protocol option, whose name starts with _pq_.
func (g *StartupRequest) addParameter(name, value string) {
	if strings.HasPrefix(name, "_pq_.") {
		g.UnknownOptions = append(g.UnknownOptions, name)
		return
	}
	g.Parameters[name] = value
}
