package streamer

import (
	"net"
	"sync/atomic"
	"time"
)

// contactConn is a stream's connection to its primary and notes when bytes came from it.
//
// A frame is whole only after all of it came, and on a busy line that takes
// longer than a primary may be silent. Were only whole frames heard, a primary
// in the middle of one would look lost.
type contactConn struct {
	net.Conn
	stream *stream
	// termConfirmed says that a frame came under the followed term. Bytes before it may be
	// those of a primary of another term.
	termConfirmed atomic.Bool
}

// Read fails when nothing comes for the silence limit.
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
