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

// ApplicationName marks the reserved connection; its statements never wait for a slot.
const ApplicationName = "cuminwick-control"

const statusCall = "SELECT * FROM cuminwick_status()"

// defaultTimeout bounds a command whose caller set no sooner end.
const defaultTimeout = 2 * time.Second

// defaultPollTimeout bounds a poll, also one that no caller waits for any more.
// A kept connection that has gone silent is dropped after it. If that took longer,
// polls would fail in a row without a fresh connection having been tried, and a
// healthy primary would count as lost.
const defaultPollTimeout = 150 * time.Millisecond

// connectTimeout bounds an attempt to connect for a poll.
const connectTimeout = time.Second

// Client calls one backend server. It implements controller.Control and is used by many goroutines.
type Client struct {
	// Name is the backend server's name, for errors.
	Name string
	// Address is its host and port.
	Address string
	// User and Password are those of the control role.
	User, Password string
	// Database is named at the connection's start, the user's name if empty.
	Database string
	// Timeout bounds one call; if zero, 150 ms for a status and 2 s for a command.
	Timeout time.Duration
	// Dial opens connections, plain TCP if nil.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	// turn is held by the one call that uses the connection.
	turn       chan struct{}
	once       sync.Once
	connection *pgconn.PgConn
	// prepared is what connections are opened with, nil until the first one.
	prepared *pgconn.Config
	// columns are those of the status row, nil until connection has asked for it once.
	columns []pgconn.FieldDescription
	// identifier is the system identifier that the server told first, zero until then.
	identifier uint64
	// verified says that connection has shown that it leads to the right server.
	verified bool
	// lost is the process id of a connection that stopped answering, zero if none.
	lost uint32

	mutex sync.Mutex
	// next is the poll that callers from now on wait for; it hasn't started yet.
	next *poll
	// polling says that loopPoll runs; wanted wakes it.
	polling bool
	wanted  chan struct{}
}

var _ controller.Control = (*Client)(nil)

// poll is one status call whose result its waiters share.
type poll struct {
	done   chan struct{}
	status controller.Status
	err    error
}

func (c *Client) setUp() {
	c.once.Do(c.prepare)
}

func (c *Client) prepare() {
	c.turn = make(chan struct{}, 1)
	c.wanted = make(chan struct{}, 1)
}

// Status asks the server for its present state.
//
// Callers that wait at the same time share a poll that starts after all of
// their calls: one that was already under way could report a position from
// before a caller's own write.
//
// A caller that finds the connection free polls by itself. Handing the call over
// to loopPoll and the answer back would cost two more wake-ups, which is a sixth of
// the time of a poll on a near server.
func (c *Client) Status(ctx context.Context) (controller.Status, error) {
	c.setUp()
	if c.claim(ctx) {
		defer c.release()
		return c.poll()
	}
	p := c.join()
	select {
	case <-p.done:
		return p.status, p.err
	case <-ctx.Done():
		return controller.Status{}, errors.Annotatef(ctx.Err(), "ask backend server %s for status", c.Name)
	}
}

// claimSlack is how much sooner than a poll its caller's time may end.
const claimSlack = 10 * time.Millisecond

// claim takes the connection for a poll in the caller's goroutine. It does so only
// where nobody waits for a poll, as that one counts for the caller too, and where
// the poll ends by the caller's deadline: else a caller whose time is over, as
// that of another entry host's question, would wait for the poll's end.
func (c *Client) claim(ctx context.Context) bool {
	t, ok := ctx.Deadline()
	if !ok || time.Until(t) < c.timeout(defaultPollTimeout)-claimSlack || !c.free() {
		return false
	}
	if c.connection == nil || c.connection.IsClosed() {
		c.release()
		return false
	}
	return true
}

// free takes the turn if nobody has it or waits for it.
func (c *Client) free() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.next != nil {
		return false
	}
	select {
	case c.turn <- struct{}{}:
		return true
	default:
		return false
	}
}

// join returns the poll that hasn't started, and sees to it that there is one.
func (c *Client) join() *poll {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.next != nil {
		return c.next
	}
	c.next = &poll{done: make(chan struct{})}
	if c.polling {
		c.wanted <- struct{}{}
		return c.next
	}
	c.polling = true
	go c.loopPoll()
	return c.next
}

// pollRest is how long loopPoll waits for the next poll. It is longer than the
// time between two polls of a group at rest.
const pollRest = time.Second

// loopPoll runs polls until none is wanted any more. With a goroutine for each
// poll a third of a poll's processor time was spent on growing its stack.
func (c *Client) loopPoll() {
	t := time.NewTimer(pollRest)
	defer t.Stop()
	for {
		c.runPoll()
		t.Reset(pollRest)
		select {
		case <-c.wanted:
		case <-t.C:
			if c.stopPolling() {
				return
			}
		}
	}
}

// stopPolling reports whether loopPoll may end. Where a poll was joined at the
// last moment it goes on, as that poll's waiters would wait for good.
func (c *Client) stopPolling() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.next != nil {
		<-c.wanted
		return false
	}
	c.polling = false
	return true
}

// runPoll waits for the connection, closes the poll to new waiters and runs it.
func (c *Client) runPoll() {
	c.turn <- struct{}{}
	defer c.release()
	p := c.take()
	p.status, p.err = c.poll()
	close(p.done)
}

// take returns the next poll, which nobody can join from now on.
func (c *Client) take() *poll {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	p := c.next
	c.next = nil
	return p
}

// poll connects if need be and asks. Connecting has a time of its own: on a
// slow way, or on a busy host, a login takes longer than a poll may, and if each
// poll began it anew the server would never be reached.
func (c *Client) poll() (controller.Status, error) {
	if err := c.reach(); err != nil {
		return controller.Status{}, err
	}
	ctx, stop := context.WithTimeout(context.Background(), c.timeout(defaultPollTimeout))
	defer stop()
	return c.ask(ctx)
}

// reach connects for a poll unless there is a connection.
func (c *Client) reach() error {
	if c.connection != nil && !c.connection.IsClosed() {
		return nil
	}
	x, end := context.WithTimeout(context.Background(), connectTimeout)
	defer end()
	return c.connect(x)
}

func (c *Client) release() {
	<-c.turn
}

func (c *Client) timeout(otherwise time.Duration) time.Duration {
	if c.Timeout > 0 {
		return c.Timeout
	}
	return otherwise
}

// RaiseTerm makes the server refuse writes and replication under lower terms.
func (c *Client) RaiseTerm(ctx context.Context, t marker.Term) (controller.Status, error) {
	return c.command(ctx, "SELECT * FROM cuminwick_raise_term("+term(t)+")")
}

// Promote makes the server primary under its accepted term t.
func (c *Client) Promote(ctx context.Context, t marker.Term) (controller.Status, error) {
	return c.command(ctx, "SELECT * FROM cuminwick_promote("+term(t)+")")
}

// Follow makes the server a replica, under term t, of the server so named.
func (c *Client) Follow(ctx context.Context, t marker.Term, backendServer, address string) (controller.Status, error) {
	return c.command(ctx, "SELECT * FROM cuminwick_follow("+term(t)+", $1, $2)", backendServer, address)
}

func term(t marker.Term) string {
	return strconv.FormatUint(uint64(t), 10)
}

// command runs one call that changes the server, in turn with the others.
func (c *Client) command(ctx context.Context, sql string, args ...string) (controller.Status, error) {
	c.setUp()
	ctx, stop := context.WithTimeout(ctx, c.timeout(defaultTimeout))
	defer stop()
	select {
	case c.turn <- struct{}{}:
		defer c.release()
	case <-ctx.Done():
		return controller.Status{}, errors.Annotatef(ctx.Err(), "wait to command backend server %s", c.Name)
	}
	return c.call(ctx, sql, args)
}

// dropBroken forgets the connection unless the server itself answered with an error.
func (c *Client) dropBroken(err error) {
	var p *pgconn.PgError
	if errors.As(err, &p) && !c.connection.IsClosed() {
		return
	}
	if pgconn.Timeout(err) {
		c.lost = c.connection.PID()
	}
	ctx, stop := context.WithCancel(context.Background())
	stop()
	// The connection is useless already, so a failing close changes nothing.
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
		return errors.Annotatef(judge(err), "dial backend server %s at %s", c.Name, c.Address)
	}
	c.connection = n
	c.columns = nil
	c.verified = false
	return nil
}

// judge marks the failure of an attempt to connect that a server's machine
// answered in place of the server.
func judge(err error) error {
	refused := errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
	if refused || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return errors.WithType(err, controller.ErrRefused)
	}
	return err
}

// endLost has the server end the session of a connection that stopped
// answering: the server may not have noticed and counts it for good, until
// there is no connection left for control. It is called only where the connection
// leads to that very server: at another one the process id is that of somebody else's
// session. The call takes the place of the unnamed statement.
func (c *Client) endLost(ctx context.Context) {
	if c.lost == 0 {
		return
	}
	c.columns = nil
	q := "SELECT pg_terminate_backend(" + strconv.FormatUint(uint64(c.lost), 10) + ")"
	if _, err := c.connection.Exec(ctx, q).ReadAll(); err == nil {
		c.lost = 0
	}
}

// config returns what a connection is opened with. It is worked out once: that
// reads the environment and files, and when a server ends, each entry host tries
// to connect again and again.
func (c *Client) config() (*pgconn.Config, error) {
	if c.prepared != nil {
		return c.prepared, nil
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
	c.prepared = f
	return f, nil
}

// Close gives up the connection.
func (c *Client) Close(ctx context.Context) error {
	c.setUp()
	select {
	case c.turn <- struct{}{}:
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
