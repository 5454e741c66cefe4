package witness_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/group/observer"
	"github.com/cuminwick/cuminwick/internal/peer/witness"
)

// group is a group that host a serves; lost says that its primary seems lost to a.
type group struct {
	lost atomic.Bool
}

func (g *group) PrimaryReport() observer.PrimaryReport {
	return observer.PrimaryReport{Host: "a", Primary: "db-a", Term: 1, Lost: g.lost.Load()}
}

func (g *group) PollNow() {}

// One host can't reach the primary while the other hosts can. Without their reports it would
// promote another primary, and writes of all callers would be interrupted needlessly. Reports
// must be requested only while the primary seems lost, and be dropped afterwards.
func TestPrimaryReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		g := &group{}
		var asked atomic.Int64
		w := &witness.Witness{
			Self:         "a",
			ServingHosts: func(string) []string { return []string{"a", "b", "c"} },
			Groups:       func() map[string]witness.Group { return map[string]witness.Group{"db": g} },
			Ask: func(_ context.Context, h string, _ witness.Question) (witness.Answer, error) {
				if h == "c" {
					return witness.Answer{}, errors.New("host not reachable")
				}
				asked.Add(1)
				return witness.Answer{Serving: true, Report: observer.PrimaryReport{Host: h, Primary: "db-a", Term: 1}}, nil
			},
		}
		ended := make(chan error)
		go func() { ended <- w.Run(ctx) }()
		time.Sleep(time.Second)
		synctest.Wait()
		if n := asked.Load(); n != 0 {
			t.Errorf("sent %d questions while the primary does not seem lost", n)
		}
		g.lost.Store(true)
		time.Sleep(time.Second)
		synctest.Wait()
		l := w.PrimaryReports("db")
		if len(l) != 1 || l[0].Host != "b" || l[0].Lost {
			t.Errorf("reports %v, want only the one of b, which still reaches the primary", l)
		}
		g.lost.Store(false)
		time.Sleep(time.Second)
		if l := w.PrimaryReports("db"); len(l) != 0 {
			t.Errorf("reports %v are kept after the primary was reached again", l)
		}
		stop()
		<-ended
	})
}
