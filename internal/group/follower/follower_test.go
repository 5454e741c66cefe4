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

// remote is a backend server whose log grows by a position each microsecond, so
// that a position tells when it was written.
type remote struct {
	controller.Control
	name    string
	primary bool
	trip    time.Duration
	lag     time.Duration
	started time.Time
}

func (r *remote) Status(ctx context.Context) (controller.Status, error) {
	time.Sleep(r.trip / 2)
	s := controller.Status{BackendServer: r.name, Role: controller.RoleReplica, Following: "db-1", Term: 1, TermStart: 1}
	if r.primary {
		s.Role, s.Following = controller.RolePrimary, ""
	}
	s.Last = r.written()
	time.Sleep(r.trip / 2)
	return s, ctx.Err()
}

// written is the last position of the server's log now.
func (r *remote) written() marker.Mark {
	p := max(1, time.Since(r.started)-r.lag)
	return marker.Mark{Term: 1, Position: marker.Position(p.Microseconds())}
}

// way is how long a message between two hosts takes.
const way = 500 * time.Microsecond

// fleet is serving hosts that a follower turns to in order.
type fleet struct {
	names     []string
	informers map[string]*informer.Informer
	dead      map[string]*atomic.Bool
	blind     map[string]*atomic.Bool
	asked     atomic.Int64
}

func (f *fleet) ask(ctx context.Context, host string, q informer.Question) (informer.Answer, error) {
	f.asked.Add(1)
	time.Sleep(way)
	a, err := f.informers[host].Answer(ctx, q)
	time.Sleep(way)
	if f.dead[host].Load() {
		<-ctx.Done()
	}
	if ctx.Err() != nil {
		return informer.Answer{}, errors.Trace(ctx.Err())
	}
	return a, err
}

// sight is a server as one host sees it.
type sight struct {
	*remote
	blind *atomic.Bool
}

func (s sight) Status(ctx context.Context) (controller.Status, error) {
	if s.blind.Load() {
		return controller.Status{}, errors.New("no way to the server")
	}
	return s.remote.Status(ctx)
}

// followed runs a follower of two serving hosts in virtual time and calls t.
func followed(t *testing.T, f func(ctx context.Context, f *Follower, l *fleet, s []*remote)) {
	synctest.Test(t, func(t *testing.T) {
		s := []*remote{
			{name: "db-1", primary: true, trip: 400 * time.Microsecond},
			{name: "db-2", trip: 3 * time.Millisecond, lag: 5 * time.Millisecond},
			{name: "db-3", trip: 16 * time.Millisecond, lag: 12 * time.Millisecond},
		}
		g := declarer.DatabaseGroup{Name: "kalkul"}
		for _, r := range s {
			r.started = time.Now()
			g.BackendServers = append(g.BackendServers, declarer.BackendServer{Name: r.name, Address: r.name})
		}
		ctx, stop := context.WithCancel(t.Context())
		l := &fleet{names: []string{"serving-1", "serving-2"}, informers: make(map[string]*informer.Informer), dead: make(map[string]*atomic.Bool), blind: make(map[string]*atomic.Bool)}
		quiet := &log.Logger{Handler: json.New(io.Discard)}
		var w sync.WaitGroup
		for _, n := range l.names {
			l.blind[n] = new(atomic.Bool)
			c := make(map[string]controller.Control)
			for _, r := range s {
				c[r.name] = sight{remote: r, blind: l.blind[n]}
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

// A caller's read must show each write acknowledged before it, though its host
// has asked no backend server: an index begun before the read came would miss one.
// All who wait at once share a question; else each read would cost a message.
func TestReadIndexes(t *testing.T) {
	followed(t, func(ctx context.Context, f *Follower, l *fleet, s []*remote) {
		const readers, reads = 16, 50
		before := l.asked.Load()
		var w sync.WaitGroup
		for n := range readers {
			r := rand.New(rand.NewPCG(1, uint64(n)))
			w.Go(func() {
				for range reads {
					time.Sleep(time.Duration(r.IntN(4000)) * time.Microsecond)
					// A majority holds what the nearest replica has.
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

// The clocks of two hosts aren't compared, and messages take time. A status that
// seemed younger than it is would have a read with an age see too old data.
func TestStatusesSeemNoYoungerThanTheyAre(t *testing.T) {
	followed(t, func(ctx context.Context, f *Follower, _ *fleet, s []*remote) {
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
				if begun := written + r.lag - r.trip/2; v.Servers[i].PolledAt > begun+time.Microsecond {
					t.Errorf("%s: status seems to be of %v, it is of %v", r.name, v.Servers[i].PolledAt, begun)
				}
			}
		}
	})
}

// The serving host dies while commits wait for their acknowledgement. A caller who
// was told that its write is undetermined, or nothing at all, would have to find
// out by itself; the next serving host knows.
func TestServingHostDiesWhileCommitsWait(t *testing.T) {
	followed(t, func(ctx context.Context, f *Follower, l *fleet, s []*remote) {
		f.AwaitView(ctx)
		var w sync.WaitGroup
		for n := range 20 {
			w.Go(func() {
				time.Sleep(time.Duration(n) * time.Millisecond)
				at := time.Now()
				if err := f.WaitAcknowledged(ctx, s[0].written()); err != nil {
					t.Error(err)
				}
				if d := time.Since(at); d > askHold+silence+50*time.Millisecond {
					t.Errorf("acknowledged after %v", d)
				}
			})
		}
		time.Sleep(10 * time.Millisecond)
		l.dead["serving-1"].Store(true)
		w.Wait()
	})
}

// No serving host answers any more. Requests must be told soon that there is no
// majority, and the host that it has to serve itself; what was heard last must not
// be taken for what is. Once one answers again the follower goes on.
func TestNobodyAnswers(t *testing.T) {
	followed(t, func(ctx context.Context, f *Follower, l *fleet, _ []*remote) {
		f.AwaitView(ctx)
		for _, d := range l.dead {
			d.Store(true)
		}
		at := time.Now()
		for f.View().HasMajority() {
			f.PollNow()
			time.Sleep(10 * time.Millisecond)
		}
		if d := time.Since(at); d > currency+watchHold {
			t.Errorf("the last view stood for %v", d)
		}
		select {
		case <-f.HostsUnreachable():
		default:
			t.Error("not deserted")
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

// A host has most groups without a caller. It must not ask for their views: with
// thousands of groups that alone would be above what control may take.
func TestNoQuestionsWithoutRequests(t *testing.T) {
	followed(t, func(ctx context.Context, f *Follower, l *fleet, _ []*remote) {
		if n := l.asked.Load(); n != 0 {
			t.Errorf("%d questions before the first request", n)
		}
		f.AwaitView(ctx)
		time.Sleep(2 * linger)
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

// The nearest serving host answers, but has lost its own way to the servers. If the
// others went on with it, all their callers would be refused though another serving
// host knows better.
func TestServingHostWithoutMajority(t *testing.T) {
	followed(t, func(ctx context.Context, f *Follower, l *fleet, s []*remote) {
		f.AwaitView(ctx)
		l.blind["serving-1"].Store(true)
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
		l.blind["serving-1"].Store(false)
		time.Sleep(2 * mistrust)
		f.AwaitView(ctx)
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.source != "serving-1" {
			t.Errorf("follows %s, want the nearest again", f.source)
		}
	})
}
