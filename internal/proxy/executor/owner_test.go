package executor_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/proxy/connpooler"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

// lostOwners returns pools of links to owners that can't be reached, one after the other, and then the
// pool of the host itself.
type lostOwners struct {
	*entryHost
	lost []*connpooler.Pool
	// failed counts the attempts to reach an owner.
	failed int
}

const linkTimeout = 20 * time.Millisecond

func (l *lostOwners) Pool(server string) *connpooler.Pool {
	if l.failed < len(l.lost) {
		return l.lost[l.failed]
	}
	return l.entryHost.Pool(server)
}

func (l *lostOwners) Dial(context.Context, declarer.Server, string) (connpooler.Connection, marker.Mark, error) {
	time.Sleep(linkTimeout)
	return nil, marker.Mark{}, connpooler.ErrNoRoute
}

func (l *lostOwners) Connected(declarer.Server, marker.Mark) {}
func (l *lostOwners) Unreachable(declarer.Server, error)     { l.failed++ }

// Guards against a statement that waits for a server to be reached again, or is refused, though only the
// owner of its connections is lost and the next one is known.
func TestStatementGoesToNextOwnerAtOnce(t *testing.T) {
	for _, owners := range []int{1, 2} {
		synctest.Test(t, func(t *testing.T) {
			w := newDatabaseGroup(rand.New(rand.NewPCG(1, 1)), newHistory())
			d := newEntryHost(w, "z-0")
			x := &lostOwners{entryHost: d}
			for range owners {
				x.lost = append(x.lost, &connpooler.Pool{Server: w.listServers()[0], Dialer: x, Observer: x, Limit: 6, OnDemand: true})
			}
			c := newClient(d, "s1", "primary", 1)
			c.session.Pools = x
			go c.session.Run()
			<-c.caller.out
			began := time.Now()
			_, r := c.ask("WRITE x 1")
			if r.code != declarer.CodeNone {
				t.Errorf("code %d, %q", r.code, r.text)
			}
			if d := time.Since(began); d > time.Duration(owners)*linkTimeout+linkTimeout/2 {
				t.Errorf("%d lost owners: served after %v", owners, d)
			}
			endSession(d, c)
		})
	}
}
