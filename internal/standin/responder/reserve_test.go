package responder

import (
	"errors"
	"net"
	"syscall"
	"testing"
)

// A server has crashed, and other processes ask for free ports meanwhile. If they got
// its port, its group's clients would meet a stranger's server there.
func TestReservedPortIsKept(t *testing.T) {
	r, err := reserve("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer r.release()
	if _, err := net.Dial("tcp", r.address); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("dial a port that nobody listens on: %v", err)
	}
	for range 3 {
		l, err := net.Listen("tcp", r.address)
		if err != nil {
			t.Fatal("the server itself can't listen:", err)
		}
		l.Close()
	}
	s, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer syscall.Close(s)
	a, err := net.ResolveTCPAddr("tcp", r.address)
	if err != nil {
		t.Fatal(err)
	}
	// A socket that doesn't share ports is refused those that aren't given out.
	err = syscall.Bind(s, &syscall.SockaddrInet4{Port: a.Port, Addr: [4]byte(a.IP.To4())})
	if !errors.Is(err, syscall.EADDRINUSE) {
		t.Errorf("port given out to another: %v", err)
	}
}
