package keeper

import (
	"net"
	"syscall"
)

// Quiet reports whether the connection is open and nothing that the server sent is unread, as far as
// this host's kernel has received.
func (c *Conn) Quiet() bool {
	return !c.hasBuffered() && alive(c.Conn.Conn)
}

// hasBuffered reports whether bytes were read from the socket and not from the connection's Reader.
// What follows an answer in the same segment is buffered, where alive doesn't see it.
func (c *Conn) hasBuffered() bool {
	return c.Reader.Source != nil && c.Reader.Buffered() > 0
}

// alive reports whether an idle connection is still open, as far as this host's kernel has
// received.
//
// A backend server that crashed or restarted has closed its idle connections. A request sent
// over one would be lost with an unknown outcome, while a non-blocking peek beforehand detects
// the end of the stream. An idle connection has nothing to read, so one with readable data is
// not used either.
func alive(n net.Conn) bool {
	s, ok := n.(syscall.Conn)
	if !ok {
		return true
	}
	r, err := s.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = r.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = e == syscall.EAGAIN
		return true
	})
	return err == nil && open
}
