package keeper

import (
	"net"
	"syscall"
)

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
