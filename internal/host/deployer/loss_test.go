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
	// segmentsPerLoss is the number of segments of which one is lost, which makes 5%.
	segmentsPerLoss = 20
	// retransmissionDelay is the shortest time after which TCP retransmits a lost segment.
	retransmissionDelay = 200 * time.Millisecond
)

// lossyNetwork counts the segments of all connections, and delays some.
type lossyNetwork struct {
	reads atomic.Int64
}

func (l *lossyNetwork) dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := new(net.Dialer).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &lossyConn{Conn: c, network: l}, nil
}

// lossyConn delays a lost segment and everything after it until the retransmission, as TCP does.
type lossyConn struct {
	net.Conn
	network *lossyNetwork
}

func (c *lossyConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.network.reads.Add(1)%segmentsPerLoss == 0 {
		_ = scheduler.Pause(context.Background(), retransmissionDelay)
	}
	return n, err
}

// Guards against lost or doubled writes under packet loss. One segment in twenty between entry
// hosts and backend servers is lost, on pooled and control connections, and TCP retransmits it
// after 200 ms. Polls time out in the meantime, and responses are late. Each write must take effect
// once, and its session must see it.
func TestSegmentsAreLost(t *testing.T) {
	l := &lossyNetwork{}
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
	if l.reads.Load()-before < segmentsPerLoss {
		t.Error("no segment was lost")
	}
}
