package runner

import (
	"net"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/proxy/executor"
)

// acceptor takes callers.
type acceptor struct {
	host     *Host
	listener net.Listener
}

// acceptPause is waited after a failed accept, such as for want of descriptors.
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

func (h *Host) serve(c net.Conn) {
	s := &executor.Session{Caller: h.NewCaller(c), Board: h.Board, Pools: &h.pools, Observer: &h.observer, RetryBudgets: &h.budgets, Reporter: h.Reporter, Ready: h.ready}
	h.mu.Lock()
	h.sessions[s] = struct{}{}
	h.mu.Unlock()
	go (&service{host: h, session: s}).run()
}

// service is one session that is being served.
type service struct {
	host    *Host
	session *executor.Session
}

func (s *service) run() {
	defer s.host.forget(s.session)
	s.session.Run()
}

func (h *Host) forget(s *executor.Session) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.sessions, s)
}

// SessionCount returns how many sessions are served.
func (h *Host) SessionCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.sessions)
}

func (h *Host) each(f func(*executor.Session)) {
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
