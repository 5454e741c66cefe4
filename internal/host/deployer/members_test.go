package deployer_test

import (
	"slices"
	"testing"

	"github.com/cuminwick/cuminwick/internal/host/deployer"
	"github.com/cuminwick/cuminwick/internal/host/runner"
	"github.com/cuminwick/cuminwick/internal/member/declarer"
)

// startGossiping runs two entry hosts in each zone, which find each other.
func startGossiping(t *testing.T) *deployer.Deployment {
	t.Helper()
	d := startShared(t, 2, func(d *deployer.Deployment) { d.Gossip = true })
	for _, h := range d.Hosts {
		awaitLive(t, h, len(d.Hosts))
	}
	p := primary(t, d)
	until(t, "the hosts to agree on the pool's owner", func() bool {
		o := d.Hosts[0].PoolOwner("db", p)
		return o != "" && !slices.ContainsFunc(d.Hosts, func(h *runner.Host) bool { return h.PoolOwner("db", p) != o })
	})
	return d
}

func liveMembers(h *runner.Host) int {
	n := 0
	for _, m := range h.MemberView().Members {
		if m.State == declarer.Live {
			n++
		}
	}
	return n
}

func awaitLive(t *testing.T, h *runner.Host, n int) {
	t.Helper()
	until(t, "members at "+h.Settings.HostName, func() bool { return liveMembers(h) == n })
}

// awaitLiveBeside waits for all hosts but one to see the rest.
func awaitLiveBeside(t *testing.T, d *deployer.Deployment, gone int) {
	t.Helper()
	for i, h := range d.Hosts {
		if i != gone {
			awaitLive(t, h, len(d.Hosts)-1)
		}
	}
}

// The entry host that owns the primary's pool loses power. Nobody tells the
// others; they find out, agree on its successor, and callers elsewhere go on.
func TestOwnerDiesAmongGossipingHosts(t *testing.T) {
	d := startGossiping(t)
	own, away := owner(t, d)
	c := connect(t, d, away, "")
	exec(t, c, "CREATE TABLE t (id bigint PRIMARY KEY)")
	dead := d.Hosts[own].Settings.HostName
	p := primary(t, d)
	d.Kill(own)
	exec(t, c, "INSERT INTO t (id) VALUES (1)")
	awaitLiveBeside(t, d, own)
	exec(t, c, "INSERT INTO t (id) VALUES (2)")
	if n := query[int64](t, c, "SELECT count(*) FROM t"); n != 2 {
		t.Errorf("%d rows after two writes", n)
	}
	if o := d.Hosts[away].PoolOwner("db", p); o == dead || o == "" {
		t.Errorf("the pool is owned by %q", o)
	}
}

// An operator stops the entry host that owns the primary's pool. The others
// must learn of it from the host itself, and no caller elsewhere notices.
func TestOwnerLeavesGossipingHosts(t *testing.T) {
	d := startGossiping(t)
	own, away := owner(t, d)
	c := connect(t, d, away, "")
	exec(t, c, "CREATE TABLE t (id bigint PRIMARY KEY)")
	d.Drain(own)
	for i := range 50 {
		exec(t, c, "INSERT INTO t (id) VALUES ($1)", i)
	}
	awaitLiveBeside(t, d, own)
	if err := d.AwaitStopped(t.Context(), own); err != nil {
		t.Errorf("drain: %v", err)
	}
}
