// Package listener accepts callers' connections and holds their sessions.
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

// Authenticator authenticates a caller before its session starts.
type Authenticator interface {
	// Authenticate exchanges the authentication messages with the caller over n, except for the last
	// one. If it returns an error, the caller hasn't received an error message yet.
	Authenticate(ctx context.Context, n net.Conn, parameters map[string]string) error
}

// Canceller forwards cancel requests for sessions of other entry hosts.
type Canceller interface {
	// ForwardCancel forwards the key to the entry host that holds the session.
	ForwardCancel(ctx context.Context, k greeter.CancelKey)
}

// SessionFactory creates the sessions of authenticated callers.
type SessionFactory interface {
	// NewSession returns a session that isn't prepared yet. Its error is sent to the caller as an
	// unknown database.
	NewSession(g greeter.StartupRequest, k greeter.CancelKey) (*server.Session, error)
}

// Listener accepts callers' connections and serves them. The exported fields are set before Run.
type Listener struct {
	NetListener net.Listener
	// TLS returns the configuration for a new connection. If TLS or its result is nil, callers can't
	// encrypt their connections.
	TLS func() *tls.Config
	// Authenticator is nil if all callers are trusted.
	Authenticator Authenticator
	// OnLogin, if set, is called with the result of each login, nil for a success.
	OnLogin func(err error)
	// Canceller is nil for an entry host without peers.
	Canceller        Canceller
	SessionFactory   SessionFactory
	HandshakeTimeout time.Duration
	// MaximumConnections bounds the connected callers, including those in the handshake.
	MaximumConnections int
	// HostID is part of the cancel keys, so that any entry host can forward a cancel request to this
	// one.
	HostID matcher.HostID
	Log    log.Interface

	mu       sync.Mutex
	sessions map[greeter.CancelKey]*server.Session
	// lastSession is the number of the last session, which is part of its cancel key.
	lastSession     atomic.Uint32
	openConnections atomic.Int64
	connectionGroup sync.WaitGroup
	draining        atomic.Bool
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
		l.connectionGroup.Add(1)
		l.openConnections.Add(1)
		go c.run(ctx)
	}
}

// acceptPause is the pause after a failed accept. Without it, a host that has run out of file
// descriptors would retry in a busy loop.
const acceptPause = 10 * time.Millisecond

// ConnectionCount returns the number of connected callers, including those in the handshake.
func (l *Listener) ConnectionCount() int {
	return int(l.openConnections.Load())
}

// Cancel cancels the request of the session with this key. It reports whether this host holds the
// session.
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

// Drain refuses new callers and ends each session as soon as it is idle. It returns when all
// connections have ended. When ctx ends before that, it closes the remaining sessions and returns
// their number.
func (l *Listener) Drain(ctx context.Context) int {
	l.draining.Store(true)
	l.NetListener.Close()
	for _, s := range l.allSessions() {
		s.Drain()
	}
	done := make(chan struct{})
	w := &waiter{group: &l.connectionGroup, done: done}
	go w.run()
	select {
	case <-done:
		return 0
	case <-ctx.Done():
	}
	rest := l.allSessions()
	for _, s := range rest {
		s.Close()
	}
	return len(rest)
}

// waiter closes done when all connections have ended.
type waiter struct {
	group *sync.WaitGroup
	done  chan struct{}
}

func (w *waiter) run() {
	w.group.Wait()
	close(w.done)
}

func (l *Listener) allSessions() []*server.Session {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := make([]*server.Session, 0, len(l.sessions))
	for _, s := range l.sessions {
		r = append(r, s)
	}
	return r
}

// SessionCount returns the number of sessions, without connections in the handshake.
func (l *Listener) SessionCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.sessions)
}

// newKey returns the cancel key of a new session. Two sessions of this host never share a key: the
// key is looked up as a whole, and part of it is random.
func (l *Listener) newKey() greeter.CancelKey {
	var b [4]byte
	// crypto/rand.Read never fails.
	_, _ = rand.Read(b[:])
	k := matcher.NewKey(l.HostID, l.lastSession.Add(1), binary.BigEndian.Uint32(b[:]))
	return greeter.CancelKey{ProcessID: k.ProcessID, SecretKey: k.Secret}
}

// addSession adds a session. If the host is draining already, it drains the session.
func (l *Listener) addSession(k greeter.CancelKey, s *server.Session) {
	l.mu.Lock()
	l.sessions[k] = s
	l.mu.Unlock()
	if l.draining.Load() {
		s.Drain()
	}
}

func (l *Listener) removeSession(k greeter.CancelKey) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.sessions, k)
}
