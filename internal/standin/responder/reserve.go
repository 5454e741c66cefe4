package responder

import (
	"net"
	"os"
	"syscall"

	"github.com/juju/errors"
)

// reservation reserves a port for its server while the server does not listen.
//
// The kernel may assign the port of a crashed server to any process that asks for a free one. If
// another stand-in got it, the group's clients and replicas would connect to a server of another group
// and the restart would fail. A socket that is bound but does not listen keeps the kernel from assigning
// the port, refuses connections as the machine of a crashed server does, and lets the server listen on
// the same port.
type reservation struct {
	// file is the bound socket, nil if nothing is reserved.
	file *os.File
	// address is the reserved host:port.
	address string
}

// reserve binds address, a host:port; port 0 selects a free port. Without an IPv4 address nothing is
// reserved.
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

// bind binds the socket and sets r.address. SO_REUSEADDR, which the kernel requires on both sockets,
// allows the listener on the same port.
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

// release ends the reservation.
func (r *reservation) release() {
	if r.file == nil {
		return
	}
	// The socket never sent data, so that an error of Close loses nothing.
	_ = r.file.Close()
}
