package main

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// entry is one commit in the log of an instance.
type entry struct {
	term int
	id   string
	item string
	data string
	at   time.Time
}

// instance is one server of a group. The group's mutex guards its fields.
type instance struct {
	group *group
	id    string
	zone  string

	address  string
	listener net.Listener
	conns    map[net.Conn]struct{}
	// log is what it has received, term the newest term it knows, paused that of its pause.
	log    []entry
	term   int
	paused int
	// lag is how late it receives, down that it doesn't run, draining that it will end.
	lag      time.Duration
	down     bool
	draining bool
	// incarnation counts its starts, so that connections of an earlier one end.
	incarnation int
	born        int64
	sequence    int
}

// execution is a caller's statement that ran.
type execution struct {
	at       time.Time
	id       string
	who      string
	instance string
	group    string
	text     string
}

// group is one service with its instances.
type group struct {
	name string
	ip   string
	// workTime is how long a statement occupies its slot.
	workTime time.Duration
	// synchronous is how many replicas must have received a commit before it is acknowledged.
	synchronous int
	record      *record

	mu        sync.Mutex
	instances []*instance
	primary   *instance
	// leads is false while nobody leads.
	leads bool
	term  int
	runs  []execution
	// signatures counts the signatures that were given.
	signatures int
	// onTakeOver, if not nil, is called with the new primary and its log, with the mutex held.
	onTakeOver func(i *instance, log []entry)
}

// What the deployment pomocna-linia has: how late replicas receive, how long a promote takes, and how many statements an
// instance runs at a time.
const (
	usualLag    = 8 * time.Millisecond
	promoteTime = time.Second
	slots       = 3
)

func newGroup(name, ip string, r *record) *group {
	return &group{name: name, ip: ip, workTime: 3 * time.Millisecond, record: r, term: 1}
}

// add starts an instance. The first one is the primary, a later one has the primary's log.
func (g *group) add(id, zone string) (*instance, error) {
	i := &instance{group: g, id: id, zone: zone, lag: usualLag, down: true}
	g.mu.Lock()
	g.instances = append(g.instances, i)
	if g.primary == nil {
		g.primary, g.leads = i, true
	}
	i.term, i.log = g.primary.term, append([]entry(nil), g.primary.log...)
	if i.term == 0 {
		i.term = 1
	}
	g.mu.Unlock()
	return i, i.start()
}

// start lets the instance listen again, with the log that it has.
func (i *instance) start() error {
	a := i.address
	if a == "" {
		a = i.group.ip + ":0"
	}
	l, err := net.Listen("tcp4", a)
	if err != nil {
		return err
	}
	g := i.group
	g.mu.Lock()
	defer g.mu.Unlock()
	i.address, i.listener, i.down, i.conns = l.Addr().String(), l, false, make(map[net.Conn]struct{})
	i.incarnation++
	i.born, i.sequence, i.paused = time.Now().UnixMilli(), 0, 0
	go i.accept(l)
	return nil
}

// crash ends the instance without a word.
func (i *instance) crash() {
	g := i.group
	g.mu.Lock()
	defer g.mu.Unlock()
	i.down = true
	i.listener.Close()
	for c := range i.conns {
		c.Close()
	}
}

func (i *instance) accept(l net.Listener) {
	slot := make(chan struct{}, slots)
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		g := i.group
		g.mu.Lock()
		i.conns[c] = struct{}{}
		n := i.incarnation
		g.mu.Unlock()
		go (&conn{instance: i, conn: c, slots: slot, incarnation: n, values: map[string]string{}, prepared: map[string]string{}}).serve()
	}
}

// replicate carries commits from the primary to its replicas until stop is closed, also from one that has stepped
// down.
func (g *group) replicate(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(2 * time.Millisecond):
		}
		g.mu.Lock()
		if !g.primary.down {
			for _, i := range g.instances {
				g.feed(i)
			}
		}
		g.mu.Unlock()
	}
}

// feed lets a replica receive what is old enough. The caller holds the mutex.
func (g *group) feed(i *instance) {
	p := g.primary
	if i == p || i.down || i.paused > 0 {
		return
	}
	if i.term < p.term {
		// What the primary of the newest term lacks is rolled back.
		n := 0
		for n < len(i.log) && n < len(p.log) && i.log[n] == p.log[n] {
			n++
		}
		i.log, i.term = i.log[:n], p.term
	}
	for len(i.log) < len(p.log) && time.Since(p.log[len(i.log)].at) >= i.lag {
		i.log = append(i.log, p.log[len(i.log)])
	}
}

// awaitReplicas waits until enough replicas have received the log up to n, and returns false if the instance has ended
// or lost the lead before. The caller holds the mutex, which is released meanwhile.
func (g *group) awaitReplicas(i *instance, n, incarnation int) bool {
	for {
		have := 0
		for _, o := range g.instances {
			if o != i && !o.down && o.term == i.term && len(o.log) >= n {
				have++
			}
		}
		if i.down || i.incarnation != incarnation || g.primary != i {
			return false
		}
		if have >= g.synchronous {
			return true
		}
		g.mu.Unlock()
		time.Sleep(time.Millisecond)
		g.mu.Lock()
	}
}

// promote has the instance lead the next term after promoteTime. It returns false if the instance doesn't run.
func (g *group) promote(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, i := range g.instances {
		if i.id != id || i.down {
			continue
		}
		if g.leads && g.primary == i {
			return true
		}
		time.AfterFunc(promoteTime, func() { g.takeOver(i) })
		return true
	}
	return false
}

func (g *group) takeOver(i *instance) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if i.down || g.leads && g.primary == i {
		return
	}
	g.term++
	i.term, i.paused = g.term, 0
	g.primary, g.leads = i, true
	g.record.line("%s leads %s in term %d with %d commits", i.id, g.name, g.term, len(i.log))
	if g.onTakeOver != nil {
		g.onTakeOver(i, i.log)
	}
}

// leader returns the instance that leads and runs, nil if none does.
func (g *group) leader() *instance {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leads && !g.primary.down {
		return g.primary
	}
	return nil
}

// setLag sets how late an instance receives.
func (g *group) setLag(i *instance, d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	i.lag = d
}

// setDraining marks an instance as about to end.
func (g *group) setDraining(i *instance) {
	g.mu.Lock()
	defer g.mu.Unlock()
	i.draining = true
}

// copyRuns returns the callers' statements that ran.
func (g *group) copyRuns() []execution {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]execution(nil), g.runs...)
}

// report returns the instance's entry for the store, false while it is down.
func (i *instance) report() (map[string]any, bool) {
	g := i.group
	g.mu.Lock()
	defer g.mu.Unlock()
	role, state := "replica", "ready"
	if g.leads && g.primary == i {
		role = "primary"
	}
	if i.draining {
		state = "draining"
	}
	i.sequence++
	return map[string]any{
		"backend": g.name, "address": i.address, "zone": i.zone, "version": "v1", "capacity": slots, "state": state,
		"warmup_ms": 0, "db_role": role, "sequence": i.sequence, "born": i.born,
	}, !i.down
}

// position returns the end of the instance's log. The caller holds the mutex.
func (i *instance) position() string { return fmt.Sprintf("%d.%d", i.term, len(i.log)) }

// has reports whether the instance's log holds the position. The caller holds the mutex.
func (i *instance) has(position string) bool {
	t, n, ok := strings.Cut(position, ".")
	term, err1 := strconv.Atoi(t)
	number, err2 := strconv.Atoi(n)
	if !ok || err1 != nil || err2 != nil {
		return false
	}
	return i.term > term || i.term == term && len(i.log) >= number
}

// conn is one connection to an instance.
type conn struct {
	instance    *instance
	conn        net.Conn
	slots       chan struct{}
	incarnation int
	who         string

	values   map[string]string
	prepared map[string]string
	open     bool
	failed   bool
	writable bool
	term     int
	written  []entry
	// committed is the length of the log that replicas must have before the answer, zero for none.
	committed int
}

func (c *conn) serve() {
	defer c.conn.Close()
	defer c.forget()
	r := bufio.NewReader(c.conn)
	for {
		l, err := r.ReadString('\n')
		if err != nil {
			return
		}
		a, ok := c.answer(strings.TrimSuffix(l, "\r\n"))
		if _, err := c.conn.Write([]byte(a)); err != nil || !ok {
			return
		}
	}
}

func (c *conn) forget() {
	g := c.instance.group
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(c.instance.conns, c.conn)
}

// answer returns the answer to one line, and false if the connection ends then.
func (c *conn) answer(line string) (string, bool) {
	f := strings.SplitN(line, " ", 3)
	i, g := c.instance, c.instance.group
	if f[0] == "STARTUP" && len(f) == 3 {
		who, id, _ := strings.Cut(f[2], " ")
		if f[1] != g.name || id != "" && id != i.id {
			return "ERR MISROUTED " + i.id + "\r\n", false
		}
		c.who = who
		g.mu.Lock()
		defer g.mu.Unlock()
		return "READY I " + i.position() + "\r\n", true
	}
	if f[0] != "QUERY" || len(f) != 3 {
		return "", false
	}
	if works(f[2]) {
		c.slots <- struct{}{}
		time.Sleep(g.workTime)
		<-c.slots
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if i.down || i.incarnation != c.incarnation {
		return "", false
	}
	a := c.execute(f[1], f[2])
	if c.committed > 0 && !g.awaitReplicas(i, c.committed, c.incarnation) {
		return "", false
	}
	c.committed = 0
	return a + "READY " + c.state() + " " + i.position() + "\r\n", true
}

// works reports whether a statement occupies a slot.
func works(text string) bool {
	if rest, ok := strings.CutPrefix(text, "AFTER "); ok {
		_, text, _ = strings.Cut(rest, " ")
	}
	switch w, _, _ := strings.Cut(text, " "); w {
	case "READ", "WRITE", "EXEC", "COMMIT", "STATUS":
		return true
	}
	return false
}

func (c *conn) state() string {
	switch {
	case c.open && c.failed:
		return "E"
	case c.open:
		return "T"
	}
	return "I"
}

func (c *conn) refuse(code string) string {
	c.failed = c.open
	return "ERR " + code + " " + c.instance.id + "\r\n"
}

// execute runs one statement. The caller holds the group's mutex.
func (c *conn) execute(id, text string) string {
	i, g := c.instance, c.instance.group
	if rest, ok := strings.CutPrefix(text, "AFTER "); ok {
		p, t, _ := strings.Cut(rest, " ")
		if !i.has(p) {
			return c.refuse("LAGGING")
		}
		text = t
	}
	word, rest, _ := strings.Cut(text, " ")
	leads := g.leads && g.primary == i
	if c.open && c.failed && word != "ROLLBACK" {
		return c.refuse("MALFORMED")
	}
	switch word {
	case "SET":
		n, v, _ := strings.Cut(rest, " ")
		c.values[n] = v
	case "PREPARE":
		n, v, _ := strings.Cut(rest, " ")
		c.prepared[n] = v
	case "DEALLOC":
		delete(c.prepared, rest)
	case "RESET":
		clear(c.values)
		clear(c.prepared)
	case "ROLLBACK":
		c.open, c.failed, c.written = false, false, nil
	case "BEGIN":
		if rest == "" && !leads {
			return c.refuse("READONLY")
		}
		c.open, c.writable, c.term, c.written = true, rest == "", g.term, nil
	case "STATUS":
		return c.status()
	case "DEMOTE":
		if t, _ := strconv.Atoi(rest); leads && i.term < t {
			g.leads = false
			g.record.line("%s steps down", i.id)
		}
		return c.status()
	case "PAUSE":
		if t, _ := strconv.Atoi(rest); !leads && t > i.term {
			i.paused = t
		}
		return c.status()
	case "RESUME":
		i.paused = 0
		return c.status()
	default:
		return c.access(id, text)
	}
	return "DONE -\r\n"
}

// access runs a read, a write, a prepared statement or a commit. The caller holds the group's mutex.
func (c *conn) access(id, text string) string {
	i, g := c.instance, c.instance.group
	word, rest, _ := strings.Cut(text, " ")
	if word == "EXEC" {
		n, arguments, _ := strings.Cut(rest, " ")
		p, ok := c.prepared[n]
		if !ok {
			return c.refuse("NOSTMT")
		}
		word, _, _ = strings.Cut(p, " ")
		rest = arguments
	}
	deposed := c.open && c.writable && (!g.leads || g.primary != i || g.term != c.term)
	item, data, _ := strings.Cut(rest, " ")
	rows := ""
	switch word {
	case "READ":
		if deposed {
			return c.refuse("READONLY")
		}
		if d, ok := c.latest(rest); ok {
			rows = "ROW " + d + "\r\n"
		}
	case "WRITE":
		if deposed || !g.leads || g.primary != i {
			return c.refuse("READONLY")
		}
		e := entry{term: g.term, id: id, item: item, data: data, at: time.Now()}
		if c.open {
			c.written = append(c.written, e)
		} else {
			i.log = append(i.log, e)
			c.committed = len(i.log)
		}
	case "COMMIT":
		if !c.open || deposed && len(c.written) > 0 {
			c.open, c.written = false, nil
			return c.refuse("READONLY")
		}
		for _, e := range c.written {
			e.at = time.Now()
			i.log = append(i.log, e)
			c.committed = len(i.log)
		}
		c.open, c.written = false, nil
	default:
		return c.refuse("MALFORMED")
	}
	g.runs = append(g.runs, execution{at: time.Now(), id: id, who: c.who, instance: i.id, group: g.name, text: text})
	g.signatures++
	return fmt.Sprintf("%sDONE 7.%x.%s\r\n", rows, g.signatures, i.id)
}

// latest returns the data of an item, false if it was never written. The caller holds the group's mutex.
func (c *conn) latest(item string) (string, bool) {
	for _, l := range [][]entry{c.written, c.instance.log} {
		for k := len(l) - 1; k >= 0; k-- {
			if l[k].item == item {
				return l[k].data, true
			}
		}
	}
	return "", false
}

// status returns the answer to STATUS. The caller holds the group's mutex.
func (c *conn) status() string {
	i, g, role := c.instance, c.instance.group, "replica"
	if g.leads && g.primary == i {
		role = "primary"
	}
	return fmt.Sprintf("ROW %s %d %s %d %d 0 %d\r\nDONE -\r\n", role, i.term, i.position(), i.paused, i.lag.Milliseconds(), len(i.conns))
}
