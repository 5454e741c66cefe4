package authenticator

import (
	"encoding/binary"
	"io"
	"net"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/juju/errors"
)

// saslMessageType is the type byte of all messages that respond to an authentication request.
const saslMessageType = 'p'

// maximumMessageBytes bounds the memory that a caller can occupy before it is authenticated.
const maximumMessageBytes = 4096

// Connection implements Conversation over a caller's connection. It doesn't read beyond the messages
// that it returns. The user of it sets the deadline of Conn.
type Connection struct {
	Conn net.Conn
}

// Send sends m immediately.
func (w Connection) Send(m pgproto3.BackendMessage) error {
	b, err := m.Encode(nil)
	if err != nil {
		return errors.Trace(err)
	}
	_, err = w.Conn.Write(b)
	return errors.Trace(err)
}

// ReceiveSASL returns the body of the next message, which must be a SASL response.
func (w Connection) ReceiveSASL() ([]byte, error) {
	var h [5]byte
	if _, err := io.ReadFull(w.Conn, h[:]); err != nil {
		return nil, errors.Trace(err)
	}
	n := binary.BigEndian.Uint32(h[1:])
	if h[0] != saslMessageType || n < 4 || n > maximumMessageBytes {
		return nil, errors.Annotatef(ErrRejected, "message %q of %d bytes instead of a SASL response", h[0], n)
	}
	b := make([]byte, n-4)
	_, err := io.ReadFull(w.Conn, b)
	return b, errors.Trace(err)
}
