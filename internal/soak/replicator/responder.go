package replicator

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

const (
	// slots is the number of statements that run at a time.
	slots = 4
	// maximumConnections is the number of connections that a server accepts.
	maximumConnections = 24
	// proxyID is the id of the statements that entry hosts issue themselves.
	proxyID = "-"
)

// Responder accepts and serves the connections of one server. Its exported fields are set before Open.
type Responder struct {
	Group  *Group
	Server *Server

	// slots limits the statements that run at a time.
	slots chan struct{}

	mu       sync.Mutex
	listener net.Listener
	open     map[*connection]struct{}
}

// Open listens and serves until Close. The first call listens at a free port of ip; further calls
// listen at the same address again and ignore ip.
func (r *Responder) Open(ip string) error {
	a := r.Group.Address(r.Server)
	if a == "" {
		a = net.JoinHostPort(ip, "0")
	}
	l, err := net.Listen("tcp4", a)
	if err != nil {
		return errors.Annotatef(err, "listen for server %s", r.Server.ID)
	}
	r.Group.setAddress(r.Server, l.Addr().String())
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listener, r.open = l, make(map[*connection]struct{})
	if r.slots == nil {
		r.slots = make(chan struct{}, slots)
	}
	go r.run(l)
	return nil
}

// Close stops the server as a crash does: it closes the listener and all connections.
func (r *Responder) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listener.Close()
	for c := range r.open {
		c.conn.Close()
	}
}

// Silence stops all answers on the connections that are open now. New connections work.
func (r *Responder) Silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.open {
		c.silent.Store(true)
	}
}

// run accepts connections until the listener is closed.
func (r *Responder) run(l net.Listener) {
	for {
		n, err := l.Accept()
		if err != nil {
			return
		}
		c := &connection{responder: r, conn: n, values: make(map[string]string), prepared: make(map[string]string)}
		if !r.admit(c) {
			_, _ = fmt.Fprint(n, "ERR TOOMANY full\r\n")
			n.Close()
			continue
		}
		go c.run()
	}
}

// admit adds the connection, or returns false if maximumConnections are open.
func (r *Responder) admit(c *connection) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.open) >= maximumConnections {
		return false
	}
	r.open[c] = struct{}{}
	return true
}

func (r *Responder) remove(c *connection) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, c)
}

// count returns how many connections are open.
func (r *Responder) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.open)
}

// connection is one connection with its session state and its open transaction.
type connection struct {
	responder *Responder
	conn      net.Conn
	// silent makes the connection answer nothing, as if a device on the network path had dropped its
	// state.
	silent atomic.Bool
	// values are the session values by name, prepared the prepared statements by name.
	values   map[string]string
	prepared map[string]string
	// open reports that a transaction is open, failed that it can only be rolled back, writable that it
	// may write.
	open, failed, writable bool
	// term is the server's term when the transaction began.
	term uint64
	// owner is the session of the transaction's first statement.
	owner string
	// customer is the name with which the connection was opened.
	customer string
	// written are the writes of the transaction, which are not committed yet.
	written []Record
}

// run answers statements until the connection ends.
func (c *connection) run() {
	defer c.responder.remove(c)
	defer c.conn.Close()
	s := bufio.NewScanner(c.conn)
	for s.Scan() {
		if c.responder.Group.muted(c.responder.Server) || c.silent.Load() {
			continue
		}
		a, ok := c.answer(strings.TrimSuffix(s.Text(), "\r"))
		if !ok {
			return
		}
		if _, err := c.conn.Write([]byte(a)); err != nil {
			return
		}
	}
}

// muted reports whether the server answers no statement at present.
func (g *Group) muted(s *Server) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return s.mute
}

// answer returns the answer to one line, and false for a malformed line, which ends the connection.
func (c *connection) answer(line string) (string, bool) {
	f := strings.SplitN(line, " ", 3)
	if f[0] == "STARTUP" {
		return c.start(strings.Fields(line)), true
	}
	if f[0] != "QUERY" || len(f) < 3 {
		return "", false
	}
	id, text := f[1], f[2]
	began := time.Now()
	if usesSlot(text) {
		c.responder.slots <- struct{}{}
		time.Sleep(c.responder.Group.StatementTime)
		<-c.responder.slots
	}
	g := c.responder.Group
	g.mu.Lock()
	defer g.mu.Unlock()
	out := c.execute(id, text)
	if id != proxyID && !strings.HasPrefix(out, "ERR") {
		g.runs[id] = Run{Began: began, Ended: time.Now()}
	}
	if c.responder.Server.down {
		return "", false
	}
	return out + "READY " + c.state() + " " + c.responder.Server.position() + "\r\n", true
}

// usesSlot reports whether the statement occupies a slot while it runs.
func usesSlot(text string) bool {
	keyword, _, _ := strings.Cut(text, " ")
	switch keyword {
	case "BEGIN", "ROLLBACK", "SET", "PREPARE", "RESET":
		return false
	}
	return true
}

// start returns the answer to STARTUP, an error if the group or the server is another one.
func (c *connection) start(f []string) string {
	g, s := c.responder.Group, c.responder.Server
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(f) > 1 && f[1] != g.Name || len(f) > 3 && f[3] != s.ID {
		return "ERR MISROUTED " + s.ID + "\r\n"
	}
	if len(f) > 2 {
		c.customer = f[2]
	}
	return "READY I " + s.position() + "\r\n"
}

// state returns the transaction state: E for failed, T for open, I for none.
func (c *connection) state() string {
	switch {
	case c.open && c.failed:
		return "E"
	case c.open:
		return "T"
	}
	return "I"
}

// refuse returns an error answer.
func refuse(code string) string { return "ERR " + code + " refused\r\n" }

// fail returns an error answer and marks an open transaction as failed.
func (c *connection) fail(code string) string {
	c.failed = c.open
	return refuse(code)
}

// done returns the answer to a statement that ran. Its signature holds the statement's id, so that a
// caller recognizes the answer to another statement.
func done(id, rows string) string { return rows + "DONE sig." + id + "\r\n" }

// execute runs one statement. The caller holds the group's mutex.
func (c *connection) execute(id, text string) string {
	s, g := c.responder.Server, c.responder.Group
	f := strings.Fields(text)
	if f[0] == "AFTER" {
		if !s.hasPosition(f[1]) {
			return c.fail("LAGGING")
		}
		f = f[2:]
	}
	switch f[0] {
	case "SET":
		c.values[f[1]] = f[2]
		return done(id, "")
	case "PREPARE":
		c.prepared[f[1]] = f[2] + " " + f[3]
		return done(id, "")
	case "RESET":
		clear(c.values)
		clear(c.prepared)
		return done(id, "")
	case "ROLLBACK":
		c.end()
		return done(id, "")
	case "BEGIN":
		writable := len(f) == 1
		if writable && !g.leads(s) {
			return refuse("READONLY")
		}
		c.open, c.writable, c.term, c.owner = true, writable, s.term, ""
		return done(id, "")
	case "STATUS":
		return done(id, "ROW "+c.status()+"\r\n")
	case "DEMOTE", "PAUSE", "RESUME":
		g.command(s, f)
		return done(id, "ROW "+c.status()+"\r\n")
	}
	begins := !c.open || c.owner == ""
	c.checkSession(id)
	out := c.access(id, f)
	if begins && !strings.HasPrefix(out, "ERR") {
		g.countOperation(c.customer)
	}
	return out
}

// status returns the row with the server's status. The caller holds the group's mutex.
func (c *connection) status() string {
	s, role := c.responder.Server, "replica"
	if c.responder.Group.leads(s) {
		role = "primary"
	}
	return fmt.Sprintf("%s %d %s %d 0 0 %d", role, s.term, s.position(), s.paused, c.responder.count())
}

// checkSession records a violation if the statement runs with the values or in the transaction of
// another session. The caller holds the group's mutex.
func (c *connection) checkSession(id string) {
	session, _, _ := strings.Cut(id, ".")
	g := c.responder.Group
	if c.values["who"] != session {
		g.recordViolation("values: %s runs where session %q has set its values", id, c.values["who"])
	}
	if g.Customer != nil && g.Customer(session) != c.customer {
		g.recordViolation("customer: %s of %s runs on a connection of %s", id, g.Customer(session), c.customer)
	}
	if !c.open {
		return
	}
	if c.owner == "" {
		c.owner = session
	}
	if c.owner != session {
		g.recordViolation("mixed: %s runs in a transaction of %s", id, c.owner)
	}
}

// access runs a read, a write, a prepared statement or a commit. A writable transaction is refused
// once the server is not the primary of the term in which it began, except for an empty commit. The
// caller holds the group's mutex.
func (c *connection) access(id string, f []string) string {
	s, g := c.responder.Server, c.responder.Group
	if c.failed {
		return refuse("MALFORMED")
	}
	if f[0] == "EXEC" {
		p, ok := c.prepared[f[1]]
		if !ok {
			return c.fail("NOSTMT")
		}
		kind, _, _ := strings.Cut(p, " ")
		f = append([]string{kind}, f[2:]...)
	}
	deposed := c.open && c.writable && (!g.leads(s) || s.term != c.term)
	switch f[0] {
	case "READ":
		if deposed {
			return c.fail("READONLY")
		}
		return done(id, fmt.Sprintf("ROW %d\r\n", s.latest(f[1], c.written)))
	case "WRITE":
		if deposed || !g.leads(s) {
			return c.fail("READONLY")
		}
		r := Record{Term: s.term, ID: id, Item: f[1]}
		_, _ = fmt.Sscan(f[2], &r.Value)
		if c.open {
			c.written = append(c.written, r)
			return done(id, "")
		}
		return c.commit(id, []Record{r})
	case "COMMIT":
		if !c.open {
			return refuse("MALFORMED")
		}
		if deposed && len(c.written) > 0 {
			c.end()
			return refuse("READONLY")
		}
		l := c.written
		c.end()
		return c.commit(id, l)
	}
	return c.fail("MALFORMED")
}

// commit appends the records to the primary's log, and acknowledges them once enough replicas have them. The
// caller holds the group's mutex.
func (c *connection) commit(id string, l []Record) string {
	s, g := c.responder.Server, c.responder.Group
	for _, r := range l {
		s.log = append(s.log, r)
		g.commits[r.ID]++
	}
	if len(l) > 0 && !g.awaitReplicas(s, len(s.log)) {
		return c.fail("FAILED")
	}
	if g.Synchronous > 0 {
		for _, r := range l {
			g.acknowledged[r.ID] = true
		}
	}
	return done(id, "")
}

// end resets the state of the transaction.
func (c *connection) end() {
	c.open, c.failed, c.written, c.owner = false, false, nil, ""
}
