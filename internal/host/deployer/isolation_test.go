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

var errCut = errors.New("network partition")

// partition cuts one availability zone off from the backend servers of others.
type partition struct {
	mu    sync.Mutex
	cut   bool
	local string
	conns map[net.Conn]string
}

func (p *partition) dial(ctx context.Context, network, address string) (net.Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cut && address != p.local {
		return nil, errCut
	}
	c, err := new(net.Dialer).DialContext(ctx, network, address)
	if err == nil {
		p.conns[c] = address
	}
	return c, err
}

func (p *partition) begin(local string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut, p.local = true, local
	for c, a := range p.conns {
		if a != local {
			c.Close()
		}
	}
}

// An availability zone is cut off from all the others. Its advisers still open
// their case files where the session's own writes are known to be in them; a
// session of which nothing is known can't be told from one that has just written
// elsewhere, and is refused, as are writes, with the truth that nothing ran.
func TestCutOffZone(t *testing.T) {
	p := &partition{conns: make(map[net.Conn]string)}
	d := start(t, failover, func(d *deployer.Deployment) {
		// The zone's entry host reaches no other either.
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
		t.Fatal("own write missing")
	}
	s := d.Standins["db"].Servers
	for !s[2].Store().Last().Covers(s[0].Store().Last()) {
		if t.Context().Err() != nil {
			t.Fatal("replica doesn't catch up")
		}
	}
	n := connect(t, d, 2, "")
	p.begin(s[2].Addr())
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
