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

// opening is how long a fake connection takes to open.
const opening = 20 * time.Millisecond

// fake is a server that opens connections, or refuses them by err.
type fake struct {
	mu          sync.Mutex
	err         error
	limit       int
	attempts    int
	opening     int
	mostOpening int
	open        int
	unreachable int
	sent        []declarer.Verb
	// late is how long an answer takes.
	late time.Duration
}

func (f *fake) Dial(context.Context, declarer.Server) (Connection, marker.Mark, error) {
	f.mu.Lock()
	f.attempts++
	f.opening++
	f.mostOpening = max(f.mostOpening, f.opening)
	f.mu.Unlock()
	time.Sleep(opening)
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
	return &link{fake: f}, marker.Mark{}, nil
}

func (f *fake) Connected(declarer.Server, marker.Mark) {}

func (f *fake) Unreachable(declarer.Server, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unreachable++
}

// link is one connection to it.
type link struct {
	fake  *fake
	owed  int
	state declarer.State
	ended bool
	err   error
}

func (l *link) Send(r []declarer.Request, _ time.Time) error {
	l.fake.mu.Lock()
	defer l.fake.mu.Unlock()
	for _, x := range r {
		l.fake.sent = append(l.fake.sent, x.Verb)
		if x.Verb == declarer.VerbRollback {
			l.state = declarer.StateIdle
		}
	}
	l.owed += len(r)
	return l.err
}

func (l *link) Receive(a *declarer.Answer, _ time.Time) error {
	time.Sleep(max(opening, l.fake.late))
	l.owed--
	a.State = l.state
	return l.err
}

func (l *link) PendingAnswers() int { return l.owed }
func (l *link) Ended() bool         { return l.ended }

func (l *link) Close() {
	l.fake.mu.Lock()
	defer l.fake.mu.Unlock()
	l.fake.open--
}

func newPool(f *fake) *Pool {
	return &Pool{Server: declarer.Server{ID: "i"}, Dialer: f, Observer: f, Limit: 5, MinOpen: 1}
}

func ask(wait time.Duration) AcquireRequest {
	return AcquireRequest{Deadline: time.Now().Add(wait), Class: admitter.ClassRead}
}

// acquire gets a lease or ends the test.
func acquire(t *testing.T, p *Pool) *Lease {
	t.Helper()
	l, err := p.Acquire(ask(time.Second))
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// A server runs statements and their answers are lost, so that each takes as long as its
// caller waits. After that the last connection breaks. If nobody may wait since the next
// statement can't be expected to be faster, no connection is ever opened again, and the
// callers of this host are refused for good though the server is well.
func TestSlowTimesDoNotKeepPoolClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fake{limit: 16}
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
		l, err := p.Acquire(ask(500 * time.Millisecond))
		if err != nil {
			t.Fatal(err)
		}
		l.Release(false)
	})
}

// All of a host's connections are in long transactions, so that nobody is expected to get
// one in time. Those who are refused need another connection as much as those who wait.
func TestRefusedCallersHaveConnectionOpened(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fake{limit: 16}
		p := newPool(f)
		for range 40 {
			l := acquire(t, p)
			time.Sleep(800 * time.Millisecond)
			l.Release(false)
		}
		held := acquire(t, p)
		if _, err := p.Acquire(ask(500 * time.Millisecond)); !errors.Is(err, ErrRefused) {
			t.Fatalf("error %v", err)
		}
		time.Sleep(2 * opening)
		l, err := p.Acquire(ask(500 * time.Millisecond))
		if err != nil {
			t.Fatal(err)
		}
		l.Release(false)
		held.Release(false)
	})
}

// An answer comes four seconds late. The next callers of the server must get another
// connection meanwhile, and the wait for the late answer mustn't count as a time that
// statements take.
func TestRecoveryIsNoServiceTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fake{limit: 16, late: 4 * time.Second}
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
			t.Errorf("statements are taken to last %v", d)
		}
		if p.usable() != 2 || len(p.idle) != 2 {
			t.Errorf("%d usable connections, %d idle, want both of them", p.usable(), len(p.idle))
		}
	})
}

// A host comes to own a server's connections after it had two of its own. Kept to two, it
// would be the narrowest place of the whole group; and once another host owns them, what
// it has open beyond its share must go.
func TestResizedPool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fake{limit: 16}
		p := newPool(f)
		p.Limit = 1
		l := acquire(t, p)
		time.Sleep(200 * time.Millisecond) // so that another connection is worth it
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

// All hosts have started again and each has a backlog of callers. A host that opens as
// many connections as it has callers takes all that the server allows, and callers of
// the other hosts are refused until that host has no more use for them.
func TestBacklogOpensOneConnectionAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fake{limit: 16}
		p := newPool(f)
		var g sync.WaitGroup
		for range admitter.DefaultLength {
			g.Go(func() {
				l, err := p.Acquire(ask(10 * time.Second))
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

// A server is at its limit. Each attempt takes one of its slots, so a host that tries
// on and on slows down those that it serves.
func TestCrowdedServerIsLeftAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fake{}
		p := newPool(f)
		if _, err := p.Acquire(ask(2 * time.Second)); !errors.Is(err, ErrRefused) {
			t.Fatalf("error %v", err)
		}
		f.mu.Lock()
		if f.attempts < 2 || f.attempts > int(2*time.Second/(firstBackoff/2)) {
			t.Errorf("%d attempts in two seconds", f.attempts)
		}
		if f.unreachable > 0 {
			t.Error("a server at its limit counts as unreachable")
		}
		f.limit = 1
		f.mu.Unlock()
		acquire(t, p).Release(false)
		p.Close()
	})
}

// A server is gone. Whoever waits for a connection to it is told at once, as another
// server may do.
func TestUnreachableServerRefusesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fake{err: ErrNoRoute}
		p := newPool(f)
		began := time.Now()
		if _, err := p.Acquire(ask(time.Minute)); !errors.Is(err, ErrUnreachable) {
			t.Fatalf("error %v", err)
		}
		if d := time.Since(began); d > 2*opening {
			t.Errorf("refused after %s", d)
		}
		if f.unreachable != 1 {
			t.Errorf("told %d times", f.unreachable)
		}
	})
}

// A caller left in the middle of a transaction, or before its answer came. The next
// session on the connection would work in that transaction, or get that answer.
func TestReleaseBringsConnectionInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fake{limit: 1}
		p := newPool(f)
		l := acquire(t, p)
		x := l.Connection.(*link)
		x.owed, x.state = 2, declarer.StateTransaction
		l.Release(false)
		l = acquire(t, p)
		if l.Connection != x || x.owed != 0 || x.state != declarer.StateIdle || l.State != declarer.StateIdle {
			t.Errorf("lent with %d answers owed, state %d", x.owed, x.state)
		}
		if len(f.sent) != 1 || f.sent[0] != declarer.VerbRollback {
			t.Errorf("sent %v", f.sent)
		}
		x.state, x.err = declarer.StateTransaction, errors.New("broken")
		l.State = declarer.StateTransaction
		l.Release(false)
		if l = acquire(t, p); l.Connection == x {
			t.Error("a connection that can't be brought in order is lent again")
		}
		l.Release(false)
		p.Close()
	})
}

func TestEndedConnectionIsNotLent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fake{limit: 2}
		p := newPool(f)
		l := acquire(t, p)
		old := l.Connection.(*link)
		old.ended = true
		l.Release(false)
		time.Sleep(2 * suspectAfter)
		if l = acquire(t, p); l.Connection == old {
			t.Error("a connection that has ended is lent")
		}
		l.Release(false)
		p.Close()
	})
}

func TestTrimKeepsOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fake{limit: 4}
		p := newPool(f)
		p.queue.Slots = 1
		var l []*Lease
		var g sync.WaitGroup
		var mu sync.Mutex
		for range 3 {
			g.Go(func() {
				x, err := p.Acquire(ask(10 * time.Second))
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
		time.Sleep(2 * idleFor)
		p.Trim(time.Now())
		if f.open != 1 {
			t.Errorf("%d connections kept of %d", f.open, before)
		}
		p.Close()
		if f.open != 0 {
			t.Errorf("%d connections open after the end", f.open)
		}
	})
}

func TestClosedPoolRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool(&fake{limit: 1})
		l := acquire(t, p)
		done := make(chan error)
		go func() {
			_, err := p.Acquire(ask(time.Minute))
			done <- err
		}()
		synctest.Wait()
		p.Close()
		if err := <-done; !errors.Is(err, ErrClosed) {
			t.Errorf("error %v", err)
		}
		l.Release(false)
		if _, err := p.Acquire(ask(time.Second)); !errors.Is(err, ErrClosed) {
			t.Errorf("error %v", err)
		}
	})
}
