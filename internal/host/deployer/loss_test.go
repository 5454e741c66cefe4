package deployer_test

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cuminwick/cuminwick/internal/clock/scheduler"
	"github.com/cuminwick/cuminwick/internal/host/deployer"
)

const (
	// lostEvery is how many segments arrive for each one that is lost: 5%.
	lostEvery = 20
	// retransmission is TCP's shortest time until it sends a lost segment again.
	retransmission = 200 * time.Millisecond
)

// lossy counts the segments of all connections.
type lossy struct {
	reads atomic.Int64
}

func (l *lossy) dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := new(net.Dialer).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &lossyConn{Conn: c, lossy: l}, nil
}

// lossyConn delivers late what was lost, and all behind it, as TCP does.
type lossyConn struct {
	net.Conn
	lossy *lossy
}

func (c *lossyConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.lossy.reads.Add(1)%lostEvery == 0 {
		_ = scheduler.Pause(context.Background(), retransmission)
	}
	return n, err
}

// One segment in twenty between entry hosts and backend servers is lost, for
// pooled and control connections alike, and TCP sends it again 200 ms later.
// Polls run into their time limit meanwhile, and answers come late. A costing
// officer waits a little longer; each line is booked once, and she sees it.
func TestSegmentsAreLost(t *testing.T) {
	l := &lossy{}
	d := start(t, func(d *deployer.Deployment) {
		d.Dial = func(deployer.Place) deployer.Dial { return l.dial }
	})
	c := connect(t, d, 0, "")
	exec(t, c, "CREATE TABLE t (id bigint PRIMARY KEY, n bigint)")
	exec(t, c, "INSERT INTO t (id, n) VALUES (1, 0)")
	before := l.reads.Load()
	const writes = 30
	for i := range int64(writes) {
		exec(t, c, fmt.Sprintf("/* key=lost-%d */ UPDATE t SET n = n + 1 WHERE id = 1", i))
		if n := query[int64](t, c, "SELECT n FROM t WHERE id = 1"); n != i+1 {
			t.Fatalf("after %d writes the session sees %d", i+1, n)
		}
	}
	if l.reads.Load()-before < lostEvery {
		t.Error("nothing was lost")
	}
}
