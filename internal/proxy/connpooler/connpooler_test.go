package connpooler

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/limit/admitter"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

// openDelay is how long a connection to a fakeServer takes to open, and at least how long an
// answer takes.
const openDelay = 20 * time.Millisecond

// fakeServer is a server that accepts up to limit connections, or fails them with err. It also
// implements Observer.
type fakeServer struct {
	mu          sync.Mutex
	err         error
	limit       int
	attempts    int
	opening     int
	mostOpening int
	open        int
	unreachable int
	sent        []declarer.Verb
	// answerDelay is how long an answer takes.
	answerDelay time.Duration
}

func (f *fakeServer) Dial(_ context.Context, _ declarer.Server, customer string) (Connection, marker.Mark, error) {
	f.mu.Lock()
	f.attempts++
	f.opening++
	f.mostOpening = max(f.mostOpening, f.opening)
	f.mu.Unlock()
	time.Sleep(openDelay)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.opening--
	switch {
	case f.err != nil:
		return nil, marker.Mark{}, f.err
	case f.open >= f.limit:
		return nil, marker.Mark{}, ErrTooManyConnections
	}
	f.open++
	return &fakeConnection{server: f, customer: customer}, marker.Mark{}, nil
}

func (f *fakeServer) Connected(declarer.Server, marker.Mark) {}

func (f *fakeServer) Unreachable(declarer.Server, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unreachable++
}

// fakeConnection is a connection to a fakeServer.
type fakeConnection struct {
	server *fakeServer
	// customer is the one that the connection was opened for.
	customer string
	pending  int
	state    declarer.State
	ended    bool
	err      error
	// code is that of the next answer.
	code declarer.Code
}

func (l *fakeConnection) Send(r []declarer.Request, _ time.Time) error {
	l.server.mu.Lock()
	defer l.server.mu.Unlock()
	for _, x := range r {
		l.server.sent = append(l.server.sent, x.Verb)
		if x.Verb == declarer.VerbRollback {
			l.state = declarer.StateIdle
		}
	}
	l.pending += len(r)
	return l.err
}

func (l *fakeConnection) Receive(a *declarer.Answer, _ time.Time) error {
	time.Sleep(max(openDelay, l.server.answerDelay))
	l.pending--
	a.State, a.Code, l.code = l.state, l.code, declarer.CodeNone
	return l.err
}

func (l *fakeConnection) PendingAnswers() int { return l.pending }
func (l *fakeConnection) Ended() bool         { return l.ended }

func (l *fakeConnection) Close() {
	l.server.mu.Lock()
	defer l.server.mu.Unlock()
	l.server.open--
}

func newPool(f *fakeServer) *Pool {
	return &Pool{Server: declarer.Server{ID: "i"}, Dialer: f, Observer: f, Limit: 5, MinOpen: 1}
}

// requestWithin returns a request for a read with the deadline after wait.
func requestWithin(wait time.Duration) AcquireRequest {
	return AcquireRequest{Deadline: time.Now().Add(wait), Class: admitter.ClassRead}
}

// acquire returns a lease or fails the test.
func acquire(t *testing.T, p *Pool) *Lease {
	t.Helper()
	l, err := p.Acquire(requestWithin(time.Second))
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// Guards against callers that are refused forever although the server works: the answers to
// statements are lost, so that each takes as long as its caller waits, and then the last connection
// breaks. If callers were refused because of the expected wait, no connection would ever be opened
// again.
func TestPoolReopensAfterSlowStatements(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeServer{limit: 16}
		p := newPool(f)
		for range 40 {
			l := acquire(t, p)
			time.Sleep(800 * time.Millisecond)
			l.Release(false)
		}
		l := acquire(t, p)
		l.Release(true)
		if f.open != 0 {
			t.Fatalf("%d connections open", f.open)
		}
		l, err := p.Acquire(requestWithin(500 * time.Millisecond))
		if err != nil {
			t.Fatal(err)
		}
		l.Release(false)
	})
}

// Guards against a pool that doesn't grow while callers are refused: all connections are in long
// transactions, so that no caller is expected to get one in time and none waits.
func TestRefusedCallersHaveConnectionOpened(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeServer{limit: 16}
		p := newPool(f)
		for range 40 {
			l := acquire(t, p)
			time.Sleep(800 * time.Millisecond)
			l.Release(false)
		}
		held := acquire(t, p)
		if _, err := p.Acquire(requestWithin(500 * time.Millisecond)); !errors.Is(err, ErrRefused) {
			t.Fatalf("error %v", err)
		}
		time.Sleep(2 * openDelay)
		l, err := p.Acquire(requestWithin(500 * time.Millisecond))
		if err != nil {
			t.Fatal(err)
		}
		l.Release(false)
		held.Release(false)
	})
}

// Guards against a recovery that blocks callers or distorts the service time: an answer arrives
// four seconds late. The next callers must get another connection in the meantime, and the wait for
// the late answer must not count as service time.
func TestRecoveryDoesNotCountAsServiceTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeServer{limit: 16, answerDelay: 4 * time.Second}
		p := newPool(f)
		l := acquire(t, p)
		_ = l.Send([]declarer.Request{{Verb: declarer.VerbRead}}, time.Now().Add(time.Second))
		l.Release(false)
		l = acquire(t, p)
		if f.open != 2 {
			t.Errorf("%d connections open, want 2", f.open)
		}
		time.Sleep(10 * time.Millisecond)
		l.Release(false)
		time.Sleep(5 * time.Second)
		p.mu.Lock()
		defer p.mu.Unlock()
		if d := p.queue.ServiceTime(); d > 100*time.Millisecond {
			t.Errorf("service time is %v", d)
		}
		if p.usable() != 2 || len(p.idle) != 2 {
			t.Errorf("%d usable connections, %d idle, want 2 each", p.usable(), len(p.idle))
		}
	})
}

// Guards against limits that stay as they were: a host that becomes the owner of a server's
// connections would be the bottleneck of the whole group, and one that ceases to be the owner would
// keep more than its share.
func TestResizedPool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeServer{limit: 16}
		p := newPool(f)
		p.Limit = 1
		l := acquire(t, p)
		time.Sleep(200 * time.Millisecond) // makes opening another connection worthwhile
		l.Release(false)
		held := acquire(t, p)
		p.Resize(3, 1)
		second, third := acquire(t, p), acquire(t, p)
		for _, l := range []*Lease{held, second, third} {
			l.Release(false)
		}
		p.Resize(1, 1)
		p.Trim(time.Now())
		if f.open != 1 {
			t.Errorf("%d connections open, want 1", f.open)
		}
	})
}

// Guards against a host that takes all connections of a server: after a restart of all hosts, each
// has a backlog of callers. If a host opened as many connections as it has callers, callers of the
// other hosts would be refused until that host no longer needs them.
func TestBacklogOpensOneConnectionAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeServer{limit: 16}
		p := newPool(f)
		var g sync.WaitGroup
		for range admitter.DefaultLength {
			g.Go(func() {
				l, err := p.Acquire(requestWithin(10 * time.Second))
				if err != nil {
					t.Error(err)
					return
				}
				time.Sleep(10 * time.Millisecond)
				l.Release(false)
			})
		}
		g.Wait()
		if f.mostOpening != 1 {
			t.Errorf("%d connections opened at once", f.mostOpening)
		}
		if most := p.Limit; f.open > most {
			t.Errorf("%d connections open, want at most %d", f.open, most)
		}
		p.Close()
	})
}

// Guards against a host that slows down a server at its limit by constant attempts to open
// connections: each attempt takes one of the server's slots.
func TestServerAtLimitIsRetriedRarely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeServer{}
		p := newPool(f)
		if _, err := p.Acquire(requestWithin(2 * time.Second)); !errors.Is(err, ErrRefused) {
			t.Fatalf("error %v", err)
		}
		f.mu.Lock()
		if f.attempts < 2 || f.attempts > int(2*time.Second/(firstBackoff/2)) {
			t.Errorf("%d attempts in two seconds", f.attempts)
		}
		if f.unreachable > 0 {
			t.Error("a server at its limit is reported as unreachable")
		}
		f.limit = 1
		f.mu.Unlock()
		acquire(t, p).Release(false)
		p.Close()
	})
}

// Guards against callers that wait for a connection to a lost server, although another server may
// serve them.
func TestUnreachableServerRefusesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeServer{err: ErrNoRoute}
		p := newPool(f)
		began := time.Now()
		if _, err := p.Acquire(requestWithin(time.Minute)); !errors.Is(err, ErrUnreachable) {
			t.Fatalf("error %v", err)
		}
		if d := time.Since(began); d > 2*openDelay {
			t.Errorf("refused after %s", d)
		}
		if f.unreachable != 1 {
			t.Errorf("reported as unreachable %d times", f.unreachable)
		}
	})
}

// Guards against a connection that is leased again in the middle of a transaction or with a pending
// answer of its last session: the next session would work in that transaction or get that answer.
func TestReleaseRecoversConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeServer{limit: 1}
		p := newPool(f)
		l := acquire(t, p)
		x := l.Connection.(*fakeConnection)
		x.pending, x.state = 2, declarer.StateTransaction
		l.Release(false)
		l = acquire(t, p)
		if l.Connection != x || x.pending != 0 || x.state != declarer.StateIdle || l.State != declarer.StateIdle {
			t.Errorf("leased with %d pending answers, state %d", x.pending, x.state)
		}
		if len(f.sent) != 1 || f.sent[0] != declarer.VerbRollback {
			t.Errorf("sent %v", f.sent)
		}
		x.state, x.err = declarer.StateTransaction, errors.New("broken")
		l.State = declarer.StateTransaction
		l.Release(false)
		if l = acquire(t, p); l.Connection == x {
			t.Error("a connection that can't be recovered is leased again")
		}
		l.Release(false)
		p.Close()
	})
}

// Guards against a lease of a connection that the server has closed while it was idle.
func TestClosedConnectionIsNotLeased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeServer{limit: 2}
		p := newPool(f)
		l := acquire(t, p)
		old := l.Connection.(*fakeConnection)
		l.Release(false)
		old.ended = true
		if l = acquire(t, p); l.Connection == old {
			t.Error("a connection that the server has closed is leased")
		}
		l.Release(false)
		p.Close()
	})
}

// Guards against a pool that keeps more idle connections than MinOpen, which other hosts may need.
func TestTrimKeepsOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeServer{limit: 4}
		p := newPool(f)
		p.queue.Slots = 1
		var l []*Lease
		var g sync.WaitGroup
		var mu sync.Mutex
		for range 3 {
			g.Go(func() {
				x, err := p.Acquire(requestWithin(10 * time.Second))
				if err != nil {
					t.Error(err)
					return
				}
				time.Sleep(time.Second)
				mu.Lock()
				l = append(l, x)
				mu.Unlock()
				x.Release(false)
			})
		}
		g.Wait()
		p.Trim(time.Now())
		before := f.open
		time.Sleep(2 * idleTimeout)
		p.Trim(time.Now())
		if f.open != 1 {
			t.Errorf("%d connections kept of %d", f.open, before)
		}
		p.Close()
		if f.open != 0 {
			t.Errorf("%d connections open after Close", f.open)
		}
	})
}

// Guards against callers that wait for a connection of a pool that has been closed.
func TestClosedPoolRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool(&fakeServer{limit: 1})
		l := acquire(t, p)
		done := make(chan error)
		go func() {
			_, err := p.Acquire(requestWithin(time.Minute))
			done <- err
		}()
		synctest.Wait()
		p.Close()
		if err := <-done; !errors.Is(err, ErrClosed) {
			t.Errorf("error %v", err)
		}
		l.Release(false)
		if _, err := p.Acquire(requestWithin(time.Second)); !errors.Is(err, ErrClosed) {
			t.Errorf("error %v", err)
		}
	})
}
