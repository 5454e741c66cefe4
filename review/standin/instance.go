package main

import (
	"bufio"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	slots     = 2
	queue     = 16
	workTime  = 3 * time.Millisecond
	handshake = 12 * time.Millisecond
	heartbeat = 1200 * time.Millisecond
)

// instance is one database instance.
type instance struct {
	group *group
	id    string
	zone  string
	// lag is the mean time until a commit arrives at this instance, wire the part of it on the network.
	lag, wire time.Duration
	slots     chan struct{}

	// The group's mutex guards the following fields.
	term    uint64
	log     []entry
	down    bool
	boots   int
	born    int64
	nextAt  time.Time
	waiting int

	mu       sync.Mutex
	address  string
	listener net.Listener
	open     map[net.Conn]struct{}
}

func (i *instance) listen() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	l, err := listenAt(i.address)
	if err != nil {
		return err
	}
	i.listener, i.address, i.open = l, l.Addr().String(), make(map[net.Conn]struct{})
	go i.accept(l)
	return nil
}

func (i *instance) close() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.listener.Close()
	for c := range i.open {
		c.Close()
	}
}

func (i *instance) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		i.mu.Lock()
		i.open[c] = struct{}{}
		n := len(i.open)
		i.mu.Unlock()
		go (&connection{instance: i, conn: c, full: n > i.group.connections, values: make(map[string]string), prepared: make(map[string]string)}).run()
	}
}

// entrySpec returns the entry in the store, and false if the instance writes none.
func (i *instance) entrySpec(address string) (map[string]any, bool) {
	g := i.group
	g.mu.Lock()
	defer g.mu.Unlock()
	role := "replica"
	if g.primary == i {
		role = "primary"
	}
	return map[string]any{"backend": g.name, "address": address, "zone": i.zone, "version": "1", "capacity": slots, "state": "ready", "warmup_ms": 0, "sequence": 1, "db_role": role, "born": i.born}, !i.down
}

// connection is one connection with its session state and transaction.
type connection struct {
	instance *instance
	conn     net.Conn
	full     bool
	values   map[string]string
	prepared map[string]string

	open, failed, writable bool
	term                   uint64
	written                []entry
}

func (c *connection) run() {
	i := c.instance
	defer func() {
		c.conn.Close()
		i.mu.Lock()
		delete(i.open, c.conn)
		i.mu.Unlock()
	}()
	s := bufio.NewScanner(c.conn)
	s.Buffer(nil, 1<<20)
	for s.Scan() {
		a, ok := c.answer(strings.TrimSuffix(s.Text(), "\r"))
		if !ok {
			return
		}
		if _, err := c.conn.Write([]byte(a)); err != nil {
			return
		}
	}
}

// work occupies a slot, and returns false if the queue is full.
func (i *instance) work(d time.Duration) bool {
	g := i.group
	g.mu.Lock()
	if i.waiting >= queue {
		g.mu.Unlock()
		return false
	}
	i.waiting++
	g.mu.Unlock()
	i.slots <- struct{}{}
	time.Sleep(d)
	<-i.slots
	g.mu.Lock()
	i.waiting--
	g.mu.Unlock()
	return true
}

func (c *connection) answer(line string) (string, bool) {
	i, g := c.instance, c.instance.group
	f := strings.SplitN(line, " ", 3)
	if f[0] == "STARTUP" {
		w := strings.Fields(line)
		switch {
		case len(w) < 3 || w[1] != g.name || len(w) > 3 && w[3] != i.id:
			return "ERR MISROUTED " + i.id + "\r\n", true
		case c.full:
			_, _ = c.conn.Write([]byte("ERR TOOMANY full\r\n"))
			return "", false
		case !i.work(handshake):
			return "ERR BUSY full\r\n", true
		}
		g.mu.Lock()
		defer g.mu.Unlock()
		return "READY I " + c.position() + "\r\n", true
	}
	if f[0] != "QUERY" || len(f) < 3 {
		return "", false
	}
	w := strings.Fields(f[2])
	switch w[0] {
	case "BEGIN", "ROLLBACK", "SET", "PREPARE", "DEALLOC", "RESET":
	default:
		if !i.work(workTime) {
			return c.reply("ERR BUSY full\r\n"), true
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	out := c.execute(f[1], w)
	if out == "-" {
		return "", false
	}
	return out + "READY " + c.state() + " " + c.position() + "\r\n", true
}

func (c *connection) reply(out string) string {
	c.instance.group.mu.Lock()
	defer c.instance.group.mu.Unlock()
	return out + "READY " + c.state() + " " + c.position() + "\r\n"
}

func (c *connection) position() string {
	return fmt.Sprintf("%d.%d", c.instance.term, len(c.instance.log)+1)
}

func (c *connection) state() string {
	switch {
	case c.open && c.failed:
		return "E"
	case c.open:
		return "T"
	}
	return "I"
}

func (c *connection) fail(code string) string {
	c.failed = c.open
	return "ERR " + code + " " + c.instance.id + "\r\n"
}

func (c *connection) end() { c.open, c.failed, c.written = false, false, nil }

func (c *connection) done(id string) string { return "DONE " + c.instance.id + "." + id + "\r\n" }

// execute runs one statement. The group's mutex is held.
func (c *connection) execute(id string, w []string) string {
	i, g := c.instance, c.instance.group
	if w[0] == "AFTER" && len(w) > 2 {
		t, n, _ := strings.Cut(w[1], ".")
		term, _ := strconv.ParseUint(t, 10, 64)
		number, _ := strconv.Atoi(n)
		if term > i.term || term == i.term && number > len(i.log)+1 {
			return c.fail("LAGGING")
		}
		w = w[2:]
	}
	leads := g.primary == i
	switch w[0] {
	case "STATUS", "DEMOTE":
		if w[0] == "DEMOTE" && leads && len(w) > 1 {
			if t, _ := strconv.ParseUint(w[1], 10, 64); t > i.term {
				g.record.add("demoted: %s of %s", i.id, g.name)
				g.primary, leads = nil, false
				g.changed.Broadcast()
			}
		}
		role := "replica"
		if leads {
			role = "primary"
		}
		return fmt.Sprintf("ROW %s %d %s 0 0 %d %d\r\nDONE -\r\n", role, i.term, c.position(), i.waiting, len(i.open))
	case "RESET":
		clear(c.values)
		clear(c.prepared)
		return "DONE -\r\n"
	case "ROLLBACK":
		c.end()
		return "DONE -\r\n"
	}
	if c.failed {
		return c.fail("MALFORMED")
	}
	deposed := c.open && c.writable && (!leads || c.term != g.term)
	switch w[0] {
	case "SET":
		c.values[w[1]] = strings.Join(w[2:], " ")
		return "DONE -\r\n"
	case "PREPARE":
		c.prepared[w[1]] = w[2]
		return "DONE -\r\n"
	case "DEALLOC":
		delete(c.prepared, w[1])
		return "DONE -\r\n"
	case "BEGIN":
		if len(w) == 1 && !leads {
			return c.fail("READONLY")
		}
		c.open, c.writable, c.term = true, len(w) == 1, g.term
		return "DONE -\r\n"
	case "EXEC":
		k, ok := c.prepared[w[1]]
		if !ok {
			return c.fail("NOSTMT")
		}
		w = append([]string{k}, w[2:]...)
	}
	switch w[0] {
	case "READ":
		if deposed {
			return c.fail("READONLY")
		}
		return "ROW " + i.latest(w[1], c.written) + "\r\n" + c.done(id)
	case "WRITE":
		if deposed || !leads {
			return c.fail("READONLY")
		}
		e := entry{id: id, item: w[1], data: strings.Join(w[2:], " ")}
		if c.open {
			c.written = append(c.written, e)
			return c.done(id)
		}
		return c.commit(id, []entry{e})
	case "COMMIT":
		l := c.written
		c.end()
		if len(l) == 0 {
			return c.done(id)
		}
		if deposed {
			return c.fail("READONLY")
		}
		return c.commit(id, l)
	}
	return c.fail("MALFORMED")
}

func (c *connection) commit(id string, l []entry) string {
	switch code := c.instance.group.commit(c.instance, l); code {
	case "":
		return c.done(id)
	case "-":
		return code
	default:
		return c.fail(code)
	}
}

// latest returns the value of the item. The group's mutex is held.
func (i *instance) latest(item string, own []entry) string {
	for _, l := range [][]entry{own, i.log} {
		for _, e := range slices.Backward(l) {
			if e.item == item {
				return e.data
			}
		}
	}
	return "none"
}
