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

// Sizes of a connection.
const (
	// secretKeyBytes is the length of a cancel key.
	secretKeyBytes = 4
	// maximumMessageBytes bounds what a caller can make the stand-in hold.
	maximumMessageBytes = 64 << 20
	// flushBytes is how much of an answer is gathered before it is written.
	flushBytes = 32 << 10
)

// connection is one caller's connection.
type connection struct {
	server  *Server
	conn    net.Conn
	backend *pgproto3.Backend
	process uint32
	secret  []byte
	control bool
	session *executor.Session
	types   *pgtype.Map
	portals map[string]*portal
	// skipToSync drops messages up to Sync after an error in the extended protocol.
	skipToSync    bool
	bufferedBytes int
	holdsSlot     bool

	mutex  sync.Mutex
	cancel context.CancelFunc
}

// run serves the connection until it ends.
func (c *connection) run(ctx context.Context) {
	defer c.conn.Close()
	defer context.AfterFunc(ctx, func() { c.conn.Close() })()
	c.backend = pgproto3.NewBackend(c.conn, c.conn)
	c.backend.SetMaxBodyLen(maximumMessageBytes)
	err := c.serve(ctx)
	if err != nil {
		log.WithFields(log.Fields{"backend-server": c.server.Name, "peer": c.conn.RemoteAddr().String()}).WithError(err).Debug("connection ended")
	}
}

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
	c.session.Process = c.process
	if err := c.sendGreeting(); err != nil {
		return err
	}
	return c.loopMessages(ctx)
}

// receiveStartup answers TLS requests and cancels; it returns nil after a cancel.
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

// replicate serves a replica's stream.
func (c *connection) replicate(ctx context.Context) error {
	f, _ := c.server.faults.Get()
	if f.Isolated {
		return errors.Errorf("%s is isolated", c.server.Name)
	}
	s := &streamer.Sender{Store: &c.server.store, Faults: &c.server.faults, Conn: c.conn, Backend: c.backend}
	return s.Run(ctx)
}

// refuse answers with a fatal error.
func (c *connection) refuse(code, message string) error {
	c.backend.Send(&pgproto3.ErrorResponse{Severity: "FATAL", SeverityUnlocalized: "FATAL", Code: code, Message: message})
	return errors.Annotate(c.backend.Flush(), "refuse connection")
}

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
		Store:     &c.server.store,
		Parser:    &c.server.parser,
		User:      p["user"],
		Database:  d,
		Committer: c.commit,
		Yield:     c.releaseSlot,
		Regain:    c.acquireSlot,
		Report:    c.report,
		Activity:  c.server.sessions.activity,
		Terminate: c.server.sessions.terminate,
		Settings:  startSettings(p),
		Startup:   startSettings(p),
		Prepared:  map[string]*executor.Prepared{},
	}
}

// startSettings are a session's first settings, with those of the startup message.
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

// reportedSettings are the settings that every connection is told at its start.
var reportedSettings = []string{
	"application_name", "client_encoding", "DateStyle", "default_transaction_read_only", "integer_datetimes",
	"IntervalStyle", "is_superuser", "server_encoding", "server_version", "session_authorization",
	"standard_conforming_strings", "TimeZone",
}

func (c *connection) sendGreeting() error {
	c.backend.Send(&pgproto3.AuthenticationOk{})
	for _, n := range reportedSettings {
		c.backend.Send(&pgproto3.ParameterStatus{Name: n, Value: c.session.Settings[n]})
	}
	c.backend.Send(&pgproto3.BackendKeyData{ProcessID: c.process, SecretKey: c.secret})
	c.backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	return errors.Annotate(c.backend.Flush(), "greet caller")
}

func (c *connection) report(name, value string) {
	c.backend.Send(&pgproto3.ParameterStatus{Name: name, Value: value})
}

// beginStatement returns the context of one statement, which a cancel ends.
func (c *connection) beginStatement(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, stop := context.WithCancel(ctx)
	c.mutex.Lock()
	c.cancel = stop
	c.mutex.Unlock()
	return ctx, stop
}

// finishStatement lets a late cancel miss.
func (c *connection) finishStatement(stop context.CancelFunc) {
	c.mutex.Lock()
	c.cancel = nil
	c.mutex.Unlock()
	stop()
}

// state tells whether the session runs a statement.
func (c *connection) state() string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.cancel != nil {
		return "active"
	}
	return "idle"
}

func (c *connection) cancelStatement() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.cancel != nil {
		c.cancel()
	}
}

// takeSlot waits for a slot, where the statement needs one, and spends the service time in it.
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

func (c *connection) acquireSlot(ctx context.Context) error {
	if c.control || c.server.slots == nil || c.holdsSlot {
		return nil
	}
	err := c.server.slots.Acquire(ctx, 1)
	c.holdsSlot = err == nil
	return err
}

func (c *connection) releaseSlot() {
	if c.holdsSlot {
		c.server.slots.Release(1)
		c.holdsSlot = false
	}
}
