package linker

import (
	"net"
	"sync"

	"github.com/quic-go/quic-go"
)

// Stream carries a forwarded transaction's raw bytes. It is a net.Conn.
type Stream struct {
	*quic.Stream
	Link *Link

	once sync.Once
}

var _ net.Conn = (*Stream)(nil)

// NewStream counts s in at l until it is closed.
func NewStream(s *quic.Stream, l *Link) *Stream {
	l.BeginStream()
	return &Stream{Stream: s, Link: l}
}

// CloseWrite tells the other side that no more bytes come.
func (s *Stream) CloseWrite() error {
	return s.Stream.Close()
}

// Close ends both directions. What was written is still delivered.
func (s *Stream) Close() error {
	err := s.Stream.Close()
	s.CancelRead(quic.StreamErrorCode(CodeDone))
	s.end()
	return err
}

// Abort ends both directions at once; the other side's reads and writes fail,
// so that it can't take a half-sent transaction for a whole one.
func (s *Stream) Abort() {
	s.CancelWrite(quic.StreamErrorCode(CodeAborted))
	s.CancelRead(quic.StreamErrorCode(CodeAborted))
	s.end()
}

func (s *Stream) end() {
	s.once.Do(s.Link.EndStream)
}

// LocalAddr returns this host's end of the connection.
func (s *Stream) LocalAddr() net.Addr {
	return s.Link.Conn.LocalAddr()
}

// RemoteAddr returns the peer's end of the connection.
func (s *Stream) RemoteAddr() net.Addr {
	return s.Link.Conn.RemoteAddr()
}
