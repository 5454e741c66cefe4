package executor_test

import (
	"context"
	"maps"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/limit/admitter"
	"github.com/cuminwick/cuminwick/internal/limit/forecaster"
	"github.com/cuminwick/cuminwick/internal/proxy/connpooler"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

// forecastConnection is a link to an owner that refuses each statement, with a forecast.
type forecastConnection struct {
	noLeaseConnection
	owner *forecastOwner
}

func (c forecastConnection) Send(r []declarer.Request, _ time.Time) error {
	for _, x := range r {
		if x.ID != "" {
			c.owner.sent++
		}
	}
	return nil
}

func (c forecastConnection) Receive(a *declarer.Answer, _ time.Time) error {
	a.Code, a.Detail, a.Forecast = declarer.CodeNoLease, "queue-full", c.owner.forecast
	return nil
}

func (forecastConnection) Borrow(connpooler.AcquireRequest) {}
func (forecastConnection) Return() error                    { return nil }

// forecastOwner dials such links and counts the statements of callers that are sent over them.
type forecastOwner struct {
	forecast forecaster.Forecast
	sent     int
}

func (o *forecastOwner) Dial(context.Context, declarer.Server, string) (connpooler.Connection, marker.Mark, error) {
	return forecastConnection{owner: o}, marker.Mark{}, nil
}

// rank puts a ranked configuration in force in which all routes have the priority.
func (d *entryHost) rank(priority uint8) {
	c := *d.board.Configuration()
	c.Version++
	c.Ranked = true
	c.Routes = maps.Clone(c.Routes)
	for n, r := range c.Routes {
		r.Priority = priority
		c.Routes[n] = r
	}
	d.board.Configure(&c)
}

// restrict replaces the pool of a server by links to the owner, with its forecast in force.
func (d *entryHost) restrict(s declarer.Server, o *forecastOwner) {
	p := &connpooler.Pool{Server: s, Dialer: o, Observer: d, Limit: 6, OnDemand: true}
	p.SetRanked(true)
	l, err := p.Acquire(connpooler.AcquireRequest{Deadline: time.Now().Add(time.Second), Importance: admitter.Importance(63)})
	if err != nil {
		panic(err)
	}
	var a declarer.Answer
	if err := l.Receive(&a, time.Time{}); err != nil {
		panic(err)
	}
	l.Release(false)
	d.pools[s.ID] = p
}

// Guards against reads that are refused while another server of the group could run them, and against
// a round trip for each request that its owner would refuse. A write to the restricted primary is refused
// at once, with the time after which to retry; on a more important route it is sent.
func TestReadsAvoidServersThatDoNotAdmit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newDatabaseGroup(rand.New(rand.NewPCG(1, 1)), newHistory())
		d := newEntryHost(w, "z-0")
		d.rank(2)
		o := &forecastOwner{forecast: forecaster.Forecast{Admits: 15, For: 200 * time.Millisecond}}
		c := startSession(d, "bounded")
		l := w.listServers()
		for _, s := range l[1:] {
			d.restrict(s, o)
		}
		for range 10 {
			if _, r := c.ask("READ x"); r.code != declarer.CodeNone {
				t.Errorf("read refused: %s", r.text)
			}
		}
		d.restrict(l[0], o)
		began := time.Now()
		_, r := c.ask("WRITE x 1")
		if r.code != declarer.CodeBusy || time.Since(began) > 0 || !strings.Contains(r.text, "not run: server i-0: not-admitted") || !strings.Contains(r.text, "retry after") {
			t.Errorf("write: code %d, %q after %s", r.code, r.text, time.Since(began))
		}
		if o.sent != 0 {
			t.Errorf("%d statements sent to owners that admit none", o.sent)
		}
		d.rank(1)
		if _, r := c.ask("WRITE x 1"); o.sent != 1 {
			t.Errorf("%d statements sent for a more important write, %q", o.sent, r.text)
		}
		endSession(d, c)
	})
}
