package responder

import (
	"net"
	"os"
	"syscall"

	"github.com/juju/errors"
)

// reservation keeps a port for its server while the server doesn't listen.
//
// The port of a crashed server is free for any process that asks for one. If
// another stand-in got it, the group's clients and replicas would meet a stranger there
// and the restart would fail. A socket that is bound and doesn't listen keeps the port
// from being given out, refuses connections as a crashed server's machine does, and
// lets the server listen beside it.
type reservation struct {
	file    *os.File
	address string
}

// reserve binds a host:port, whose port 0 picks one. Without an IP address to bind
// nothing is reserved.
func reserve(address string) (*reservation, error) {
	a, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return nil, errors.Annotatef(err, "resolve address %s", address)
	}
	if a.IP.To4() == nil {
		return &reservation{address: address}, nil
	}
	s, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, errors.Annotate(err, "open socket")
	}
	r := &reservation{file: os.NewFile(uintptr(s), address)}
	if err := r.bind(s, a); err != nil {
		r.release()
		return nil, errors.Annotatef(err, "bind %s", address)
	}
	return r, nil
}

// bind allows a listener beside it, which the kernel takes from both sockets.
func (r *reservation) bind(socket int, a *net.TCPAddr) error {
	if err := syscall.SetsockoptInt(socket, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return errors.Trace(err)
	}
	if err := syscall.Bind(socket, &syscall.SockaddrInet4{Port: a.Port, Addr: [4]byte(a.IP.To4())}); err != nil {
		return errors.Trace(err)
	}
	n, err := syscall.Getsockname(socket)
	if err != nil {
		return errors.Trace(err)
	}
	got := net.TCPAddr{IP: a.IP, Port: n.(*syscall.SockaddrInet4).Port}
	r.address = got.String()
	return nil
}

// release gives the port back.
func (r *reservation) release() {
	if r.file == nil {
		return
	}
	// Nothing was ever written to the socket.
	_ = r.file.Close()
}
