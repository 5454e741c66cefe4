// Package responder implements one stand-in backend server that speaks version 3 of the PostgreSQL
// protocol.
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

// ControlApplicationName is the application_name of control connections, whose statements never wait
// for a slot.
const ControlApplicationName = "cuminwick-control"

// Server is one stand-in backend server. Its exported fields are set before Run.
type Server struct {
	// Name is the server's name in its group.
	Name string
	// SystemIdentifier is shared by the servers of a group; not reported if zero.
	SystemIdentifier uint64
	// Address is the listening address; port 0 selects a free port, see Addr.
	Address string
	// Slots limits the statements that are executed at the same time, no limit if zero.
	Slots int
	// MaximumConnections limits the open client connections, no limit if zero.
	MaximumConnections int
	// ConnectTime is the delay of each new connection, ServiceTime the time that each statement
	// occupies its slot before it is executed.
	ConnectTime, ServiceTime time.Duration
	// Password is checked by SCRAM-SHA-256 for every user; no authentication if empty.
	Password string
	// Primary says that the server, which is empty, starts as primary of term 1.
	Primary bool
	// Following is the primary that the server follows under term 1 at its start, none if zero.
	Following replicator.PrimaryServer
	// Dial opens connections to peers, plain TCP if nil.
	Dial streamer.Dial
	// AdminAddress is the listening address for faults and dumps over HTTP, none if empty.
	AdminAddress string

	once               sync.Once
	ready              chan struct{}
	store              replicator.Store
	faults             injector.Faults
	parser             executor.Parser
	slots              *semaphore.Weighted
	currentConnections atomic.Int64
	openedConnections  atomic.Int64
	// answers counts the writes of answers while some are repeated, repeated those that were repeated.
	answers, repeated atomic.Int64
	counters          statementCounters
	sessions          registry

	mutex       sync.Mutex
	address     string
	adminAddr   string
	stopServing context.CancelFunc
	// stopped is closed once nothing is answered after a crash. It is replaced at each start.
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

// Ready returns a channel that is closed when the server listens for the first time.
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

// AdminAddr returns the address of the admin listener, final once Ready is closed.
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

// OpenedConnections returns the number of client connections accepted so far, without replication
// streams, cancel requests and connections above the limit.
func (s *Server) OpenedConnections() int64 {
	return s.openedConnections.Load()
}

// Run serves until ctx ends. After a crash it waits for Restart and serves again with the log kept.
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

// serveUntilCrash listens and serves until the next crash or until ctx ends.
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

// A port may not be free at once, because a process that was just killed or this server before its
// crash used it. The server gives up after one second.
const (
	portAttempts   = 50
	portRetryDelay = 20 * time.Millisecond
)

// reserve reserves the server's port.
func (s *Server) reserve(ctx context.Context) (*reservation, error) {
	return retryPort(ctx, func() (*reservation, error) { return reserve(s.Address) })
}

// listen listens on the reserved port.
func (s *Server) listen(ctx context.Context) (net.Listener, error) {
	var c net.ListenConfig
	return retryPort(ctx, func() (net.Listener, error) { return c.Listen(ctx, "tcp", s.Addr()) })
}

// retryPort calls f until it succeeds, all attempts have failed or ctx ends.
func retryPort[T any](ctx context.Context, f func() (T, error)) (T, error) {
	for i := 0; ; i++ {
		v, err := f()
		if err == nil || i == portAttempts || ctx.Err() != nil {
			return v, err
		}
		time.Sleep(portRetryDelay)
	}
}

// announceReady closes the channel of Ready on the first start.
func (s *Server) announceReady() {
	select {
	case <-s.ready:
	default:
		close(s.ready)
	}
}

// loopAccept serves each connection in a goroutine of w.
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

// dropSessions closes all client connections, as a server does that truncates its log.
//
// Otherwise a client could ask for the log's position after its commit was dropped, and would take the
// position in the new log for that of its commit. Control connections stay open, because they do not
// depend on the log and the call that made the server follow another primary still needs its answer.
func (s *Server) dropSessions() {
	s.sessions.closeClients()
}

// serveAdmin starts the admin listener, which is closed when ctx ends.
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

// closeAdmin closes the admin listener and its connections. An error is ignored, because neither is
// used afterwards.
func closeAdmin(h *http.Server) {
	_ = h.Close()
}

// runAdmin serves the admin listener until it is closed.
func (s *Server) runAdmin(h *http.Server, l net.Listener) {
	err := h.Serve(l)
	if !errors.Is(err, http.ErrServerClosed) {
		log.WithField("backend-server", s.Name).WithError(err).Error("serve admin")
	}
}
