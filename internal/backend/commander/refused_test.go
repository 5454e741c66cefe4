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

// A server has ended, or its machine is cut off or stands still, or it is merely
// full. Only the first is told by its machine, and writes wait for less time then.
// If one of the others were taken for it, a server that is merely slow would be
// replaced, and its callers' transactions would be rolled back.
func TestRefusedConnection(t *testing.T) {
	tests := []struct {
		name string
		dial func(ctx context.Context, network, address string) (net.Conn, error)
		want bool
	}{
		{name: "nothing listens", dial: failing(syscall.ECONNREFUSED), want: true},
		{name: "reset", dial: failing(syscall.ECONNRESET), want: true},
		{name: "closed before the login", dial: answering(nil), want: true},
		{name: "no way there", dial: failing(syscall.EHOSTUNREACH)},
		{name: "silent", dial: silent},
		{name: "full", dial: answering(&pgproto3.ErrorResponse{Severity: "FATAL", Code: "53300"})},
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

func failing(e syscall.Errno) func(context.Context, string, string) (net.Conn, error) {
	return func(context.Context, string, string) (net.Conn, error) {
		return nil, &net.OpError{Op: "dial", Err: e}
	}
}

func silent(context.Context, string, string) (net.Conn, error) {
	a, b := net.Pipe()
	go io.Copy(io.Discard, b)
	return a, nil
}

// answering accepts connections, answers the startup message with m if there is
// one, and closes.
func answering(m pgproto3.BackendMessage) func(context.Context, string, string) (net.Conn, error) {
	return func(context.Context, string, string) (net.Conn, error) {
		a, b := net.Pipe()
		go greet(b, m)
		return a, nil
	}
}

func greet(c net.Conn, m pgproto3.BackendMessage) {
	defer c.Close()
	b := pgproto3.NewBackend(c, c)
	if _, err := b.ReceiveStartupMessage(); err != nil || m == nil {
		return
	}
	b.Send(m)
	_ = b.Flush()
}
