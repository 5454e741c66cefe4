package deployer_test

import (
	"slices"
	"testing"

	"github.com/cuminwick/cuminwick/internal/host/deployer"
	"github.com/cuminwick/cuminwick/internal/host/runner"
	"github.com/cuminwick/cuminwick/internal/member/declarer"
)

// startWithGossip runs two entry hosts in each zone, which discover each other by heartbeats.
func startWithGossip(t *testing.T) *deployer.Deployment {
	t.Helper()
	d := startDeployment(t, 2, func(d *deployer.Deployment) { d.Gossip = true })
	for _, h := range d.Hosts {
		awaitLive(t, h, len(d.Hosts))
	}
	p := primary(t, d)
	waitFor(t, "the hosts to agree on the pool's owner", func() bool {
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
	waitFor(t, "members at "+h.Settings.HostName, func() bool { return liveMembers(h) == n })
}

// awaitLiveExcept waits until all hosts except one list each other, and only each other, as live.
func awaitLiveExcept(t *testing.T, d *deployer.Deployment, gone int) {
	t.Helper()
	for i, h := range d.Hosts {
		if i != gone {
			awaitLive(t, h, len(d.Hosts)-1)
		}
	}
}

// Guards against a pool without an owner after a crash. The entry host that owns the primary's pool
// is killed without notice. The others must detect it and agree on its successor, and callers of
// other hosts continue.
func TestOwnerKilledWithGossip(t *testing.T) {
	d := startWithGossip(t)
	owner, forwarder := poolOwner(t, d)
	c := connect(t, d, forwarder, "")
	exec(t, c, "CREATE TABLE t (id bigint PRIMARY KEY)")
	dead := d.Hosts[owner].Settings.HostName
	p := primary(t, d)
	d.Kill(owner)
	exec(t, c, "INSERT INTO t (id) VALUES (1)")
	awaitLiveExcept(t, d, owner)
	exec(t, c, "INSERT INTO t (id) VALUES (2)")
	if n := query[int64](t, c, "SELECT count(*) FROM t"); n != 2 {
		t.Errorf("%d rows after two writes", n)
	}
	if o := d.Hosts[forwarder].PoolOwner("db", p); o == dead || o == "" {
		t.Errorf("the pool is owned by %q", o)
	}
}

// Guards against errors during a planned stop. An operator drains the entry host that owns the
// primary's pool. The host itself must notify the others, and callers of other hosts must get no
// error.
func TestOwnerDrainedWithGossip(t *testing.T) {
	d := startWithGossip(t)
	owner, forwarder := poolOwner(t, d)
	c := connect(t, d, forwarder, "")
	exec(t, c, "CREATE TABLE t (id bigint PRIMARY KEY)")
	d.Drain(owner)
	for i := range 50 {
		exec(t, c, "INSERT INTO t (id) VALUES ($1)", i)
	}
	awaitLiveExcept(t, d, owner)
	if err := d.AwaitStopped(t.Context(), owner); err != nil {
		t.Errorf("drain: %v", err)
	}
}
