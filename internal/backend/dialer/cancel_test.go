package dialer

import (
	"context"
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"
)

// A cancel request is sent and the server doesn't confirm that it has processed it. If the error
// were the same as for a request that was never sent, the connection would be lent to the next
// caller, whose request the cancel could still abort.
func TestCancelOutOfSight(t *testing.T) {
	refused := errors.New("refused")
	tests := []struct {
		name        string
		serve       func(c net.Conn)
		err         error
		unconfirmed bool
	}{
		{name: "never sent", err: refused},
		{name: "server closes the connection after processing", serve: func(c net.Conn) { readCancelRequest(c); c.Close() }},
		{name: "server never closes the connection", serve: readCancelRequest, unconfirmed: true},
		{name: "server closes the connection after part of the request", serve: func(c net.Conn) { c.Read(make([]byte, 4)); c.Close() }, unconfirmed: true},
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
				if errors.Is(err, ErrCancelUnconfirmed) != tt.unconfirmed || (err == nil) != (tt.err == nil && !tt.unconfirmed) {
					t.Errorf("got %v, want unconfirmed %t", err, tt.unconfirmed)
				}
			})
		})
	}
}

// readCancelRequest reads a whole cancel request.
func readCancelRequest(c net.Conn) {
	c.Read(make([]byte, cancelRequestBytes))
}
