// Package listener accepts callers' connections and keeps their sessions.
package listener

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/caller/greeter"
	"github.com/cuminwick/cuminwick/internal/caller/server"
	"github.com/cuminwick/cuminwick/internal/cancel/matcher"
)

// Authenticator proves who a caller is before its session starts.
type Authenticator interface {
	// Authenticate talks to the caller on n and returns an error that the
	// caller has been told nothing of yet.
	Authenticate(ctx context.Context, n net.Conn, parameters map[string]string) error
}

// Canceller passes a cancel request on to the entry host that holds the session.
type Canceller interface {
	ForwardCancel(ctx context.Context, k greeter.CancelKey)
}

// SessionFactory makes a session for an authenticated caller.
type SessionFactory interface {
	NewSession(g greeter.StartupRequest, k greeter.CancelKey) (*server.Session, error)
}

// Listener accepts callers. The exported fields are set before Run.
type Listener struct {
	NetListener net.Listener
	TLS         func() *tls.Config
	// Authenticator is nil where every caller is trusted.
	Authenticator Authenticator
	// OnLogin, if set, is told how each login ended.
	OnLogin          func(err error)
	Canceller        Canceller
	SessionFactory   SessionFactory
	HandshakeTimeout time.Duration
	// MaximumConnections bounds callers and handshakes together.
	MaximumConnections int
	// HostID is put into cancel keys, so that any entry host can find this one.
	HostID matcher.HostID
	Log    log.Interface

	mu       sync.Mutex
	sessions map[greeter.CancelKey]*server.Session
	next     atomic.Uint32
	open     atomic.Int64
	group    sync.WaitGroup
	draining atomic.Bool
}

// Run accepts callers until ctx ends or the network listener is closed.
func (l *Listener) Run(ctx context.Context) error {
	l.mu.Lock()
	l.sessions = make(map[greeter.CancelKey]*server.Session)
	l.mu.Unlock()
	stop := context.AfterFunc(ctx, func() { l.NetListener.Close() })
	defer stop()
	for {
		n, err := l.NetListener.Accept()
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			l.Log.WithError(err).WithField("step", "accept").Error("caller not accepted")
			time.Sleep(acceptPause)
			continue
		}
		c := &connection{listener: l, conn: n}
		l.group.Add(1)
		l.open.Add(1)
		go c.run(ctx)
	}
}

// acceptPause keeps a host that has run out of file descriptors from spinning.
const acceptPause = 10 * time.Millisecond

// ConnectionCount returns how many callers are connected.
func (l *Listener) ConnectionCount() int {
	return int(l.open.Load())
}

// Cancel cancels the request of the session with this key, if it is held here.
func (l *Listener) Cancel(k greeter.CancelKey) bool {
	l.mu.Lock()
	s := l.sessions[k]
	l.mu.Unlock()
	if s == nil {
		return false
	}
	s.Cancel()
	return true
}

// Drain refuses new callers and lets each session end at its next idle moment.
// It returns when all have ended or ctx does; then the rest are closed.
func (l *Listener) Drain(ctx context.Context) int {
	l.draining.Store(true)
	l.NetListener.Close()
	for _, s := range l.all() {
		s.Drain()
	}
	done := make(chan struct{})
	w := &waiter{group: &l.group, done: done}
	go w.run()
	select {
	case <-done:
		return 0
	case <-ctx.Done():
	}
	rest := l.all()
	for _, s := range rest {
		s.Close()
	}
	return len(rest)
}

// waiter turns the end of all connections into a closed channel.
type waiter struct {
	group *sync.WaitGroup
	done  chan struct{}
}

func (w *waiter) run() {
	w.group.Wait()
	close(w.done)
}

func (l *Listener) all() []*server.Session {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := make([]*server.Session, 0, len(l.sessions))
	for _, s := range l.sessions {
		r = append(r, s)
	}
	return r
}

// SessionCount returns how many callers are connected.
func (l *Listener) SessionCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.sessions)
}

// key makes the cancel key of a new session. Two sessions of this host never
// share one, as the key is looked up whole and has a random part.
func (l *Listener) key() greeter.CancelKey {
	var b [4]byte
	// crypto/rand.Read never fails.
	_, _ = rand.Read(b[:])
	k := matcher.NewKey(l.HostID, l.next.Add(1), binary.BigEndian.Uint32(b[:]))
	return greeter.CancelKey{ProcessID: k.ProcessID, SecretKey: k.Secret}
}

func (l *Listener) add(k greeter.CancelKey, s *server.Session) {
	l.mu.Lock()
	l.sessions[k] = s
	l.mu.Unlock()
	if l.draining.Load() {
		s.Drain()
	}
}

func (l *Listener) remove(k greeter.CancelKey) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.sessions, k)
}
