package commander

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cuminwick/cuminwick/internal/backend/controller"
)

// The server process has ended, or its machine is unreachable or paused, or the server has reached
// its connection limit. Only in the first case does the machine refuse connections, and writes are
// then held for a shorter time. If another case were mistaken for it, a slow but healthy server
// would be replaced and its callers' transactions rolled back.
func TestRefusedConnection(t *testing.T) {
	tests := []struct {
		name string
		dial func(ctx context.Context, network, address string) (net.Conn, error)
		want bool
	}{
		{name: "nothing listens", dial: dialFailing(syscall.ECONNREFUSED), want: true},
		{name: "reset", dial: dialFailing(syscall.ECONNRESET), want: true},
		{name: "closed before the login", dial: dialAnswering(nil), want: true},
		{name: "no route to host", dial: dialFailing(syscall.EHOSTUNREACH)},
		{name: "silent", dial: dialSilent},
		{name: "full", dial: dialAnswering(&pgproto3.ErrorResponse{Severity: "FATAL", Code: "53300"})},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := &Client{Name: "a", Address: "127.0.0.1:1", User: "u", Dial: tt.dial}
			x, stop := context.WithTimeout(t.Context(), time.Second)
			defer stop()
			_, err := c.Status(x)
			if err == nil || errors.Is(err, controller.ErrRefused) != tt.want {
				t.Errorf("error %v, want refused %t", err, tt.want)
			}
		})
	}
}

func dialFailing(e syscall.Errno) func(context.Context, string, string) (net.Conn, error) {
	return func(context.Context, string, string) (net.Conn, error) {
		return nil, &net.OpError{Op: "dial", Err: e}
	}
}

func dialSilent(context.Context, string, string) (net.Conn, error) {
	a, b := net.Pipe()
	go io.Copy(io.Discard, b)
	return a, nil
}

// dialAnswering returns a dial function whose connections answer the startup message with m, if it
// is set, and close.
func dialAnswering(m pgproto3.BackendMessage) func(context.Context, string, string) (net.Conn, error) {
	return func(context.Context, string, string) (net.Conn, error) {
		a, b := net.Pipe()
		go answerStartup(b, m)
		return a, nil
	}
}

func answerStartup(c net.Conn, m pgproto3.BackendMessage) {
	defer c.Close()
	b := pgproto3.NewBackend(c, c)
	if _, err := b.ReceiveStartupMessage(); err != nil || m == nil {
		return
	}
	b.Send(m)
	_ = b.Flush()
}
