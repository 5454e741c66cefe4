package streamer

import (
	"net"
	"sync/atomic"
	"time"
)

// contactConn is a stream's connection to its primary that records contact with the primary whenever
// bytes arrive.
//
// On a slow connection a whole frame can take longer to arrive than a primary may be without contact.
// If only whole frames counted, a primary in the middle of a frame would seem to have failed.
type contactConn struct {
	net.Conn
	stream *stream
	// termConfirmed says that a frame of the followed term was received. Bytes before it may come
	// from a primary of another term.
	termConfirmed atomic.Bool
}

// Read fails if no bytes arrive for idleTimeout.
func (e *contactConn) Read(b []byte) (int, error) {
	if err := e.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
		return 0, err
	}
	n, err := e.Conn.Read(b)
	if n > 0 && e.termConfirmed.Load() {
		e.stream.noteContact()
	}
	return n, err
}
