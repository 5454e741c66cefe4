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
	// slots is how many statements run at a time, connections how many are taken.
	slots       = 4
	connections = 24
	// workTime is what a statement takes.
	workTime = 3 * time.Millisecond
)

// Responder serves one server's connections. Its exported fields are set before Open.
type Responder struct {
	Group  *Group
	Server *Server

	slots chan struct{}

	mu       sync.Mutex
	listener net.Listener
	open     map[*connection]struct{}
}

// Open listens at the server's address, at a free one of the network address for the first
// time.
func (r *Responder) Open(ip string) error {
	a := r.Group.address(r.Server)
	if a == "" {
		a = net.JoinHostPort(ip, "0")
	}
	l, err := net.Listen("tcp4", a)
	if err != nil {
		return errors.Annotatef(err, "listen for server %s", r.Server.ID)
	}
	r.Group.locate(r.Server, l.Addr().String())
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listener, r.open = l, make(map[*connection]struct{})
	if r.slots == nil {
		r.slots = make(chan struct{}, slots)
	}
	go r.run(l)
	return nil
}

// Close ends the server as a crash does: its connections break and no process listens.
func (r *Responder) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listener.Close()
	for c := range r.open {
		c.conn.Close()
	}
}

// Silence has the open connections answer nothing any more, while new ones work.
func (r *Responder) Silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.open {
		c.silent.Store(true)
	}
}

// run serves until the listener is closed.
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

func (r *Responder) admit(c *connection) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.open) >= connections {
		return false
	}
	r.open[c] = struct{}{}
	return true
}

func (r *Responder) leave(c *connection) {
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

// connection is one connection with its transaction.
type connection struct {
	responder *Responder
	conn      net.Conn
	// silent says that something on the way has lost track of it.
	silent atomic.Bool
	// values and prepared are what was set up on it.
	values   map[string]string
	prepared map[string]string
	// open says that a transaction is, failed that it can only be rolled back, plain that
	// it may write, and term the one under which it began.
	open, failed, plain bool
	term                uint64
	// owner is the session of the transaction's first statement.
	owner   string
	written []Record
}

func (c *connection) run() {
	defer c.responder.leave(c)
	defer c.conn.Close()
	s := bufio.NewScanner(c.conn)
	for s.Scan() {
		if c.responder.Group.mutes(c.responder.Server) || c.silent.Load() {
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

// mutes reports whether the server answers nothing.
func (g *Group) mutes(s *Server) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return s.mute
}

// answer answers one line, false for one that ends the connection.
func (c *connection) answer(line string) (string, bool) {
	f := strings.SplitN(line, " ", 3)
	if f[0] == "STARTUP" {
		return c.start(strings.Fields(line)), true
	}
	if f[0] != "QUERY" || len(f) < 3 {
		return "", false
	}
	id, text := f[1], f[2]
	if occupies(text) {
		c.responder.slots <- struct{}{}
		time.Sleep(workTime)
		defer func() { <-c.responder.slots }()
	}
	g := c.responder.Group
	g.mu.Lock()
	defer g.mu.Unlock()
	out := c.execute(id, text)
	return out + "READY " + c.state() + " " + c.responder.Server.position() + "\r\n", true
}

// occupies reports whether the statement uses a slot.
func occupies(text string) bool {
	word, _, _ := strings.Cut(text, " ")
	switch word {
	case "BEGIN", "ROLLBACK", "SET", "PREPARE", "RESET":
		return false
	}
	return true
}

func (c *connection) start(f []string) string {
	g, s := c.responder.Group, c.responder.Server
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(f) > 1 && f[1] != g.Name || len(f) > 3 && f[3] != s.ID {
		return "ERR MISROUTED " + s.ID + "\r\n"
	}
	return "READY I " + s.position() + "\r\n"
}

// position is the end of the server's log. It begins at 1, so that no position is zero.
func (s *Server) position() string { return fmt.Sprintf("%d.%d", s.term, len(s.log)+1) }

func (c *connection) state() string {
	switch {
	case c.open && c.failed:
		return "E"
	case c.open:
		return "T"
	}
	return "I"
}

func refuse(code string) string { return "ERR " + code + " refused\r\n" }

// fail refuses a statement of a transaction, which fails by it.
func (c *connection) fail(code string) string {
	c.failed = c.open
	return refuse(code)
}

// done is the answer to a statement that ran. Its signature names the statement.
func done(id, rows string) string { return rows + "DONE sig." + id + "\r\n" }

// execute runs one statement. The group's mutex is held.
func (c *connection) execute(id, text string) string {
	s, g := c.responder.Server, c.responder.Group
	f := strings.Fields(text)
	if f[0] == "AFTER" {
		if !s.holds(f[1]) {
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
		plain := len(f) == 1
		if plain && g.primary != s {
			return refuse("READONLY")
		}
		c.open, c.plain, c.term, c.owner = true, plain, s.term, ""
		return done(id, "")
	case "STATUS":
		return done(id, "ROW "+c.status()+"\r\n")
	case "DEMOTE":
		return done(id, "ROW "+c.status()+"\r\n")
	}
	c.look(id)
	return c.work(id, f)
}

// status is the row that a server tells of itself. The group's mutex is held.
func (c *connection) status() string {
	s, role := c.responder.Server, "replica"
	if c.responder.Group.primary == s {
		role = "primary"
	}
	return fmt.Sprintf("%s %d %s 0 0 0 %d", role, s.term, s.position(), c.responder.count())
}

// look notes a statement that runs among another session's. The mutex is held.
func (c *connection) look(id string) {
	session, _, _ := strings.Cut(id, ".")
	g := c.responder.Group
	if c.values["who"] != session {
		g.note("values: %s runs where session %q has set its values", id, c.values["who"])
	}
	if !c.open {
		return
	}
	if c.owner == "" {
		c.owner = session
	}
	if c.owner != session {
		g.note("mixed: %s runs in a transaction of %s", id, c.owner)
	}
}

// work runs what a caller asked for. The mutex is held.
func (c *connection) work(id string, f []string) string {
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
	deposed := c.open && c.plain && (g.primary != s || s.term != c.term)
	switch f[0] {
	case "READ":
		if deposed {
			return c.fail("READONLY")
		}
		return done(id, fmt.Sprintf("ROW %d\r\n", s.latest(f[1], c.written)))
	case "WRITE":
		if deposed || g.primary != s {
			return c.fail("READONLY")
		}
		r := Record{Term: s.term, ID: id, Item: f[1]}
		_, _ = fmt.Sscan(f[2], &r.Value)
		if c.open {
			c.written = append(c.written, r)
			return done(id, "")
		}
		g.commit([]Record{r})
		return done(id, "")
	case "COMMIT":
		if !c.open {
			return refuse("MALFORMED")
		}
		if deposed && len(c.written) > 0 {
			c.end()
			return refuse("READONLY")
		}
		g.commit(c.written)
		c.end()
		return done(id, "")
	}
	return c.fail("MALFORMED")
}

// commit appends to the leader's log. The mutex is held.
func (g *Group) commit(l []Record) {
	for _, r := range l {
		g.primary.log = append(g.primary.log, r)
		g.commits[r.ID]++
	}
}

func (c *connection) end() {
	c.open, c.failed, c.written, c.owner = false, false, nil, ""
}

// holds reports whether the log has the position.
func (s *Server) holds(position string) bool {
	var term uint64
	var n int
	_, _ = fmt.Sscanf(position, "%d.%d", &term, &n)
	return term <= s.term && len(s.log)+1 >= n
}

// latest returns the highest value of the item, zero for none. Writers give ever higher
// values, so it shows each write that the log has.
func (s *Server) latest(item string, own []Record) int {
	v := 0
	for _, l := range [][]Record{s.log, own} {
		for _, r := range l {
			if r.Item == item {
				v = max(v, r.Value)
			}
		}
	}
	return v
}
