package executor_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/proxy/connpooler"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

// record is one committed write.
type record struct {
	term  marker.Term
	id    string
	item  string
	value int
}

// server is one instance of the group. It replicates from the leader with a delay.
type server struct {
	world *world
	id    string
	// term is the newest that it follows, starts are the lengths at which terms began.
	term   marker.Term
	starts map[marker.Term]int
	log    []record
	delay  time.Duration
	// cut says that no answer comes from it, and no connection is made.
	cut   bool
	conns int
}

// world is one database group with its faults.
type world struct {
	mu      sync.Mutex
	random  *rand.Rand
	servers []*server
	leader  *server
	history *history
	// busy, broken and slow are the parts in a thousand of statements that are turned
	// away, lose their connection before or after they ran, or take long.
	busy, broken, slow int
	// limit is the most connections to a server.
	limit int
}

func newWorld(random *rand.Rand, h *history) *world {
	w := &world{random: random, history: h, limit: 4}
	for i := range 3 {
		w.servers = append(w.servers, &server{world: w, id: fmt.Sprintf("i-%d", i), term: 1, starts: map[marker.Term]int{1: 0}, delay: 20 * time.Millisecond})
	}
	w.leader = w.servers[0]
	return w
}

// list is what the platform says of the servers.
func (w *world) list() []declarer.Server {
	w.mu.Lock()
	defer w.mu.Unlock()
	var l []declarer.Server
	for i, s := range w.servers {
		l = append(l, declarer.Server{ID: s.id, Group: "db", Address: s.id, AvailabilityZone: fmt.Sprintf("z-%d", i), Slots: 2, Primary: s == w.leader, Revision: uint64(w.leader.term)})
	}
	return l
}

// loop replicates until ctx ends. Each replica gets what the leader had a moment ago.
func (s *server) loop(ctx context.Context) {
	for {
		s.world.mu.Lock()
		l := s.world.leader
		term, log, starts := l.term, slices.Clone(l.log), l.starts
		d := s.delay/2 + time.Duration(s.world.random.Int64N(int64(s.delay)))
		s.world.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-time.After(d):
		}
		s.receive(l, term, log, starts)
	}
}

func (s *server) receive(from *server, term marker.Term, log []record, starts map[marker.Term]int) {
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	if s.world.leader != from || from == s || from.term != term || s.cut || from.cut {
		return
	}
	s.term, s.log, s.starts = term, log, starts
}

// promote gives the lead to the server, with what it has and nothing more.
func (w *world) promote(s *server) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s == w.leader {
		return
	}
	kept := make(map[string]bool, len(s.log))
	for _, r := range s.log {
		kept[r.id] = true
	}
	for _, r := range w.leader.log {
		if !kept[r.id] {
			w.history.rolledBack(r)
		}
	}
	t := w.leader.term + 1
	starts := map[marker.Term]int{t: len(s.log)}
	for k, v := range s.starts {
		starts[k] = v
	}
	s.term, s.starts = t, starts
	w.leader = s
}

// position is the end of the server's log.
func (s *server) position() marker.Mark {
	return marker.Mark{Term: s.term, Position: marker.Position(len(s.log) + 1)}
}

// holds reports whether the log has the position.
func (s *server) holds(m marker.Mark) bool {
	n := int(m.Position) - 1
	if m.Term > s.term || n > len(s.log) {
		return false
	}
	for t, start := range s.starts {
		if t > m.Term && n > start {
			return false
		}
	}
	return true
}

// Dial opens a connection.
func (w *world) Dial(_ context.Context, d declarer.Server) (connpooler.Connection, marker.Mark, error) {
	time.Sleep(5 * time.Millisecond)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.servers {
		switch {
		case s.id != d.ID:
		case s.cut:
			return nil, marker.Mark{}, connpooler.ErrNoRoute
		case s.conns >= w.limit:
			return nil, marker.Mark{}, connpooler.ErrTooManyConnections
		default:
			s.conns++
			return &connection{server: s, values: make(map[string]string), prepared: make(map[string]string)}, s.position(), nil
		}
	}
	return nil, marker.Mark{}, connpooler.ErrConnectionRejected
}

// pending is an answer that is on its way.
type pending struct {
	answer declarer.Answer
	at     time.Time
	lost   bool
}

// connection is one to a server, with the server's side of it.
type connection struct {
	server   *server
	closed   bool
	values   map[string]string
	prepared map[string]string
	answers  []pending

	open    bool
	plain   bool
	failed  bool
	owner   string
	term    marker.Term
	written []record
}

var errBroken = errors.New("connection broken")

// Send has the server run all of r, one after the other.
func (c *connection) Send(r []declarer.Request, _ time.Time) error {
	w := c.server.world
	w.mu.Lock()
	defer w.mu.Unlock()
	if c.closed || c.server.cut {
		return errBroken
	}
	for i := range r {
		lost := false
		if r[i].ID != "" && w.random.IntN(1000) < w.broken {
			if w.random.IntN(2) == 0 {
				c.answers = append(c.answers, pending{lost: true})
				c.abort()
				return nil
			}
			lost = true
		}
		d := time.Duration(1+w.random.IntN(4)) * time.Millisecond
		if r[i].ID != "" && w.random.IntN(1000) < w.slow {
			d = time.Second
		}
		c.answers = append(c.answers, pending{answer: c.run(&r[i]), at: time.Now().Add(d), lost: lost})
		if lost {
			c.abort()
			return nil
		}
	}
	return nil
}

// abort rolls back what is open.
func (c *connection) abort() {
	c.open, c.failed, c.written, c.owner = false, false, nil, ""
}

// Receive waits for the next answer.
func (c *connection) Receive(a *declarer.Answer, deadline time.Time) error {
	c.server.world.mu.Lock()
	if len(c.answers) == 0 || c.closed {
		c.server.world.mu.Unlock()
		return errBroken
	}
	p := c.answers[0]
	c.server.world.mu.Unlock()
	if p.lost {
		return errBroken
	}
	if p.at.After(deadline) {
		time.Sleep(time.Until(deadline))
		return connpooler.ErrTimeout
	}
	time.Sleep(time.Until(p.at))
	c.answers = c.answers[1:]
	*a = p.answer
	return nil
}

func (c *connection) PendingAnswers() int { return len(c.answers) }

func (c *connection) Ended() bool { return c.closed }

func (c *connection) Close() {
	c.server.world.mu.Lock()
	defer c.server.world.mu.Unlock()
	if !c.closed {
		c.closed = true
		c.server.conns--
		c.abort()
	}
}

// run runs one request. The mutex is held.
func (c *connection) run(r *declarer.Request) declarer.Answer {
	a := c.execute(r)
	if c.open && a.Code != declarer.CodeNone && a.Code != declarer.CodeBusy {
		c.failed = true
	}
	a.Position = c.server.position()
	switch {
	case c.open && c.failed:
		a.State = declarer.StateFailed
	case c.open:
		a.State = declarer.StateTransaction
	}
	a.Body = []byte(a.Row)
	return a
}

func (c *connection) execute(r *declarer.Request) declarer.Answer {
	s, w := c.server, c.server.world
	refuse := func(code declarer.Code) declarer.Answer { return declarer.Answer{Code: code, Detail: "refused"} }
	verb, item, value, shape := c.meaning(r)
	switch verb {
	case declarer.VerbReset:
		clear(c.values)
		clear(c.prepared)
		return declarer.Answer{}
	case declarer.VerbSet:
		c.values[r.Name] = r.Argument
		return declarer.Answer{}
	case declarer.VerbPrepare:
		c.prepared[r.Name] = r.Argument
		return declarer.Answer{}
	case declarer.VerbRollback:
		c.abort()
		return declarer.Answer{}
	case declarer.VerbBegin, declarer.VerbBeginRead:
		if verb == declarer.VerbBegin && w.leader != s {
			return refuse(declarer.CodeReadOnly)
		}
		if !r.RequiredPosition.IsZero() && !s.holds(r.RequiredPosition) {
			return refuse(declarer.CodeLagging)
		}
		c.open, c.plain, c.term = true, verb == declarer.VerbBegin, s.term
		return declarer.Answer{}
	}
	w.history.arrived(c, r, shape)
	if c.failed {
		return refuse(declarer.CodeMalformed)
	}
	if w.random.IntN(1000) < w.busy {
		return refuse(declarer.CodeBusy)
	}
	deposed := c.open && c.plain && (w.leader != s || s.term != c.term)
	switch verb {
	case declarer.VerbRead:
		if deposed {
			return refuse(declarer.CodeReadOnly)
		}
		if !r.RequiredPosition.IsZero() && !s.holds(r.RequiredPosition) {
			return refuse(declarer.CodeLagging)
		}
		return declarer.Answer{Row: fmt.Sprint(s.latest(item, c.written))}
	case declarer.VerbWrite:
		if deposed || w.leader != s {
			return refuse(declarer.CodeReadOnly)
		}
		x := record{term: s.term, id: r.ID, item: item, value: value}
		if c.open {
			c.written = append(c.written, x)
		} else {
			s.log = append(s.log, x)
		}
		return declarer.Answer{}
	case declarer.VerbCommit:
		if deposed && len(c.written) > 0 {
			c.abort()
			return refuse(declarer.CodeReadOnly)
		}
		s.log = append(s.log, c.written...)
		c.abort()
		return declarer.Answer{}
	}
	return refuse(declarer.CodeMalformed)
}

// meaning resolves a statement: READ item, WRITE item value, or what was prepared.
func (c *connection) meaning(r *declarer.Request) (verb declarer.Verb, item string, value int, shape string) {
	text := r.Text
	verb = r.Verb
	if r.Verb == declarer.VerbExecute {
		shape = c.prepared[r.Name]
		text = shape + " " + r.Argument
	}
	f := strings.Fields(text)
	if len(f) == 0 {
		return verb, "", 0, shape
	}
	switch f[0] {
	case "READ", "r", "r2":
		return declarer.VerbRead, f[1], 0, shape
	case "WRITE", "w":
		_, _ = fmt.Sscan(f[2], &value)
		return declarer.VerbWrite, f[1], value, shape
	case "COMMIT":
		return declarer.VerbCommit, "", 0, shape
	}
	return verb, "", 0, shape
}

// latest returns the highest value of the item, zero for none. Callers write higher and
// higher values, so this shows each write that the log has.
func (s *server) latest(item string, own []record) int {
	v := 0
	for _, r := range slices.Concat(s.log, own) {
		if r.item == item {
			v = max(v, r.value)
		}
	}
	return v
}
