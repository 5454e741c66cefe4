package follower

import (
	"context"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/backend/controller"
	"github.com/cuminwick/cuminwick/internal/config/declarer"
	"github.com/cuminwick/cuminwick/internal/group/driver"
	"github.com/cuminwick/cuminwick/internal/group/informer"
	"github.com/cuminwick/cuminwick/internal/group/marker"
)

// server is a simulated backend server whose log grows by one position per microsecond, so
// that each position gives the time at which it was written.
type server struct {
	controller.Control
	name      string
	primary   bool
	roundTrip time.Duration
	// lag is the replication delay.
	lag     time.Duration
	started time.Time
}

func (r *server) Status(ctx context.Context) (controller.Status, error) {
	time.Sleep(r.roundTrip / 2)
	s := controller.Status{BackendServer: r.name, Role: controller.RoleReplica, Following: "db-1", Term: 1, TermStart: 1}
	if r.primary {
		s.Role, s.Following = controller.RolePrimary, ""
	}
	s.Last = r.written()
	time.Sleep(r.roundTrip / 2)
	return s, ctx.Err()
}

// written returns the present last position of the server's log.
func (r *server) written() marker.Mark {
	p := max(1, time.Since(r.started)-r.lag)
	return marker.Mark{Term: 1, Position: marker.Position(p.Microseconds())}
}

// messageDelay is the one-way latency between two entry hosts.
const messageDelay = 500 * time.Microsecond

// servingHosts are the serving hosts of a follower, which prefers them in the order of names.
// A dead one doesn't answer questions, a cutOff one can't reach the backend servers.
type servingHosts struct {
	names     []string
	informers map[string]*informer.Informer
	dead      map[string]*atomic.Bool
	cutOff    map[string]*atomic.Bool
	asked     atomic.Int64
}

func (f *servingHosts) ask(ctx context.Context, host string, q informer.Question) (informer.Answer, error) {
	f.asked.Add(1)
	time.Sleep(messageDelay)
	a, err := f.informers[host].Answer(ctx, q)
	time.Sleep(messageDelay)
	if f.dead[host].Load() {
		<-ctx.Done()
	}
	if ctx.Err() != nil {
		return informer.Answer{}, errors.Trace(ctx.Err())
	}
	return a, err
}

// hostView is the connection of one host to a server.
type hostView struct {
	*server
	cutOff *atomic.Bool
}

func (s hostView) Status(ctx context.Context) (controller.Status, error) {
	if s.cutOff.Load() {
		return controller.Status{}, errors.New("server not reachable")
	}
	return s.server.Status(ctx)
}

// runFollower runs a follower of two serving hosts in virtual time and calls f.
func runFollower(t *testing.T, f func(ctx context.Context, f *Follower, l *servingHosts, s []*server)) {
	synctest.Test(t, func(t *testing.T) {
		s := []*server{
			{name: "db-1", primary: true, roundTrip: 400 * time.Microsecond},
			{name: "db-2", roundTrip: 3 * time.Millisecond, lag: 5 * time.Millisecond},
			{name: "db-3", roundTrip: 16 * time.Millisecond, lag: 12 * time.Millisecond},
		}
		g := declarer.DatabaseGroup{Name: "kalkul"}
		for _, r := range s {
			r.started = time.Now()
			g.BackendServers = append(g.BackendServers, declarer.BackendServer{Name: r.name, Address: r.name})
		}
		ctx, stop := context.WithCancel(t.Context())
		l := &servingHosts{names: []string{"serving-1", "serving-2"}, informers: make(map[string]*informer.Informer), dead: make(map[string]*atomic.Bool), cutOff: make(map[string]*atomic.Bool)}
		quiet := &log.Logger{Handler: json.New(io.Discard)}
		var w sync.WaitGroup
		for _, n := range l.names {
			l.cutOff[n] = new(atomic.Bool)
			c := make(map[string]controller.Control)
			for _, r := range s {
				c[r.name] = hostView{server: r, cutOff: l.cutOff[n]}
			}
			d := &driver.Driver{Group: g, Host: n, Controls: c, Settings: driver.Defaults(), Log: quiet}
			l.informers[n] = &informer.Informer{FindDriver: func(string) (*driver.Driver, uint64) { return d, informer.DigestServers(g) }}
			l.dead[n] = new(atomic.Bool)
			w.Go(func() { _ = d.Run(ctx) })
		}
		x := &Follower{Group: g, Hosts: func() []string { return l.names }, Ask: l.ask, Settings: driver.Defaults(), Log: quiet}
		x.init()
		w.Go(func() { _ = x.Run(ctx) })
		time.Sleep(time.Second)
		f(ctx, x, l, s)
		stop()
		w.Wait()
	})
}

// A read must show each write acknowledged before it. A read index that was begun before the
// read arrived could miss such a write. Concurrent reads must share questions, otherwise each
// read would cost a message.
func TestReadIndexes(t *testing.T) {
	runFollower(t, func(ctx context.Context, f *Follower, l *servingHosts, s []*server) {
		const readers, reads = 16, 50
		before := l.asked.Load()
		var w sync.WaitGroup
		for n := range readers {
			r := rand.New(rand.NewPCG(1, uint64(n)))
			w.Go(func() {
				for range reads {
					time.Sleep(time.Duration(r.IntN(4000)) * time.Microsecond)
					// A majority holds everything that the nearest replica holds.
					arrived := s[1].written()
					if m, err := f.ReadIndex(ctx); err != nil || !m.Covers(arrived) {
						t.Errorf("read index %v, %v, want %v covered", m, err, arrived)
					}
				}
			})
		}
		w.Wait()
		if n := l.asked.Load() - before; n > readers*reads/3 {
			t.Errorf("%d questions for %d reads", n, readers*reads)
		}
	})
}

// The age of a status is derived without comparing the clocks of two hosts, and messages take
// time. If the age were underestimated, a read with a maximum age would return older data.
func TestStatusAgeIsNotUnderestimated(t *testing.T) {
	runFollower(t, func(ctx context.Context, f *Follower, _ *servingHosts, s []*server) {
		f.AwaitView(ctx)
		for range 100 {
			time.Sleep(37 * time.Millisecond)
			f.AwaitView(ctx)
			v := f.View()
			if !v.Confirmed || v.Primary != "db-1" || v.Reachable != len(s) {
				t.Fatalf("view %+v", v)
			}
			for i, r := range s {
				written := time.Duration(v.Servers[i].Status.Last.Position) * time.Microsecond
				if begun := written + r.lag - r.roundTrip/2; v.Servers[i].PolledAt > begun+time.Microsecond {
					t.Errorf("%s: status polled at %v, want at most %v", r.name, v.Servers[i].PolledAt, begun)
				}
			}
		}
	})
}

// The serving host fails while commits wait for their acknowledgement. If the follower reported
// them as undetermined or did not answer, callers would have to find out the outcome themselves
// although the next serving host can tell it.
func TestServingHostDiesWhileCommitsWait(t *testing.T) {
	runFollower(t, func(ctx context.Context, f *Follower, l *servingHosts, s []*server) {
		f.AwaitView(ctx)
		var w sync.WaitGroup
		for n := range 20 {
			w.Go(func() {
				time.Sleep(time.Duration(n) * time.Millisecond)
				at := time.Now()
				if err := f.WaitAcknowledged(ctx, s[0].written()); err != nil {
					t.Error(err)
				}
				if d := time.Since(at); d > askHold+answerTimeout+50*time.Millisecond {
					t.Errorf("acknowledged after %v", d)
				}
			})
		}
		time.Sleep(10 * time.Millisecond)
		l.dead["serving-1"].Store(true)
		w.Wait()
	})
}

// All serving hosts stop answering. Requests must soon fail with ErrNoMajority, and the host
// must be notified so that it can serve the group itself; a follower that kept the last view
// would use outdated data. The follower must recover once a serving host answers again.
func TestNoServingHostAnswers(t *testing.T) {
	runFollower(t, func(ctx context.Context, f *Follower, l *servingHosts, _ []*server) {
		f.AwaitView(ctx)
		for _, d := range l.dead {
			d.Store(true)
		}
		at := time.Now()
		for f.View().HasMajority() {
			f.PollNow()
			time.Sleep(10 * time.Millisecond)
		}
		if d := time.Since(at); d > maximumAnswerAge+watchHold {
			t.Errorf("the last view was kept for %v", d)
		}
		select {
		case <-f.HostsUnreachable():
		default:
			t.Error("HostsUnreachable not signaled")
		}
		if _, err := f.WaitPrimary(ctx); !errors.Is(err, driver.ErrNoMajority) {
			t.Errorf("wait for primary: %v", err)
		}
		for _, d := range l.dead {
			d.Store(false)
		}
		f.PollNow()
		if _, err := f.WaitPrimary(ctx); err != nil && !errors.Is(err, driver.ErrNoMajority) {
			t.Error(err)
		}
		for !f.View().Confirmed {
			f.PollNow()
			time.Sleep(10 * time.Millisecond)
		}
	})
}

// Most groups of a host have no requests. If the host requested their views all the same, the
// questions for thousands of groups alone would exceed the limit on control traffic.
func TestNoQuestionsWithoutRequests(t *testing.T) {
	runFollower(t, func(ctx context.Context, f *Follower, l *servingHosts, _ []*server) {
		if n := l.asked.Load(); n != 0 {
			t.Errorf("%d questions before the first request", n)
		}
		f.AwaitView(ctx)
		time.Sleep(2 * idleTimeout)
		n := l.asked.Load()
		time.Sleep(time.Minute)
		if m := l.asked.Load(); m != n {
			t.Errorf("%d questions in a minute without requests", m-n)
		}
		if _, err := f.WaitPrimary(ctx); err != nil {
			t.Error(err)
		}
	})
}

// The nearest serving host answers, but is cut off from the backend servers. If followers kept
// using its view, all their callers would be refused although another serving host reaches a
// majority.
func TestServingHostWithoutMajority(t *testing.T) {
	runFollower(t, func(ctx context.Context, f *Follower, l *servingHosts, s []*server) {
		f.AwaitView(ctx)
		l.cutOff["serving-1"].Store(true)
		time.Sleep(2 * time.Second)
		for range 100 {
			if v := f.View(); !v.Confirmed {
				t.Fatalf("no primary, %s", v.Obstacle)
			}
			if err := f.WaitAcknowledged(ctx, s[0].written()); err != nil {
				t.Error(err)
			}
			time.Sleep(93 * time.Millisecond)
		}
		l.cutOff["serving-1"].Store(false)
		time.Sleep(2 * noMajorityAvoidance)
		f.AwaitView(ctx)
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.source != "serving-1" {
			t.Errorf("view is of %s, want serving-1 again, which is nearest", f.source)
		}
	})
}
