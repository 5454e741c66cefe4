// Package dialer opens connections to backend servers and sends cancel requests to them.
package dialer

import (
	"bufio"
	"context"
	"encoding/binary"
	"io"
	"net"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/wire/framer"
)

const (
	// readBufferBytes is the size of the read buffer of a connection.
	readBufferBytes = 64 << 10
	// cancelRequestCode identifies a CancelRequest in PostgreSQL's protocol.
	cancelRequestCode = 80877102
	// cancelRequestBytes is the length of a CancelRequest with a 4-byte secret key.
	cancelRequestBytes = 16
)

// ErrCancelUnconfirmed is returned when a cancel request may have been sent but the server didn't
// confirm that it has processed it, so that it may take effect at any later time.
const ErrCancelUnconfirmed = errors.ConstError("cancel may still arrive")

// Dialer opens connections as the role that cuminwick uses at backend servers. The fields are set
// before use.
type Dialer struct {
	User     string
	Password string
	// ApplicationName is the application_name of the connections, which the backend server shows in
	// pg_stat_activity.
	ApplicationName string
	// Timeout bounds one attempt to connect or to send a cancel request.
	Timeout time.Duration
	// Dial opens TCP connections, net.Dialer if nil.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Conn is a connection to a backend server that is ready for queries.
type Conn struct {
	net.Conn
	// Reader splits what the server sends into messages.
	Reader framer.Reader
	// Address is the server's host:port.
	Address string
	// ProcessID and SecretKey identify the connection in a cancel request.
	ProcessID uint32
	SecretKey uint32
	// Parameters are the run-time parameters that the server reported in ParameterStatus messages.
	Parameters map[string]string
	// ReadTimeout is how long Read waits for a byte before it calls OnReadTimeout. If that returns
	// an error, Read returns it, and otherwise waits again. ReadTimeout is ignored while
	// OnReadTimeout is nil.
	ReadTimeout   time.Duration
	OnReadTimeout func() error
}

// Read reads from the server. A connection whose state was lost by a device on the path yields
// neither bytes nor an error, and without OnReadTimeout its reader would wait forever.
func (c *Conn) Read(b []byte) (int, error) {
	if c.OnReadTimeout == nil {
		return c.Conn.Read(b)
	}
	for {
		c.SetReadDeadline(time.Now().Add(c.ReadTimeout))
		n, err := c.Conn.Read(b)
		if n > 0 || !isTimeout(err) {
			return n, err
		}
		if err := c.OnReadTimeout(); err != nil {
			return 0, errors.Annotatef(err, "read from backend server %s", c.Address)
		}
	}
}

func isTimeout(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}

// Open connects to the database at address, which is host:port.
func (d *Dialer) Open(ctx context.Context, address, database string) (*Conn, error) {
	c, err := d.config(address, database)
	if err != nil {
		return nil, errors.Annotatef(err, "prepare connection to backend server %s", address)
	}
	x, cancel := context.WithTimeout(ctx, d.Timeout)
	defer cancel()
	p, err := pgconn.ConnectConfig(x, c)
	if err != nil {
		return nil, errors.Annotatef(err, "connect to backend server %s", address)
	}
	h, err := p.Hijack()
	if err != nil {
		return nil, errors.Annotatef(err, "take over connection to backend server %s", address)
	}
	n, err := h.Conn.(*loginConn).release()
	if err != nil {
		_ = h.Conn.Close()
		return nil, errors.Annotatef(err, "take over connection to backend server %s", address)
	}
	if b := h.Frontend.ReadBufferLen(); b > 0 {
		_ = n.Close()
		return nil, errors.Annotatef(ErrStrayRead, "%d bytes after the login of backend server %s", b, address)
	}
	return d.wrap(h, n, address), nil
}

// Cancel asks the server to cancel what the connection with this process ID and secret key is
// running.
//
// It returns after the server has closed the connection of the cancel request, which it does after
// it has signalled the process. Once a subsequent round trip on the cancelled connection is
// complete, the request has no further effect. ErrCancelUnconfirmed is returned if sending failed
// or the server didn't close the connection; other errors mean that nothing was sent.
func (d *Dialer) Cancel(ctx context.Context, address string, processID, secretKey uint32) error {
	x, cancel := context.WithTimeout(ctx, d.Timeout)
	defer cancel()
	n, err := d.dial()(x, "tcp", address)
	if err != nil {
		return errors.Annotatef(err, "connect for cancel to backend server %s", address)
	}
	defer n.Close()
	t, _ := x.Deadline()
	n.SetDeadline(t)
	if _, err := n.Write(cancelRequest(processID, secretKey)); err != nil {
		return errors.WithType(errors.Annotatef(err, "send cancel to backend server %s", address), ErrCancelUnconfirmed)
	}
	if _, err := io.Copy(io.Discard, n); err != nil {
		return errors.WithType(errors.Annotatef(err, "await cancel at backend server %s", address), ErrCancelUnconfirmed)
	}
	return nil
}

func (d *Dialer) config(address, database string) (*pgconn.Config, error) {
	h, s, err := net.SplitHostPort(address)
	if err != nil {
		return nil, errors.Annotatef(err, "split address %q", address)
	}
	p, err := strconv.ParseUint(s, 10, 16)
	if err != nil {
		return nil, errors.Annotatef(err, "parse port %q", s)
	}
	c, err := pgconn.ParseConfig("sslmode=disable")
	if err != nil {
		return nil, errors.Trace(err)
	}
	c.Host = h
	c.Port = uint16(p)
	c.Database = database
	c.User = d.User
	c.Password = d.Password
	c.Fallbacks = nil
	c.ConnectTimeout = d.Timeout
	c.RuntimeParams = map[string]string{"application_name": d.ApplicationName}
	c.DialFunc = wrapDial(d.dial())
	return c, nil
}

func (d *Dialer) dial() func(ctx context.Context, network, address string) (net.Conn, error) {
	if d.Dial != nil {
		return d.Dial
	}
	return new(net.Dialer).DialContext
}

func (d *Dialer) wrap(h *pgconn.HijackedConn, n net.Conn, address string) *Conn {
	c := &Conn{
		Conn:       n,
		Address:    address,
		ProcessID:  h.PID,
		SecretKey:  secretKey(h.SecretKey),
		Parameters: h.ParameterStatuses,
	}
	c.Reader = framer.Reader{Source: bufio.NewReaderSize(c, readBufferBytes)}
	return c
}

// secretKey decodes the 4-byte secret key of protocol version 3.0. It returns zero for a shorter
// one.
func secretKey(b []byte) uint32 {
	if len(b) < 4 {
		return 0
	}
	return binary.BigEndian.Uint32(b)
}

func cancelRequest(processID, secretKey uint32) []byte {
	b := make([]byte, 0, cancelRequestBytes)
	b = binary.BigEndian.AppendUint32(b, cancelRequestBytes)
	b = binary.BigEndian.AppendUint32(b, cancelRequestCode)
	b = binary.BigEndian.AppendUint32(b, processID)
	return binary.BigEndian.AppendUint32(b, secretKey)
}
