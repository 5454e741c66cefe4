package deployer_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/cuminwick/cuminwick/internal/host/deployer"
)

// silencer silences connections to backend servers permanently, in both directions.
type silencer struct {
	// trigger is a text in the last message that is still delivered, nil if no message triggers.
	trigger atomic.Pointer[string]

	mu    sync.Mutex
	conns []*silenceableConn
}

func (m *silencer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	n, err := new(net.Dialer).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &silenceableConn{Conn: n, silencer: m}
	m.mu.Lock()
	m.conns = append(m.conns, c)
	m.mu.Unlock()
	return c, nil
}

// silence silences all connections that are open.
func (m *silencer) silence() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range m.conns {
		c.silenced.Store(true)
	}
	m.conns = nil
}

// silenceableConn discards what is read and written once it is silenced.
type silenceableConn struct {
	net.Conn
	silencer *silencer
	silenced atomic.Bool
}

func (c *silenceableConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.silenced.Load() {
			return n, err
		}
	}
}

func (c *silenceableConn) Write(b []byte) (int, error) {
	if c.silenced.Load() {
		return len(b), nil
	}
	if at := c.silencer.trigger.Load(); at != nil && bytes.Contains(b, []byte(*at)) && c.silencer.trigger.CompareAndSwap(at, nil) {
		defer c.silencer.silence()
	}
	return c.Conn.Write(b)
}

// Guards against lost or doubled writes when connections become silent. Right after a message has
// been sent, all open connections, control connections included, become silent, as with a firewall
// that has lost its connection table. New connections work. Each write must take effect once and
// get a response.
func TestSilentConnections(t *testing.T) {
	for _, at := range []string{"cuminwick_outcome", "n + 1", "COMMIT"} {
		t.Run("after "+at, func(t *testing.T) {
			m := &silencer{}
			d := start(t, defaultFailover, func(d *deployer.Deployment) {
				d.Dial = func(deployer.Place) deployer.Dial { return m.dial }
			})
			c := connect(t, d, 0, "")
			exec(t, c, "CREATE TABLE t (id bigint PRIMARY KEY, n bigint)")
			exec(t, c, "INSERT INTO t (id, n) VALUES (1, 0)")
			const writes = 6
			for i := range writes {
				if i == 3 {
					m.trigger.Store(&at)
				}
				exec(t, c, fmt.Sprintf("/* key=silent-%d */ UPDATE t SET n = n + 1 WHERE id = 1", i))
			}
			if n := query[int64](t, c, "SELECT n FROM t WHERE id = 1"); n != writes {
				t.Errorf("%d writes were acknowledged and %d took effect", writes, n)
			}
			if m.trigger.Load() != nil {
				t.Error("no connection was silenced")
			}
		})
	}
}
