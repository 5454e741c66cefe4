// Package commander calls the control functions of one backend server over a reserved connection.
package commander

import (
	"context"
	"io"
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/backend/controller"
	"github.com/cuminwick/cuminwick/internal/group/marker"
)

// ApplicationName is the application_name of the reserved connection. Its statements never wait for
// a slot.
const ApplicationName = "cuminwick-control"

// defaultTimeout bounds a command whose caller set no earlier deadline.
const defaultTimeout = 2 * time.Second

// defaultPollTimeout bounds a poll, also one whose callers have all given up. A kept connection
// that doesn't respond within this time is dropped. With a longer timeout, polls would fail
// repeatedly before a new connection is tried, and a healthy primary would be considered lost.
const defaultPollTimeout = 150 * time.Millisecond

// connectTimeout bounds an attempt to connect for a poll.
const connectTimeout = time.Second

// Client calls the control functions of one backend server. It implements controller.Control and
// may be used by many goroutines. The exported fields are set before use.
type Client struct {
	// Name is the backend server's name. The server must report the same name.
	Name string
	// Address is the server's host:port.
	Address string
	// User and Password are the credentials of the control role.
	User, Password string
	// Database is the database to connect to, the one named like User if empty.
	Database string
	// Timeout bounds each call. Zero means 150 ms for a status and 2 s for a command.
	Timeout time.Duration
	// Dial opens connections, plain TCP if nil.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	// semaphore has capacity 1. The call that uses the connection holds its element.
	semaphore  chan struct{}
	once       sync.Once
	connection *pgconn.PgConn
	// cachedConfig is the result of config, nil before its first call.
	cachedConfig *pgconn.Config
	// columns describes the status row. It is nil unless statusQuery is the unnamed prepared
	// statement of connection.
	columns []pgconn.FieldDescription
	// identifier is the system identifier that the server reported first, zero before that.
	identifier uint64
	// calls counts the calls on all connections. It wraps around.
	calls uint8
	// verified reports whether verify has succeeded on connection.
	verified bool
	// lostProcessID is the process ID of the session on a connection that stopped responding, zero
	// if there is none.
	lostProcessID uint32

	mutex sync.Mutex
	// next is the poll that new callers join, nil if there is none. It hasn't started yet.
	next *poll
	// polling reports whether pollLoop is running. A send on wake starts its next poll.
	polling bool
	wake    chan struct{}
}

var _ controller.Control = (*Client)(nil)

// poll is one status call whose result is shared by all callers that joined it.
type poll struct {
	done   chan struct{}
	status controller.Status
	err    error
}

func (c *Client) initialize() {
	c.once.Do(c.makeChannels)
}

func (c *Client) makeChannels() {
	c.semaphore = make(chan struct{}, 1)
	c.wake = make(chan struct{}, 1)
}

// Status returns the server's current state.
//
// Concurrent callers share a poll that starts after all of their calls. A poll that is already
// running could report a position from before a caller's own write.
//
// If the connection is idle, the poll runs in the caller's goroutine. Passing the call to pollLoop
// and the result back would take two more goroutine wake-ups, a sixth of the duration of a poll of
// a nearby server.
func (c *Client) Status(ctx context.Context) (controller.Status, error) {
	c.initialize()
	if c.tryAcquireForPoll(ctx) {
		defer c.release()
		return c.poll()
	}
	p := c.joinPoll()
	select {
	case <-p.done:
		return p.status, p.err
	case <-ctx.Done():
		return controller.Status{}, errors.Annotatef(ctx.Err(), "ask backend server %s for status", c.Name)
	}
}

// deadlineSlack is how much a caller's remaining time may fall short of the poll timeout in
// tryAcquireForPoll.
const deadlineSlack = 10 * time.Millisecond

// tryAcquireForPoll acquires the connection for a poll in the caller's goroutine. It returns false
// if the connection is closed or in use, if a poll is pending, because the caller joins that one,
// and if the poll could run past the caller's deadline: a caller with little time left, such as a
// request from another entry host, would wait for the end of the poll.
func (c *Client) tryAcquireForPoll(ctx context.Context) bool {
	t, ok := ctx.Deadline()
	if !ok || time.Until(t) < c.timeout(defaultPollTimeout)-deadlineSlack || !c.tryAcquire() {
		return false
	}
	if c.connection == nil || c.connection.IsClosed() {
		c.release()
		return false
	}
	return true
}

// tryAcquire acquires the connection unless it is in use or a poll is pending.
func (c *Client) tryAcquire() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.next != nil {
		return false
	}
	select {
	case c.semaphore <- struct{}{}:
		return true
	default:
		return false
	}
}

// joinPoll returns the pending poll. If there is none, it creates one and has pollLoop run it.
func (c *Client) joinPoll() *poll {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.next != nil {
		return c.next
	}
	c.next = &poll{done: make(chan struct{})}
	if c.polling {
		c.wake <- struct{}{}
		return c.next
	}
	c.polling = true
	go c.pollLoop()
	return c.next
}

// pollIdleTimeout is how long pollLoop waits for the next poll before it ends. It is longer than
// the interval between two polls of an idle group.
const pollIdleTimeout = time.Second

// pollLoop runs polls until none is requested for pollIdleTimeout. With one goroutine per poll,
// growing its stack took a third of the processor time of a poll.
func (c *Client) pollLoop() {
	t := time.NewTimer(pollIdleTimeout)
	defer t.Stop()
	for {
		c.runPoll()
		t.Reset(pollIdleTimeout)
		select {
		case <-c.wake:
		case <-t.C:
			if c.tryStopPolling() {
				return
			}
		}
	}
}

// tryStopPolling reports whether pollLoop may end. If a poll has been created in the meantime,
// pollLoop must continue, because the callers of that poll would wait forever.
func (c *Client) tryStopPolling() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.next != nil {
		<-c.wake
		return false
	}
	c.polling = false
	return true
}

// runPoll waits for the connection, takes the pending poll, so that no further callers join it, and
// runs it.
func (c *Client) runPoll() {
	c.semaphore <- struct{}{}
	defer c.release()
	p := c.takeNext()
	p.status, p.err = c.poll()
	close(p.done)
}

// takeNext returns the pending poll and resets next, so that new callers start another one.
func (c *Client) takeNext() *poll {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	p := c.next
	c.next = nil
	return p
}

// poll connects if necessary and queries the status. Connecting has a timeout of its own: over a
// slow network or on a busy host, a login takes longer than the timeout of a poll, and if each poll
// restarted the login, the server would never be reached.
func (c *Client) poll() (controller.Status, error) {
	if err := c.connectForPoll(); err != nil {
		return controller.Status{}, err
	}
	ctx, stop := context.WithTimeout(context.Background(), c.timeout(defaultPollTimeout))
	defer stop()
	return c.queryStatus(ctx)
}

// connectForPoll opens a connection unless there is one.
func (c *Client) connectForPoll() error {
	if c.connection != nil && !c.connection.IsClosed() {
		return nil
	}
	x, end := context.WithTimeout(context.Background(), connectTimeout)
	defer end()
	return c.connect(x)
}

func (c *Client) release() {
	<-c.semaphore
}

func (c *Client) timeout(fallback time.Duration) time.Duration {
	if c.Timeout > 0 {
		return c.Timeout
	}
	return fallback
}

// RaiseTerm makes the server refuse writes and replication under terms lower than t.
func (c *Client) RaiseTerm(ctx context.Context, t marker.Term) (controller.Status, error) {
	return c.command(ctx, selectCall+"cuminwick_raise_term("+formatTerm(t)+")")
}

// Promote makes the server the primary of t, its accepted term.
func (c *Client) Promote(ctx context.Context, t marker.Term) (controller.Status, error) {
	return c.command(ctx, selectCall+"cuminwick_promote("+formatTerm(t)+")")
}

// Follow makes the server a replica of the named server under term t.
func (c *Client) Follow(ctx context.Context, t marker.Term, backendServer, address string) (controller.Status, error) {
	return c.command(ctx, selectCall+"cuminwick_follow("+formatTerm(t)+", $2, $3)", backendServer, address)
}

func formatTerm(t marker.Term) string {
	return strconv.FormatUint(uint64(t), 10)
}

// command waits for the connection and makes one call that changes the server.
func (c *Client) command(ctx context.Context, sql string, args ...string) (controller.Status, error) {
	c.initialize()
	ctx, stop := context.WithTimeout(ctx, c.timeout(defaultTimeout))
	defer stop()
	select {
	case c.semaphore <- struct{}{}:
		defer c.release()
	case <-ctx.Done():
		return controller.Status{}, errors.Annotatef(ctx.Err(), "wait to command backend server %s", c.Name)
	}
	return c.runCommand(ctx, sql, args)
}

// dropBroken closes the connection unless err is an error response of the server.
func (c *Client) dropBroken(err error) {
	var p *pgconn.PgError
	if errors.As(err, &p) && !c.connection.IsClosed() {
		return
	}
	if pgconn.Timeout(err) {
		c.lostProcessID = c.connection.PID()
	}
	ctx, stop := context.WithCancel(context.Background())
	stop()
	// The error is ignored because the connection is broken already.
	_ = c.connection.Close(ctx)
	c.connection = nil
	c.columns = nil
}

func (c *Client) connect(ctx context.Context) error {
	if c.connection != nil && !c.connection.IsClosed() {
		return nil
	}
	f, err := c.config()
	if err != nil {
		return err
	}
	n, err := pgconn.ConnectConfig(ctx, f)
	if err != nil {
		return errors.Annotatef(classifyDialError(err), "dial backend server %s at %s", c.Name, c.Address)
	}
	c.connection = n
	c.columns = nil
	c.verified = false
	return nil
}

// classifyDialError adds controller.ErrRefused to an error that shows that the server's machine
// responded but the server didn't.
func classifyDialError(err error) error {
	refused := errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
	if refused || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return errors.WithType(err, controller.ErrRefused)
	}
	return err
}

// terminateLost ends the server's session of a connection that stopped responding. The server may
// not have noticed the loss and would count the session forever, until no connection is left for
// control. It is called only after verify has succeeded, because at another server the process ID
// belongs to an unrelated session. The query replaces the unnamed prepared statement.
func (c *Client) terminateLost(ctx context.Context) {
	if c.lostProcessID == 0 {
		return
	}
	c.columns = nil
	q := "SELECT pg_terminate_backend(" + strconv.FormatUint(uint64(c.lostProcessID), 10) + ")"
	if _, err := c.connection.Exec(ctx, q).ReadAll(); err == nil {
		c.lostProcessID = 0
	}
}

// config returns the connection settings. They are computed once, because pgconn.ParseConfig reads
// the environment and files, and every entry host reconnects repeatedly when a server ends.
func (c *Client) config() (*pgconn.Config, error) {
	if c.cachedConfig != nil {
		return c.cachedConfig, nil
	}
	h, p, err := net.SplitHostPort(c.Address)
	if err != nil {
		return nil, errors.Annotatef(err, "address of backend server %s", c.Name)
	}
	n, err := strconv.ParseUint(p, 10, 16)
	if err != nil {
		return nil, errors.Annotatef(err, "port of backend server %s", c.Name)
	}
	f, err := pgconn.ParseConfig("sslmode=disable")
	if err != nil {
		return nil, errors.Annotate(err, "make control connection's settings")
	}
	f.Host, f.Port = h, uint16(n)
	f.User, f.Password, f.Database = c.User, c.Password, c.Database
	f.Fallbacks = nil
	f.RuntimeParams = map[string]string{"application_name": ApplicationName}
	if c.Dial != nil {
		f.DialFunc = c.Dial
	}
	c.cachedConfig = f
	return f, nil
}

// Close closes the connection. The next call opens a new one.
func (c *Client) Close(ctx context.Context) error {
	c.initialize()
	select {
	case c.semaphore <- struct{}{}:
		defer c.release()
	case <-ctx.Done():
		return ctx.Err()
	}
	if c.connection == nil {
		return nil
	}
	err := c.connection.Close(ctx)
	c.connection = nil
	c.columns = nil
	return errors.Annotatef(err, "close control connection to %s", c.Name)
}
