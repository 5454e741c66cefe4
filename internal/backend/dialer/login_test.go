package dialer

import (
	"context"
	"errors"
	"net"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// slowWriter is a connection whose first write takes long, as on a machine that is short of
// processors.
type slowWriter struct {
	net.Conn
	written bool
}

func (s *slowWriter) Write(b []byte) (int, error) {
	if !s.written {
		s.written = true
		time.Sleep(100 * time.Millisecond)
	}
	return s.Conn.Write(b)
}

// On a busy machine the first write of the login takes longer than 15 ms, and pgconn starts to read
// in the background. If that read outlived the login, it would consume the start of the first
// answer: the request would wait until the connection counts as unresponsive, and other requests
// would be blocked by the check whether the socket is open.
func TestLoginLeavesNoReadBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := net.Pipe()
		done := make(chan struct{})
		go serveLogin(t, b, done)
		d := &Dialer{User: "u", Timeout: time.Minute, Dial: func(context.Context, string, string) (net.Conn, error) {
			return &slowWriter{Conn: a}, nil
		}}
		c, err := d.Open(t.Context(), "127.0.0.1:1", "db")
		if err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		close(done)
		c.SetReadDeadline(time.Now().Add(time.Second))
		f, err := c.Reader.Next()
		if err != nil || f.Type != 'N' {
			t.Errorf("first message after the login: %q, %v", f.Type, err)
		}
		c.Close()
	})
}

// serveLogin answers a login and sends a notice once done is closed.
func serveLogin(t *testing.T, c net.Conn, done chan struct{}) {
	b := pgproto3.NewBackend(c, c)
	if _, err := b.ReceiveStartupMessage(); err != nil {
		t.Error(err)
		return
	}
	b.Send(&pgproto3.AuthenticationOk{})
	b.Send(&pgproto3.BackendKeyData{ProcessID: 1, SecretKey: []byte{0, 0, 0, 1}})
	b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	if err := b.Flush(); err != nil {
		t.Error(err)
	}
	<-done
	b.Send(&pgproto3.NoticeResponse{Message: "hello"})
	_ = b.Flush()
}

// A server sends more than the answer to the login, of which only a part may have arrived at its end.
// If that part were dropped with the buffer of the login, the rest would be read as the beginning of
// a message, or the next caller would get a whole one as its answer.
func TestSurplusAfterLogin(t *testing.T) {
	for _, surplus := range []string{"C\x00\x00\x00\x06X\x00Z\x00\x00\x00\x05I", "Z\x00\x00\x00\x05I", "N\x00\x00", "S"} {
		synctest.Test(t, func(t *testing.T) {
			near, far := net.Pipe()
			go func() {
				b := pgproto3.NewBackend(far, &surplusWriter{Conn: far, surplus: surplus})
				if _, err := b.ReceiveStartupMessage(); err != nil {
					t.Error(err)
				}
				b.Send(&pgproto3.AuthenticationOk{})
				b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
				_ = b.Flush()
			}()
			d := &Dialer{User: "u", Timeout: time.Minute, Dial: func(context.Context, string, string) (net.Conn, error) { return near, nil }}
			if c, err := d.Open(t.Context(), "127.0.0.1:1", "db"); !errors.Is(err, ErrStrayRead) {
				t.Errorf("surplus %q: connection %v, error %v, want %v", surplus, c != nil, err, ErrStrayRead)
			}
			near.Close()
			far.Close()
		})
	}
}

// surplusWriter is a connection that sends surplus bytes with each write.
type surplusWriter struct {
	net.Conn
	surplus string
}

func (s *surplusWriter) Write(b []byte) (int, error) {
	return s.Conn.Write(slices.Concat(b, []byte(s.surplus)))
}
