package relayer

import (
	"bufio"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

// rig is a relayer that knows one server, "i-1", behind an address of the test's own.
func rig(t *testing.T, dial func(string, time.Duration) (net.Conn, error)) net.Conn {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	r := &Relayer{
		Listener: l,
		ReadRequest: func(c net.Conn, _ time.Time) (string, RequestKind, error) {
			b := make([]byte, 4)
			_, err := c.Read(b)
			return string(b[:3]), map[byte]RequestKind{'?': RequestReachable, '+': RequestLink}[b[3]], err
		},
		Lend:  func(c net.Conn, id string) { _, _ = fmt.Fprintf(c, "lends of %s\n", id) },
		Find:  func(id string) (declarer.Server, bool) { return declarer.Server{ID: id, Address: "there"}, id == "i-1" },
		Dial:  dial,
		Alive: func(declarer.Server) bool { return false },
		Reply: func(c net.Conn, id string, alive bool) { _, _ = fmt.Fprintf(c, "no way to %s, alive %t\n", id, alive) },
		Log:   &log.Logger{Handler: discard.New()},
	}
	go r.Run()
	c, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(30 * time.Second))
	return c
}

func TestCarriesBothWays(t *testing.T) {
	server, far := net.Pipe()
	c := rig(t, func(string, time.Duration) (net.Conn, error) { return far, nil })
	_, _ = c.Write([]byte("i-1\n"))
	_, _ = c.Write([]byte("question\n"))
	s := bufio.NewReader(server)
	if l, _ := s.ReadString('\n'); l != "question\n" {
		t.Errorf("server reads %q", l)
	}
	_, _ = server.Write([]byte("answer\n"))
	r := bufio.NewReader(c)
	if l, _ := r.ReadString('\n'); l != "answer\n" {
		t.Errorf("host reads %q", l)
	}
	server.Close()
	if _, err := r.ReadByte(); err == nil {
		t.Error("the host's end stays open after the server's has gone")
	}
}

// The asking host takes this host's word for a server's loss, so it must be told
// apart from a relay that is gone.
func TestSaysThatThereIsNoWay(t *testing.T) {
	c := rig(t, func(string, time.Duration) (net.Conn, error) { return nil, errors.New("timeout") })
	_, _ = c.Write([]byte("i-1\n"))
	if l, _ := bufio.NewReader(c).ReadString('\n'); l != "no way to i-1, alive false\n" {
		t.Errorf("host reads %q", l)
	}
}

// Only servers that the platform lists are connected to; a relay that goes anywhere
// would be a way around the network's rules.
func TestUnknownServerIsNotDialled(t *testing.T) {
	c := rig(t, func(a string, _ time.Duration) (net.Conn, error) {
		t.Errorf("dialled %s", a)
		return nil, errors.New("refused")
	})
	_, _ = c.Write([]byte("i-9\n"))
	if l, err := bufio.NewReader(c).ReadString('\n'); err == nil {
		t.Errorf("host reads %q", l)
	}
}

// A host that is cut off from a primary asks whether others hear it. Any sign of life
// must be told: without it a primary that others write to would be replaced.
func TestTellsWhetherServerIsHeard(t *testing.T) {
	for name, c := range map[string]struct {
		err  error
		want string
	}{
		"takes a connection": {nil, "no way to i-1, alive true\n"},
		"takes none":         {errors.New("timeout"), "no way to i-1, alive false\n"},
	} {
		t.Run(name, func(t *testing.T) {
			_, far := net.Pipe()
			x := rig(t, func(string, time.Duration) (net.Conn, error) { return far, c.err })
			_, _ = x.Write([]byte("i-1?"))
			if l, _ := bufio.NewReader(x).ReadString('\n'); l != c.want {
				t.Errorf("host reads %q, want %q", l, c.want)
			}
		})
	}
}

func TestLends(t *testing.T) {
	c := rig(t, nil)
	_, _ = c.Write([]byte("i-1+"))
	if l, _ := bufio.NewReader(c).ReadString('\n'); l != "lends of i-1\n" {
		t.Errorf("host reads %q", l)
	}
}
