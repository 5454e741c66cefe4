package driver

import (
	"context"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"

	"github.com/cuminwick/cuminwick/internal/backend/controller"
	"github.com/cuminwick/cuminwick/internal/config/declarer"
	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/group/pacer"
)

// remote is a fake of a backend server with a round-trip time. Its log grows by one position each
// microsecond, so that a position shows when it was written.
type remote struct {
	controller.Control
	name      string
	primary   bool
	roundTrip time.Duration
	// lag is the replication delay, zero for the primary.
	lag     time.Duration
	started time.Time
	// polls counts the calls of Status.
	polls atomic.Int64
}

func (r *remote) Status(ctx context.Context) (controller.Status, error) {
	r.polls.Add(1)
	time.Sleep(r.roundTrip / 2)
	s := controller.Status{BackendServer: r.name, Role: controller.RoleReplica, Following: "db-1", Term: 1, TermStart: 1}
	if r.primary {
		s.Role, s.Following = controller.RolePrimary, ""
	}
	s.Last = r.written(r.lag)
	time.Sleep(r.roundTrip / 2)
	return s, ctx.Err()
}

// written returns the mark that the primary's log had reached lag ago.
func (r *remote) written(lag time.Duration) marker.Mark {
	p := max(1, time.Since(r.started)-lag)
	return marker.Mark{Term: 1, Position: marker.Position(p.Microseconds())}
}

// runWithRemotes calls f in virtual time while a driver runs on a primary next to the host, a replica
// in another availability zone and one in another region.
func runWithRemotes(t *testing.T, f func(ctx context.Context, d *Driver, l []*remote)) {
	synctest.Test(t, func(t *testing.T) {
		l := []*remote{
			{name: "db-1", primary: true, roundTrip: 400 * time.Microsecond},
			{name: "db-2", roundTrip: 3 * time.Millisecond, lag: 5 * time.Millisecond},
			{name: "db-3", roundTrip: 16 * time.Millisecond, lag: 12 * time.Millisecond},
		}
		g := declarer.DatabaseGroup{Name: "kalkul"}
		c := make(map[string]controller.Control)
		for _, r := range l {
			r.started = time.Now()
			c[r.name] = r
			g.BackendServers = append(g.BackendServers, declarer.BackendServer{Name: r.name, Address: r.name})
		}
		d := &Driver{Group: g, Host: "entry-0", Controls: c, Settings: Defaults(), Log: &log.Logger{Handler: json.New(io.Discard)}}
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- d.Run(ctx) }()
		if _, err := d.WaitPrimary(ctx); err != nil {
			t.Error(err)
		}
		f(ctx, d, l)
		stop()
		<-done
	})
}

// Guards against late acknowledgements and needless polls when commits arrive now and then. The host
// learns the replica's replication delay and polls after it. An acknowledgement thus usually takes
// a replication delay and a round trip or less, at most one more round trip and poll interval,
// with little more than one poll of each of the two nearest servers.
func TestPollsOfCommits(t *testing.T) {
	const commits, learning = 400, 100
	const usual, worst = 8 * time.Millisecond, 13 * time.Millisecond
	runWithRemotes(t, func(ctx context.Context, d *Driver, l []*remote) {
		var waits []time.Duration
		var before uint64
		r := rand.New(rand.NewPCG(1, 1))
		for n := range commits {
			if n == learning {
				before = d.Polls[pacer.CauseAcknowledgement].Load()
				waits = nil
			}
			time.Sleep(time.Duration(20+r.IntN(40)) * time.Millisecond)
			at := time.Now()
			if err := d.WaitAcknowledged(ctx, l[0].written(0)); err != nil {
				t.Fatal(err)
			}
			waits = append(waits, time.Since(at))
		}
		slices.Sort(waits)
		if m := waits[len(waits)/2]; m > usual {
			t.Errorf("median wait %v, want %v at most", m, usual)
		}
		if m := waits[len(waits)-1]; m > worst {
			t.Errorf("longest wait %v, want %v at most", m, worst)
		}
		n := float64(d.Polls[pacer.CauseAcknowledgement].Load()-before) / (commits - learning)
		t.Logf("median %v, longest %v, %.2f polls a commit", waits[len(waits)/2], waits[len(waits)-1], n)
		if n > 2.6 {
			t.Errorf("%.2f polls a commit", n)
		}
	})
}

// readers simulates callers that take read indexes at random moments.
type readers struct {
	t      *testing.T
	ctx    context.Context
	driver *Driver
	server *remote
	done   sync.WaitGroup
}

func (r *readers) run(random *rand.Rand) {
	defer r.done.Done()
	for range 100 {
		time.Sleep(time.Duration(random.IntN(20_000)) * time.Microsecond)
		arrived := r.server.written(r.server.lag)
		at := time.Now()
		m, err := r.driver.ReadIndex(r.ctx)
		if err != nil || !m.Covers(arrived) {
			r.t.Errorf("read index %v, %v, want at least %v, the server's mark at arrival", m, err, arrived)
		}
		if w := time.Since(at); w > 7*time.Millisecond {
			r.t.Errorf("read index took %v", w)
		}
	}
}

// Guards against stale read indexes and needless polls. Many reads arrive at random moments, most of
// them during a poll. No read may get an index from a poll that began before the read arrived. Reads
// share polls: 1600 separate reads would poll two servers each, and these need about a third of that.
// No read causes a poll of the distant server.
func TestPollsOfReads(t *testing.T) {
	runWithRemotes(t, func(ctx context.Context, d *Driver, l []*remote) {
		r := &readers{t: t, ctx: ctx, driver: d, server: l[0]}
		r.done.Add(16)
		began, before := time.Now(), l[2].polls.Load()
		for n := range 16 {
			go r.run(rand.New(rand.NewPCG(2, uint64(n))))
		}
		r.done.Wait()
		if n := d.Polls[pacer.CauseReadIndex].Load(); n > 1100 {
			t.Errorf("%d polls for 1600 reads", n)
		}
		rests := time.Since(began)/d.Settings.StatusInterval + 1
		if n := l[2].polls.Load() - before; n > int64(rests) {
			t.Errorf("%d polls of the distant server, want %d at most", n, rests)
		}
	})
}
