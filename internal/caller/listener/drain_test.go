package listener

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/juju/errors"
)

// Guards against callers that are taken after the wait for the last of them, and against one in the handshake that a
// drain doesn't wait for.
func TestDrainTakesNoCallers(t *testing.T) {
	n, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &Listener{NetListener: n, HandshakeTimeout: 30 * time.Second, MaximumConnections: 8, Log: &log.Logger{Handler: discard.New()}}
	ended := make(chan struct{})
	go func() {
		_ = l.Run(t.Context())
		close(ended)
	}()
	c, err := net.Dial("tcp4", n.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	for l.ConnectionCount() == 0 {
		time.Sleep(time.Millisecond)
	}
	drained := make(chan int)
	go func() { drained <- l.Drain(context.Background()) }()
	<-ended
	if x, err := net.Dial("tcp4", n.Addr().String()); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("a caller is taken: %v", err)
		if err == nil {
			x.Close()
		}
	}
	f := pgproto3.NewFrontend(c, c)
	f.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "u"}})
	if err := f.Flush(); err != nil {
		t.Fatal(err)
	}
	m, err := f.Receive()
	if e, ok := m.(*pgproto3.ErrorResponse); err != nil || !ok || e.Code != codeCannotConnectNow {
		t.Errorf("the caller in the handshake receives %+v, %v", m, err)
	}
	if cut := <-drained; cut != 0 {
		t.Errorf("%d callers cut off", cut)
	}
}
