package responder

import (
	"context"
	"crypto/rand"
	"net"
	"sync"

	"github.com/apex/log"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"
	"github.com/juju/errors"
	pgquery "github.com/pganalyze/pg_query_go/v6"

	"github.com/cuminwick/cuminwick/internal/clock/scheduler"
	"github.com/cuminwick/cuminwick/internal/standin/executor"
	"github.com/cuminwick/cuminwick/internal/standin/streamer"
)

// Sizes in bytes.
const (
	// secretKeyBytes is the length of the secret key that a cancel request needs.
	secretKeyBytes = 4
	// maximumMessageBytes limits the memory that one message of a client can occupy.
	maximumMessageBytes = 64 << 20
	// flushBytes is how much of an answer is buffered before it is sent.
	flushBytes = 32 << 10
)

// connection is one client connection.
type connection struct {
	server  *Server
	conn    net.Conn
	backend *pgproto3.Backend
	// process is the process number that identifies the session in cancel requests.
	process uint32
	secret  []byte
	// control says that the client identified itself by ControlApplicationName.
	control bool
	// activate is called at the end of the login.
	activate func()
	session  *executor.Session
	types    *pgtype.Map
	portals  map[string]*portal
	// skipToSync says that messages up to Sync are ignored after an error in the extended protocol.
	skipToSync bool
	// bufferedBytes is the size of the rows that are queued and not sent.
	bufferedBytes int
	// holdsSlot says that the connection holds one of the server's slots.
	holdsSlot bool

	mutex sync.Mutex
	// cancel ends the statement in progress, nil if there is none.
	cancel context.CancelFunc
}

// run serves the connection until it or ctx ends.
func (c *connection) run(ctx context.Context) {
	defer c.conn.Close()
	defer context.AfterFunc(ctx, func() { c.conn.Close() })()
	w := &repeater{server: c.server, conn: c.conn}
	c.activate = w.activate
	c.backend = pgproto3.NewBackend(c.conn, w)
	c.backend.SetMaxBodyLen(maximumMessageBytes)
	err := c.serve(ctx)
	if err != nil {
		log.WithFields(log.Fields{"backend-server": c.server.Name, "peer": c.conn.RemoteAddr().String()}).WithError(err).Debug("connection ended")
	}
}

// serve performs the startup and answers messages, or serves a replica's stream.
func (c *connection) serve(ctx context.Context) error {
	m, err := c.receiveStartup(ctx)
	if err != nil || m == nil {
		return err
	}
	n := m.Parameters["application_name"]
	if n == streamer.ApplicationName {
		return c.replicate(ctx)
	}
	defer c.server.currentConnections.Add(-1)
	if k := c.server.currentConnections.Add(1); c.server.MaximumConnections > 0 && k > int64(c.server.MaximumConnections) {
		return c.refuse("53300", "sorry, too many clients already")
	}
	c.server.openedConnections.Add(1)
	c.control = n == ControlApplicationName
	if err := scheduler.Pause(ctx, c.server.ConnectTime); err != nil {
		return err
	}
	if err := c.server.faults.WaitUnpaused(ctx); err != nil {
		return err
	}
	if err := c.authenticate(); err != nil {
		return err
	}
	c.setUpSession(m.Parameters)
	c.server.sessions.add(c)
	defer c.server.sessions.remove(c)
	defer c.session.Close()
	c.session.ProcessID = c.process
	if err := c.sendGreeting(); err != nil {
		return err
	}
	c.activate()
	return c.loopMessages(ctx)
}

// receiveStartup returns the startup message, nil after a cancel request. It refuses encryption and
// carries out cancel requests.
func (c *connection) receiveStartup(ctx context.Context) (*pgproto3.StartupMessage, error) {
	for {
		m, err := c.backend.ReceiveStartupMessage()
		if err != nil {
			return nil, errors.Annotate(err, "receive startup")
		}
		if err := c.server.faults.WaitUnpaused(ctx); err != nil {
			return nil, err
		}
		switch m := m.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := c.conn.Write([]byte{'N'}); err != nil {
				return nil, errors.Annotate(err, "refuse encryption")
			}
		case *pgproto3.CancelRequest:
			c.server.sessions.cancel(m.ProcessID, m.SecretKey)
			return nil, nil
		case *pgproto3.StartupMessage:
			return m, nil
		}
	}
}

// replicate serves a replica's replication stream.
func (c *connection) replicate(ctx context.Context) error {
	f, _ := c.server.faults.Get()
	if f.Isolated {
		return errors.Errorf("%s is isolated", c.server.Name)
	}
	s := &streamer.Sender{Store: &c.server.store, Faults: &c.server.faults, Conn: c.conn, Backend: c.backend}
	return s.Run(ctx)
}

// refuse answers with a fatal error. It returns an error only if that cannot be sent.
func (c *connection) refuse(code, message string) error {
	c.backend.Send(&pgproto3.ErrorResponse{Severity: "FATAL", SeverityUnlocalized: "FATAL", Code: code, Message: message})
	return errors.Annotate(c.backend.Flush(), "refuse connection")
}

// setUpSession creates the session from the parameters of the startup message.
func (c *connection) setUpSession(p map[string]string) {
	c.secret = make([]byte, secretKeyBytes)
	// Read never fails, as its documentation says.
	_, _ = rand.Read(c.secret)
	c.types = pgtype.NewMap()
	c.portals = map[string]*portal{}
	d := p["database"]
	if d == "" {
		d = p["user"]
	}
	c.session = &executor.Session{
		Store:              &c.server.store,
		Parser:             &c.server.parser,
		User:               p["user"],
		Database:           d,
		Commit:             c.commit,
		ReleaseSlot:        c.releaseSlot,
		AcquireSlot:        c.acquireSlot,
		Report:             c.report,
		Activity:           c.server.sessions.activity,
		Terminate:          c.server.sessions.terminate,
		Settings:           startSettings(p),
		StartupSettings:    startSettings(p),
		PreparedStatements: map[string]*executor.PreparedStatement{},
	}
}

// startSettings returns the initial settings of a session: the defaults and those of the startup
// message.
func startSettings(p map[string]string) map[string]string {
	m := map[string]string{
		"application_name":              "",
		"client_encoding":               "UTF8",
		"DateStyle":                     "ISO, MDY",
		"TimeZone":                      "UTC",
		"IntervalStyle":                 "postgres",
		"integer_datetimes":             "on",
		"is_superuser":                  "off",
		"server_encoding":               "UTF8",
		"server_version":                executor.ServerVersion,
		"session_authorization":         p["user"],
		"standard_conforming_strings":   "on",
		"default_transaction_read_only": "off",
		"search_path":                   `"$user", public`,
		"statement_timeout":             "0",
		"max_connections":               "100",
	}
	for n, v := range p {
		if n != "user" && n != "database" && n != "options" && n != "replication" {
			m[executor.CanonicalSetting(n)] = v
		}
	}
	return m
}

// reportedSettings are the settings that the server reports to each client after authentication.
var reportedSettings = []string{
	"application_name", "client_encoding", "DateStyle", "default_transaction_read_only", "integer_datetimes",
	"IntervalStyle", "is_superuser", "server_encoding", "server_version", "session_authorization",
	"standard_conforming_strings", "TimeZone",
}

// sendGreeting completes the startup: it sends the settings and the cancel key.
func (c *connection) sendGreeting() error {
	c.backend.Send(&pgproto3.AuthenticationOk{})
	for _, n := range reportedSettings {
		c.backend.Send(&pgproto3.ParameterStatus{Name: n, Value: c.session.Settings[n]})
	}
	c.backend.Send(&pgproto3.BackendKeyData{ProcessID: c.process, SecretKey: c.secret})
	c.backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	return errors.Annotate(c.backend.Flush(), "send greeting")
}

// report tells the client the new value of a setting.
func (c *connection) report(name, value string) {
	c.backend.Send(&pgproto3.ParameterStatus{Name: name, Value: value})
}

// beginStatement returns the context of one statement, which a cancel request ends.
func (c *connection) beginStatement(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, stop := context.WithCancel(ctx)
	c.mutex.Lock()
	c.cancel = stop
	c.mutex.Unlock()
	return ctx, stop
}

// finishStatement ends the context of a statement, so that a late cancel request has no effect.
func (c *connection) finishStatement(stop context.CancelFunc) {
	c.mutex.Lock()
	c.cancel = nil
	c.mutex.Unlock()
	stop()
}

// state returns "active" while the session runs a statement, otherwise "idle".
func (c *connection) state() string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.cancel != nil {
		return "active"
	}
	return "idle"
}

// cancelStatement ends the statement in progress, if any.
func (c *connection) cancelStatement() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.cancel != nil {
		c.cancel()
	}
}

// takeSlot waits for a slot, counts the statement and waits for the service time. Control connections
// and statements that need no slot return at once.
func (c *connection) takeSlot(ctx context.Context, n *pgquery.Node) error {
	if c.control || !executor.NeedsSlot(n) {
		return nil
	}
	if err := c.acquireSlot(ctx); err != nil {
		return executor.Translate(err)
	}
	c.server.countStatement(n)
	return executor.Translate(scheduler.Pause(ctx, c.server.ServiceTime))
}

// acquireSlot waits for a slot unless the connection holds one or needs none.
func (c *connection) acquireSlot(ctx context.Context) error {
	if c.control || c.server.slots == nil || c.holdsSlot {
		return nil
	}
	err := c.server.slots.Acquire(ctx, 1)
	c.holdsSlot = err == nil
	return err
}

// releaseSlot releases the slot, if the connection holds one.
func (c *connection) releaseSlot() {
	if c.holdsSlot {
		c.server.slots.Release(1)
		c.holdsSlot = false
	}
}
