package dialer

import (
	"context"
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"
)

// The server's machine takes a cancel and nobody sees the server act on it. If this
// were told like a cancel that was never sent, the connection would go to the next
// caller, whose request the cancel may still hit.
func TestCancelOutOfSight(t *testing.T) {
	refused := errors.New("refused")
	tests := []struct {
		name   string
		serve  func(c net.Conn)
		err    error
		unseen bool
	}{
		{name: "never sent", err: refused},
		{name: "server closes after it acted", serve: func(c net.Conn) { read(c); c.Close() }},
		{name: "nothing comes back", serve: read, unseen: true},
		{name: "only part was taken", serve: func(c net.Conn) { c.Read(make([]byte, 4)); c.Close() }, unseen: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := &Dialer{Timeout: time.Second, Dial: func(context.Context, string, string) (net.Conn, error) {
					if tt.err != nil {
						return nil, tt.err
					}
					near, far := net.Pipe()
					go tt.serve(far)
					return near, nil
				}}
				err := d.Cancel(t.Context(), "10.0.0.1:5432", 1, 2)
				if errors.Is(err, ErrCancelUnconfirmed) != tt.unseen || (err == nil) != (tt.err == nil && !tt.unseen) {
					t.Errorf("got %v, want unseen %t", err, tt.unseen)
				}
			})
		})
	}
}

// read takes a whole cancel request.
func read(c net.Conn) {
	c.Read(make([]byte, cancelRequestBytes))
}
