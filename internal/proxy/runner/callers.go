package runner

import (
	"net"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/proxy/executor"
)

// acceptor accepts callers' connections and starts a session for each.
type acceptor struct {
	host     *Host
	listener net.Listener
}

// acceptPause is the pause after a failed accept, for example when the process has run out of
// file descriptors.
const acceptPause = 10 * time.Millisecond

func (a *acceptor) run() {
	for {
		c, err := a.listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			a.host.Log.WithError(err).Warn("caller not accepted")
			time.Sleep(acceptPause)
		default:
			a.host.serve(c)
		}
	}
}

// serve starts a session on the connection, which it closes if the host is about to end.
func (h *Host) serve(c net.Conn) {
	if !h.work.Begin() {
		c.Close()
		return
	}
	s := &executor.Session{Caller: h.NewCaller(c), Board: h.Board, Pools: &h.pools, Observer: &h.observer, RetryBudgets: &h.budgets, KeyWaits: &h.keyWaits, Limiter: &h.quotas, Reporter: h.Reporter, Ready: h.ready, KeysConfirmed: h.keysConfirmed, StopTimes: h.stopTimes, OnEnd: h.OnSessionEnd}
	h.mu.Lock()
	h.sessions[s] = struct{}{}
	h.mu.Unlock()
	if h.stopping.Load() != nil {
		h.acceptedWhileDraining.Add(1)
	}
	go (&sessionServer{host: h, session: s}).run()
}

// sessionServer runs one session and removes it from the host when it ends.
type sessionServer struct {
	host    *Host
	session *executor.Session
}

func (s *sessionServer) run() {
	defer s.host.removeSession(s.session)
	s.session.Run()
}

func (h *Host) removeSession(s *executor.Session) {
	defer h.work.End()
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.sessions, s)
}

// SessionCount returns the number of running sessions.
func (h *Host) SessionCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.sessions)
}

// busySessionCount returns the number of sessions that run a statement or have an open transaction.
func (h *Host) busySessionCount() int {
	n := 0
	h.forEachSession(func(s *executor.Session) {
		if !s.Idle() {
			n++
		}
	})
	return n
}

// forEachSession calls f with each session, without holding the mutex.
func (h *Host) forEachSession(f func(*executor.Session)) {
	h.mu.Lock()
	l := make([]*executor.Session, 0, len(h.sessions))
	for s := range h.sessions {
		l = append(l, s)
	}
	h.mu.Unlock()
	for _, s := range l {
		f(s)
	}
}
