package replicator

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cuminwick/cuminwick/internal/soak/framer"
)

// connection is one connection with its session state and its open transaction.
type connection struct {
	responder *Responder
	conn      net.Conn
	// number tells the connection from the others of the group.
	number int
	// silent makes the connection answer nothing, as if a device on the network path had dropped its
	// state.
	silent atomic.Bool
	// values are the session values by name, prepared the prepared statements by name.
	values   map[string]string
	prepared map[string]prepared
	// open reports that a transaction is open, failed that it can only be rolled back, writable that it
	// may write.
	open, failed, writable bool
	// transaction is the number of the open transaction, zero without one.
	transaction int
	// term is the server's term when the transaction began.
	term uint64
	// owner is the session of the transaction's first statement.
	owner string
	// customer is the name with which the connection was opened.
	customer string
	// written are the writes of the transaction, which are not committed yet.
	written []Record
	// random decides which answers are repeated.
	random *rand.Rand

	// mu is held while an answer is written.
	mu sync.Mutex
	// owed is a second answer that is to be sent in the middle of the next one.
	owed string
}

// run answers statements until the connection ends.
func (c *connection) run() {
	defer c.responder.remove(c)
	defer c.conn.Close()
	r := framer.New(c.conn)
	for {
		l, err := r.Next()
		if err != nil {
			return
		}
		if c.responder.Group.muted(c.responder.Server) || c.silent.Load() {
			continue
		}
		a, ok := c.answer(l)
		if !ok || c.send(a) != nil {
			return
		}
		c.repeat(a)
	}
}

// muted reports whether the server answers no statement at present.
func (g *Group) muted(s *Server) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return s.mute
}

// reply is the answer to one message.
type reply struct {
	rows []string
	// signature follows DONE, code and text follow ERR. Both are empty in the answer to STARTUP.
	signature, code, text string
	// state follows READY. It is empty for an answer without READY.
	state string
	// execution is the record of a caller's statement that ran.
	execution *Execution
}

// lines returns the lines of the answer.
func (a reply) lines() []string {
	var l []string
	for _, r := range a.rows {
		l = append(l, "ROW "+r+"\r\n")
	}
	switch {
	case a.code != "":
		l = append(l, "ERR "+a.code+" "+a.text+"\r\n")
	case a.signature != "":
		l = append(l, "DONE "+a.signature+"\r\n")
	}
	if a.state != "" {
		l = append(l, "READY "+a.state+"\r\n")
	}
	return l
}

// answer returns the answer to one line, and false for a malformed line, which ends the connection.
func (c *connection) answer(line string) (reply, bool) {
	keyword, rest, _ := strings.Cut(line, " ")
	if keyword == "STARTUP" {
		return c.start(strings.Split(rest, " ")), true
	}
	id, text, ok := strings.Cut(rest, " ")
	if keyword != "QUERY" || !ok || id == "" {
		return reply{}, false
	}
	began := time.Now()
	if usesSlot(text) {
		c.responder.slots <- struct{}{}
		time.Sleep(c.responder.Group.StatementTime)
		<-c.responder.slots
	}
	g := c.responder.Group
	g.mu.Lock()
	defer g.mu.Unlock()
	a := c.execute(id, text)
	if id != proxyID && a.code == "" {
		g.runs[id] = Run{Began: began, Ended: time.Now()}
	}
	if c.responder.Server.down {
		return reply{}, false
	}
	a.state = c.state() + " " + c.responder.Server.position()
	return a, true
}

// usesSlot reports whether the statement occupies a slot while it runs.
func usesSlot(text string) bool {
	keyword, _, _ := strings.Cut(text, " ")
	switch keyword {
	case "BEGIN", "ROLLBACK", "SET", "PREPARE", "DEALLOC", "RESET":
		return false
	}
	return true
}

// start returns the answer to STARTUP, an error if the group or the server is another one.
func (c *connection) start(f []string) reply {
	g, s := c.responder.Group, c.responder.Server
	g.mu.Lock()
	defer g.mu.Unlock()
	if f[0] != g.Name || len(f) > 2 && f[2] != s.ID {
		return reply{code: "MISROUTED", text: s.ID}
	}
	if len(f) > 1 {
		c.customer = f[1]
	}
	return reply{state: "I " + s.position()}
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
func (c *connection) refuse(code string) reply {
	if c.responder.Group.OddErrors {
		return reply{code: code, text: "refused\nDONE sig\nREADY I -\rx\x00\xff  "}
	}
	return reply{code: code, text: "refused"}
}

// fail returns an error answer and marks an open transaction as failed.
func (c *connection) fail(code string) reply {
	c.failed = c.open
	return c.refuse(code)
}

// done returns the answer to a statement that ran, signed if it is a caller's. The caller holds the group's
// mutex.
func (c *connection) done(id string, rows ...string) reply {
	if id == proxyID {
		return reply{signature: "-", rows: rows}
	}
	return reply{signature: c.responder.Group.signature(id), rows: rows}
}

// execute runs one statement and records it. The caller holds the group's mutex.
func (c *connection) execute(id, text string) reply {
	x, ok := parse(text)
	if !ok {
		return c.fail("MALFORMED")
	}
	if x.after != "" && !c.responder.Server.hasPosition(x.after) {
		return c.fail("LAGGING")
	}
	e := c.execution(id, x)
	a := c.control(id, x)
	if a.code == "" && a.signature == "" {
		begins := !c.open || c.owner == ""
		c.checkSession(id)
		a = c.access(id, x)
		if begins && a.code == "" {
			c.responder.Group.countOperation(c.customer)
		}
	}
	if a.code == "" || a.code == "FAILED" {
		e.Signature, e.Rows = a.signature, a.rows
		c.responder.Group.executions = append(c.responder.Group.executions, e)
		a.execution = e
	}
	return a
}

// control runs a statement that neither reads, writes nor commits, and returns the zero value for any
// other. The caller holds the group's mutex.
func (c *connection) control(id string, x statement) reply {
	s, g := c.responder.Server, c.responder.Group
	switch x.keyword {
	case "SET":
		c.values[x.name] = x.argument
		return c.done(id)
	case "PREPARE":
		c.prepared[x.name] = prepared{mode: x.mode, shape: x.argument}
		return c.done(id)
	case "DEALLOC":
		delete(c.prepared, x.name)
		return c.done(id)
	case "RESET":
		clear(c.values)
		clear(c.prepared)
		return c.done(id)
	case "ROLLBACK":
		c.end()
		return c.done(id)
	case "BEGIN":
		writable := x.mode == ""
		if writable && !g.leads(s) {
			return c.refuse("READONLY")
		}
		c.open, c.writable, c.term, c.owner, c.transaction = true, writable, s.term, "", g.number()
		return c.done(id)
	case "STATUS":
		return c.done(id, c.status())
	case "DEMOTE", "PAUSE", "RESUME":
		g.command(s, x)
		return c.done(id, c.status())
	}
	return reply{}
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
		g.recordViolation("transaction: %s runs in a transaction of %s", id, c.owner)
	}
}

// access runs a read, a write, a prepared statement or a commit. A writable transaction is refused
// once the server is not the primary of the term in which it began, except for an empty commit. The
// caller holds the group's mutex.
func (c *connection) access(id string, x statement) reply {
	s, g := c.responder.Server, c.responder.Group
	if c.failed {
		return c.refuse("MALFORMED")
	}
	if x.keyword == "EXEC" {
		p, ok := c.prepared[x.name]
		if !ok {
			return c.fail("NOSTMT")
		}
		if x, ok = x.resolve(p); !ok {
			return c.fail("MALFORMED")
		}
	}
	deposed := c.open && c.writable && (!g.leads(s) || s.term != c.term)
	switch x.keyword {
	case "READ":
		if deposed {
			return c.fail("READONLY")
		}
		return c.done(id, s.latest(x.item, c.written)...)
	case "WRITE":
		if deposed || !g.leads(s) {
			return c.fail("READONLY")
		}
		r := Record{Term: s.term, ID: id, Item: x.item, Data: x.data}
		_, _ = fmt.Sscan(x.data, &r.Value)
		if c.open {
			c.written = append(c.written, r)
			return c.done(id)
		}
		return c.commit(id, []Record{r})
	case "COMMIT":
		if !c.open {
			return c.refuse("MALFORMED")
		}
		if deposed && len(c.written) > 0 {
			c.end()
			return c.refuse("READONLY")
		}
		l := c.written
		c.end()
		return c.commit(id, l)
	}
	return c.fail("MALFORMED")
}

// commit appends the records to the primary's log, and acknowledges them once enough replicas have them. The
// caller holds the group's mutex.
func (c *connection) commit(id string, l []Record) reply {
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
	return c.done(id)
}

// end resets the state of the transaction.
func (c *connection) end() {
	c.open, c.failed, c.written, c.owner, c.transaction = false, false, nil, "", 0
}
