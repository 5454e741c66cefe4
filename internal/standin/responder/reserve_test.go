package responder

import (
	"errors"
	"net"
	"syscall"
	"testing"
)

// Other processes ask for free ports while a server has crashed. Guards against the kernel assigning
// them the crashed server's port: clients of its group would connect to a server of another group.
func TestReservedPortIsKept(t *testing.T) {
	r, err := reserve("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer r.release()
	if _, err := net.Dial("tcp", r.address); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("dial the reserved port without a listener: %v", err)
	}
	for range 3 {
		l, err := net.Listen("tcp", r.address)
		if err != nil {
			t.Fatal("the server cannot listen on its reserved port:", err)
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
	// Without SO_REUSEADDR the kernel refuses a port that is in use.
	err = syscall.Bind(s, &syscall.SockaddrInet4{Port: a.Port, Addr: [4]byte(a.IP.To4())})
	if !errors.Is(err, syscall.EADDRINUSE) {
		t.Errorf("bind of the reserved port by another socket: %v", err)
	}
}
