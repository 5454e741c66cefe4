package deployer_test

import (
	"context"
	"errors"
	"net"
	"strings"
	"sync"
	"testing"

	"github.com/cuminwick/cuminwick/internal/host/deployer"
)

var errPartitioned = errors.New("network partition")

// partition cuts one availability zone off from the backend servers of the other zones.
type partition struct {
	mu     sync.Mutex
	active bool
	local  string
	conns  map[net.Conn]string
}

func (p *partition) dial(ctx context.Context, network, address string) (net.Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.active && address != p.local {
		return nil, errPartitioned
	}
	c, err := new(net.Dialer).DialContext(ctx, network, address)
	if err == nil {
		p.conns[c] = address
	}
	return c, err
}

func (p *partition) cutOff(local string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.active, p.local = true, local
	for c, a := range p.conns {
		if a != local {
			c.Close()
		}
	}
}

// Guards against stale reads and false outcomes in an isolated zone, which is cut off from all
// others. A session whose marks the local replica covers may still read there. A session without a
// mark may have written elsewhere, so its reads are refused, and so are all writes, with the
// outcome not-run.
func TestCutOffZone(t *testing.T) {
	p := &partition{conns: make(map[net.Conn]string)}
	d := start(t, defaultFailover, func(d *deployer.Deployment) {
		// The zone's entry host cannot reach the other entry hosts either.
		d.Standalone = true
		d.Dial = func(from deployer.Place) deployer.Dial {
			if from.AvailabilityZone == "c" {
				return p.dial
			}
			return new(net.Dialer).DialContext
		}
	})
	c := connect(t, d, 2, "")
	exec(t, c, "CREATE TABLE t (id bigint PRIMARY KEY)")
	exec(t, c, "INSERT INTO t (id) VALUES (1)")
	for query[int64](t, c, "SELECT count(*) FROM t") != 1 {
		t.Fatal("the session's own write is missing")
	}
	s := d.Standins["db"].Servers
	for !s[2].Store().Last().Covers(s[0].Store().Last()) {
		if t.Context().Err() != nil {
			t.Fatal("the replica did not catch up")
		}
	}
	n := connect(t, d, 2, "")
	p.cutOff(s[2].Addr())
	if v := query[int64](t, c, "SELECT count(*) FROM t"); v != 1 {
		t.Errorf("session with a mark sees %d rows, want 1", v)
	}
	_, err := n.Exec(t.Context(), "SELECT count(*) FROM t")
	if err == nil || !strings.Contains(detail(err), "outcome=not-run") {
		t.Errorf("session without a mark: %v, detail %q", err, detail(err))
	}
	if want := "Try again after 1000 ms."; hint(err) != want {
		t.Errorf("hint %q, want %q", hint(err), want)
	}
	_, err = n.Exec(t.Context(), "INSERT INTO t (id) VALUES (2)")
	if err == nil || !strings.Contains(detail(err), "outcome=not-run") {
		t.Errorf("write: %v, detail %q", err, detail(err))
	}
	if want := "Try again after 1000 ms."; hint(err) != want {
		t.Errorf("hint %q, want %q", hint(err), want)
	}
	o := connect(t, d, 0, "")
	if v := query[int64](t, o, "SELECT count(*) FROM t"); v != 1 {
		t.Errorf("%d rows elsewhere, want 1", v)
	}
}
