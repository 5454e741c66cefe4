// Package greeter conducts the start of a caller's connection.
package greeter

import (
	"crypto/tls"
	"encoding/binary"
	"io"
	"net"
	"strings"

	"github.com/juju/errors"
)

// Codes that a first message may bear instead of a protocol version.
const (
	codeCancel  = 80877102
	codeTLS     = 80877103
	codeGSS     = 80877104
	majorThree  = 3
	headerBytes = 8
	// maximumStartupBytes is the longest startup message PostgreSQL accepts.
	maximumStartupBytes = 10000
	// maximumRequests bounds the encryption requests of one connection.
	maximumRequests = 4
)

const (
	// ErrStartup is returned for a first message that isn't of the protocol.
	ErrStartup = errors.ConstError("startup message not understood")
	// ErrVersion is returned for a protocol version other than 3.
	ErrVersion = errors.ConstError("protocol version not supported")
)

// CancelKey names the session that a cancel request is for.
type CancelKey struct {
	ProcessID uint32
	SecretKey uint32
}

// StartupRequest is how a caller's connection begins.
type StartupRequest struct {
	// Conn is the connection, encrypted if the caller asked and could be served.
	Conn net.Conn
	// Parameters are the startup parameters, nil for a cancel request.
	Parameters map[string]string
	// Cancel is set for a cancel request.
	Cancel *CancelKey
	// UnknownOptions lists protocol options that aren't supported.
	UnknownOptions []string
	// MinorVersion is the minor protocol version that the caller asked for.
	MinorVersion uint16
}

// Greet reads the startup message from n; t may be nil, then TLS is declined.
func Greet(n net.Conn, t *tls.Config) (StartupRequest, error) {
	for range maximumRequests {
		c, b, err := readStartup(n)
		if err != nil {
			return StartupRequest{Conn: n}, errors.Annotatef(err, "greet caller %s", n.RemoteAddr())
		}
		switch {
		case c == codeTLS && t != nil:
			n, err = upgrade(n, t)
		case c == codeTLS || c == codeGSS:
			_, err = n.Write([]byte{'N'})
		case c == codeCancel:
			return cancelGreeting(n, b)
		case c>>16 == majorThree:
			return startGreeting(n, b, uint16(c))
		default:
			return StartupRequest{Conn: n}, errors.Annotatef(ErrVersion, "version %d.%d", c>>16, c&0xffff)
		}
		if err != nil {
			return StartupRequest{Conn: n}, errors.Annotatef(err, "answer encryption request of caller %s", n.RemoteAddr())
		}
	}
	return StartupRequest{Conn: n}, errors.Annotate(ErrStartup, "too many encryption requests")
}

func readStartup(n net.Conn) (uint32, []byte, error) {
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

func upgrade(n net.Conn, t *tls.Config) (net.Conn, error) {
	if _, err := n.Write([]byte{'S'}); err != nil {
		return n, errors.Trace(err)
	}
	c := tls.Server(n, t)
	return c, errors.Trace(c.Handshake())
}

func cancelGreeting(n net.Conn, b []byte) (StartupRequest, error) {
	if len(b) != 8 {
		return StartupRequest{Conn: n}, errors.Annotatef(ErrStartup, "cancel key of %d bytes", len(b))
	}
	k := CancelKey{
		ProcessID: binary.BigEndian.Uint32(b),
		SecretKey: binary.BigEndian.Uint32(b[4:]),
	}
	return StartupRequest{Conn: n, Cancel: &k}, nil
}

func startGreeting(n net.Conn, b []byte, minor uint16) (StartupRequest, error) {
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
		g.add(f[i], f[i+1])
	}
	return g, nil
}

func (g *StartupRequest) add(name, value string) {
	if strings.HasPrefix(name, "_pq_.") {
		g.UnknownOptions = append(g.UnknownOptions, name)
		return
	}
	g.Parameters[name] = value
}
