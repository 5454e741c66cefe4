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
	// readBufferBytes is read ahead from a backend server.
	readBufferBytes = 64 << 10
	// cancelRequestCode is the protocol's code of a CancelRequest.
	cancelRequestCode = 80877102
	// cancelRequestBytes is the length of a CancelRequest with a 4-byte secret.
	cancelRequestBytes = 16
)

// ErrCancelUnconfirmed says that a cancel request was sent and that the server wasn't seen to have
// acted on it, so that it may take effect at any later time.
const ErrCancelUnconfirmed = errors.ConstError("cancel may still arrive")

// Dialer opens connections under the role that cuminwick uses at backend servers.
type Dialer struct {
	User     string
	Password string
	// ApplicationName is shown in the backend server's list of connections.
	ApplicationName string
	// Timeout bounds one attempt, cancel requests included.
	Timeout time.Duration
	// Dial opens the TCP connection; nil stands for net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Conn is one connection to a backend server, ready for queries.
type Conn struct {
	net.Conn
	// Reader cuts the server's messages.
	Reader framer.Reader
	// Address is the server's host:port.
	Address string
	// ProcessID and SecretKey are what a cancel request needs.
	ProcessID uint32
	SecretKey uint32
	// Parameters are the parameter statuses that the server reported.
	Parameters map[string]string
	// ReadTimeout is how long Read waits for a byte before it asks Silence whether
	// to go on waiting; it is used only while Silence is set.
	ReadTimeout   time.Duration
	OnReadTimeout func() error
}

// Read reads from the server. A connection that something in between has lost
// track of brings neither bytes nor an error, for good; without the question
// its reader would wait as long.
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

// Open connects to the database at address.
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
	n, err := h.Conn.(*login).release()
	if err != nil {
		_ = h.Conn.Close()
		return nil, errors.Annotatef(err, "take over connection to backend server %s", address)
	}
	return d.wrap(h, n, address), nil
}

// Cancel asks the server to cancel what the connection with these keys runs.
//
// It returns once the server has closed the cancel connection, which it does
// after it has signalled the connection's process; an effect that is seen
// later than that and a following round trip can't belong to this request. ErrCancelUnconfirmed
// says that it didn't come to that after the request was sent.
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
	c.DialFunc = loginDial(d.dial())
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

// secretKey reads the 4-byte key of protocol 3.0.
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
