package linker

import (
	"net"
	"sync"

	"github.com/quic-go/quic-go"
)

// Stream is a QUIC stream on a link, as a net.Conn. It carries a request and its answer, and a
// forwarded transaction's raw bytes.
type Stream struct {
	*quic.Stream
	Link *Link

	// once makes the link count the end of the stream only once.
	once sync.Once
}

var _ net.Conn = (*Stream)(nil)

// NewStream returns s as a Stream, which l counts as open until Close or Abort.
func NewStream(s *quic.Stream, l *Link) *Stream {
	l.BeginStream()
	return &Stream{Stream: s, Link: l}
}

// CloseWrite closes the write side. The peer reads an orderly end after the bytes written so far.
func (s *Stream) CloseWrite() error {
	return s.Stream.Close()
}

// Close closes both directions. The bytes written so far are still delivered.
func (s *Stream) Close() error {
	err := s.Stream.Close()
	s.CancelRead(quic.StreamErrorCode(CodeDone))
	s.end()
	return err
}

// Abort resets both directions. The peer's reads and writes fail, so that it doesn't treat an
// incomplete transaction as complete.
func (s *Stream) Abort() {
	s.CancelWrite(quic.StreamErrorCode(CodeAborted))
	s.CancelRead(quic.StreamErrorCode(CodeAborted))
	s.end()
}

func (s *Stream) end() {
	s.once.Do(s.Link.EndStream)
}

// LocalAddr returns this host's address of the connection.
func (s *Stream) LocalAddr() net.Addr {
	return s.Link.Conn.LocalAddr()
}

// RemoteAddr returns the peer's address of the connection.
func (s *Stream) RemoteAddr() net.Addr {
	return s.Link.Conn.RemoteAddr()
}
