package commander_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"

	"github.com/cuminwick/cuminwick/internal/backend/commander"
	"github.com/cuminwick/cuminwick/internal/standin/grouper"
	"github.com/cuminwick/cuminwick/internal/standin/responder"
)

// countingConn counts the bytes that a connection carries.
type countingConn struct {
	net.Conn
	sent, received *atomic.Int64
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.sent.Add(int64(n))
	return n, err
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.received.Add(int64(n))
	return n, err
}

// BenchmarkPoll queries the status of a stand-in server over a kept connection and reports the
// bytes sent and received per call.
func BenchmarkPoll(b *testing.B) {
	ctx, stop := context.WithCancel(context.Background())
	s := &responder.Server{Name: "db-1", Address: "127.0.0.1:0"}
	g := &grouper.Group{Servers: []*responder.Server{s}}
	done := make(chan error, 1)
	go func() { done <- g.Run(ctx) }()
	defer func() { stop(); <-done }()
	select {
	case <-g.Ready():
	case err := <-done:
		b.Fatal(err)
	}
	var sent, received atomic.Int64
	c := &commander.Client{Name: s.Name, Address: s.Addr(), User: "control"}
	c.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		n, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return countingConn{Conn: n, sent: &sent, received: &received}, err
	}
	defer func() { _ = c.Close(context.Background()) }()
	if _, err := c.Status(ctx); err != nil {
		b.Fatal(err)
	}
	sent.Store(0)
	received.Store(0)
	for b.Loop() {
		if _, err := c.Status(ctx); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(sent.Load())/float64(b.N), "sent-B/op")
	b.ReportMetric(float64(received.Load())/float64(b.N), "received-B/op")
}
