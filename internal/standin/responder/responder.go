// Package responder serves PostgreSQL protocol 3 for one stand-in backend server.
package responder

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/juju/errors"
	"golang.org/x/sync/semaphore"

	"github.com/cuminwick/cuminwick/internal/standin/executor"
	"github.com/cuminwick/cuminwick/internal/standin/injector"
	"github.com/cuminwick/cuminwick/internal/standin/replicator"
	"github.com/cuminwick/cuminwick/internal/standin/streamer"
)

// ControlApplicationName marks connections whose statements never wait for a slot.
const ControlApplicationName = "cuminwick-control"

// Server is one stand-in backend server.
type Server struct {
	// Name is the server's name in its group.
	Name string
	// SystemIdentifier is what the servers of one group share; not told if zero.
	SystemIdentifier uint64
	// Address is where it listens; port 0 picks one, see Addr.
	Address string
	// Slots is how many statements work at a time, no limit if zero.
	Slots int
	// MaximumConnections is how many connections are accepted, no limit if zero.
	MaximumConnections int
	// ConnectTime is what a new connection takes, ServiceTime what a statement takes in its slot.
	ConnectTime, ServiceTime time.Duration
	// Password is asked for by SCRAM-SHA-256, nothing is asked for if empty.
	Password string
	// Primary starts an empty server as the primary of term 1.
	Primary bool
	// Following is the primary that an empty server follows under term 1, if set.
	Following replicator.PrimaryServer
	// Dial opens connections to peers, plain TCP if nil.
	Dial streamer.Dial
	// AdminAddress serves faults and dumps over HTTP, nowhere if empty.
	AdminAddress string

	once               sync.Once
	ready              chan struct{}
	store              replicator.Store
	faults             injector.Faults
	parser             executor.Parser
	slots              *semaphore.Weighted
	currentConnections atomic.Int64
	openedConnections  atomic.Int64
	counters           statementCounters
	sessions           registry

	mutex       sync.Mutex
	address     string
	adminAddr   string
	stopServing context.CancelFunc
	// stopped is closed once nothing of the present life answers any more.
	stopped  chan struct{}
	restarts chan struct{}
	crashed  bool
}

func (s *Server) setUp() {
	s.once.Do(s.prepare)
}

func (s *Server) prepare() {
	s.ready = make(chan struct{})
	s.restarts = make(chan struct{}, 1)
	s.store.Name = s.Name
	s.address = s.Address
	if s.Slots > 0 {
		s.slots = semaphore.NewWeighted(int64(s.Slots))
	}
}

// Ready is closed when the server listens for the first time.
func (s *Server) Ready() <-chan struct{} {
	s.setUp()
	return s.ready
}

// Addr returns the address that the server listens on, final once Ready is closed.
func (s *Server) Addr() string {
	s.setUp()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.address
}

func (s *Server) setAddress(a string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.address = a
}

// AdminAddr returns the address of the HTTP side, final once Ready is closed.
func (s *Server) AdminAddr() string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.adminAddr
}

// Store returns the server's store, for tests and checkers in the same process.
func (s *Server) Store() *replicator.Store {
	s.setUp()
	return &s.store
}

// OpenedConnections counts the connections accepted so far, without replicas and cancels.
func (s *Server) OpenedConnections() int64 {
	return s.openedConnections.Load()
}

// Run serves until ctx ends; a crash ends what is open, and Restart begins anew with the log kept.
func (s *Server) Run(ctx context.Context) error {
	s.setUp()
	s.store.SystemIdentifier = s.SystemIdentifier
	p, err := s.reserve(ctx)
	if err != nil {
		return errors.Annotatef(err, "reserve the port of backend server %s", s.Name)
	}
	defer p.release()
	s.setAddress(p.address)
	if s.Primary {
		s.store.Start(1)
	} else if s.Following != (replicator.PrimaryServer{}) {
		if _, err := s.store.Follow(1, s.Following, time.Now()); err != nil {
			return err
		}
	}
	if err := s.serveAdmin(ctx); err != nil {
		return err
	}
	for {
		err := s.serveUntilCrash(ctx)
		if err != nil || ctx.Err() != nil {
			return err
		}
		select {
		case <-s.restarts:
		case <-ctx.Done():
			return nil
		}
	}
}

// serveUntilCrash serves from one start to the next crash.
func (s *Server) serveUntilCrash(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	l, err := s.listen(ctx)
	if err != nil {
		return errors.Annotatef(err, "listen for backend server %s", s.Name)
	}
	e := make(chan struct{})
	defer close(e)
	s.mutex.Lock()
	s.address = l.Addr().String()
	s.stopServing = stop
	s.stopped = e
	s.crashed = false
	s.mutex.Unlock()
	s.announceReady()
	var w sync.WaitGroup
	w.Go(func() { s.loopAccept(ctx, l, &w) })
	p := &streamer.Puller{Store: &s.store, Faults: &s.faults, Dial: s.Dial, Truncated: s.dropSessions}
	w.Go(func() { p.Run(ctx) })
	<-ctx.Done()
	l.Close()
	w.Wait()
	return nil
}

// A port may not be free at once: a process that was just killed had it, or a crashed
// life of this server. The server gives up after a second.
const (
	portAttempts   = 50
	portRetryDelay = 20 * time.Millisecond
)

// reserve keeps the server's port for as long as it runs.
func (s *Server) reserve(ctx context.Context) (*reservation, error) {
	return retryPort(ctx, func() (*reservation, error) { return reserve(s.Address) })
}

// listen listens on the reserved port.
func (s *Server) listen(ctx context.Context) (net.Listener, error) {
	var c net.ListenConfig
	return retryPort(ctx, func() (net.Listener, error) { return c.Listen(ctx, "tcp", s.Addr()) })
}

// retryPort calls f until it succeeds, the attempts are used up or ctx ends.
func retryPort[T any](ctx context.Context, f func() (T, error)) (T, error) {
	for i := 0; ; i++ {
		v, err := f()
		if err == nil || i == portAttempts || ctx.Err() != nil {
			return v, err
		}
		time.Sleep(portRetryDelay)
	}
}

func (s *Server) announceReady() {
	select {
	case <-s.ready:
	default:
		close(s.ready)
	}
}

func (s *Server) loopAccept(ctx context.Context, l net.Listener, w *sync.WaitGroup) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		n := &connection{server: s, conn: c}
		w.Go(func() { n.run(ctx) })
	}
}

// dropSessions ends all callers' connections, as a server does that throws away part of its log.
//
// Otherwise a caller could ask for the log's position after its commit was
// dropped, and would take the new log's position for that of its commit. Control
// connections hold nothing of the log; closed, the one that told the server to
// follow another primary could lose its answer.
func (s *Server) dropSessions() {
	s.sessions.closeClients()
}

// serveAdmin starts the HTTP side, which ends with ctx.
func (s *Server) serveAdmin(ctx context.Context) error {
	if s.AdminAddress == "" {
		return nil
	}
	var c net.ListenConfig
	l, err := c.Listen(ctx, "tcp", s.AdminAddress)
	if err != nil {
		return errors.Annotatef(err, "listen for admin of %s", s.Name)
	}
	s.mutex.Lock()
	s.adminAddr = l.Addr().String()
	s.mutex.Unlock()
	h := &http.Server{Handler: s.Handler(), ReadHeaderTimeout: time.Second}
	go s.runAdmin(h, l)
	context.AfterFunc(ctx, func() { closeAdmin(h) })
	return nil
}

// closeAdmin ends the HTTP side; its listener and connections are of no use any more.
func closeAdmin(h *http.Server) {
	_ = h.Close()
}

func (s *Server) runAdmin(h *http.Server, l net.Listener) {
	err := h.Serve(l)
	if !errors.Is(err, http.ErrServerClosed) {
		log.WithField("backend-server", s.Name).WithError(err).Error("serve admin")
	}
}
