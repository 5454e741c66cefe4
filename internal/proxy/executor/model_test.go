package executor_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/proxy/blackboard"
	"github.com/cuminwick/cuminwick/internal/proxy/connpooler"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
	"github.com/cuminwick/cuminwick/internal/proxy/executor"
	"github.com/cuminwick/cuminwick/internal/proxy/grouptracker"
)

// staleness is what the model's routes allow.
const staleness = 300 * time.Millisecond

// deployment is one entry host before the world.
type deployment struct {
	world    *world
	board    *blackboard.Board
	observer executor.Observer
	budgets  executor.RetryBudgets

	mu    sync.Mutex
	pools map[string]*connpooler.Pool
}

func newDeployment(w *world, zone string) *deployment {
	began := time.Now()
	d := &deployment{world: w, pools: make(map[string]*connpooler.Pool)}
	d.board = &blackboard.Board{Zone: zone, Region: "r", Regions: map[string]string{"z-0": "r", "z-1": "r", "z-2": "r"}, Now: func() time.Duration { return time.Since(began) + time.Hour }}
	d.observer = executor.Observer{Board: d.board, Pools: d}
	c := &declarer.Configuration{Version: 1, Routes: make(map[string]declarer.Route), IdleTransactionTimeout: time.Second}
	for name, k := range map[string]declarer.RouteKind{"primary": declarer.KindPrimary, "bounded": declarer.KindBounded, "own": declarer.KindReadYourWrites} {
		c.Routes[name] = declarer.Route{Database: name, Group: "db", Kind: k, Timeout: 400 * time.Millisecond, MaximumStaleness: staleness}
	}
	d.board.Configure(c)
	d.board.ReplaceServers(w.list())
	return d
}

func (d *deployment) Pool(id string) *connpooler.Pool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p := d.pools[id]; p != nil {
		return p
	}
	for _, s := range d.world.list() {
		if s.ID == id {
			d.pools[id] = &connpooler.Pool{Server: s, Dialer: d.world, Observer: d, Limit: 6}
			return d.pools[id]
		}
	}
	return nil
}

func (d *deployment) Connected(s declarer.Server, m marker.Mark) {
	d.board.Do(s.Group, func(g *grouptracker.Group) { g.RecordAnswer(s.ID, d.board.Time(), 0, m) })
}

func (d *deployment) Unreachable(s declarer.Server, err error) {
	d.board.RecordConnectionFailure(s.Group, s.ID, d.board.Time(), err)
}

func (d *deployment) Statement(*executor.Report) {}

func (d *deployment) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.pools {
		p.Close()
	}
}

// reply is what a caller is told.
type reply struct {
	code  declarer.Code
	row   string
	text  string
	state declarer.State
}

// caller is one end of a session, the test the other.
type caller struct {
	database string
	in       chan declarer.Statement
	out      chan reply
	stop     chan struct{}
	once     sync.Once
}

func newCaller(database string) *caller {
	return &caller{database: database, in: make(chan declarer.Statement), out: make(chan reply, 4), stop: make(chan struct{})}
}

func (c *caller) Start(time.Time) (string, string, error) { return c.database, "u", nil }

func (c *caller) Next(deadline time.Time) (declarer.Statement, error) {
	var t <-chan time.Time
	if !deadline.IsZero() {
		t = time.After(time.Until(deadline))
	}
	select {
	case s, ok := <-c.in:
		if !ok {
			return s, errBroken
		}
		return s, nil
	case <-t:
		return declarer.Statement{}, executor.ErrDeadline
	case <-c.stop:
		return declarer.Statement{}, executor.ErrDeadline
	}
}

func (c *caller) Interrupt()   { c.once.Do(func() { close(c.stop) }) }
func (c *caller) Ready() error { c.out <- reply{}; return nil }
func (c *caller) Close()       { close(c.out) }

func (c *caller) Refuse(k declarer.Code, _ string) error {
	c.out <- reply{code: k}
	return nil
}

func (c *caller) Done(s declarer.State) error {
	c.out <- reply{state: s}
	return nil
}

func (c *caller) Fail(k declarer.Code, text string, s declarer.State) error {
	c.out <- reply{code: k, text: text, state: s}
	return nil
}

func (c *caller) Forward(a *declarer.Answer, s declarer.State) error {
	c.out <- reply{code: a.Code, row: a.Row, state: s}
	return nil
}

// client drives one session with random work, and tells the history.
type client struct {
	name     string
	kind     string
	random   *rand.Rand
	history  *history
	caller   *caller
	session  *executor.Session
	n        int
	acked    acknowledgement
	prepared bool
}

func newClient(d *deployment, name, kind string, seed uint64) *client {
	c := newCaller(kind)
	s := &executor.Session{Caller: c, Board: d.board, Pools: d, Observer: &d.observer, RetryBudgets: &d.budgets, Reporter: d, Ready: func() bool { return true }}
	return &client{name: name, kind: kind, random: rand.New(rand.NewPCG(seed, 1)), history: d.world.history, caller: c, session: s}
}

// ask sends one statement and waits for its answer.
func (c *client) ask(text string) (string, reply) {
	c.n++
	id := fmt.Sprintf("%s.%d", c.name, c.n)
	return id, c.send(id, text)
}

func (c *client) send(id, text string) reply {
	c.caller.in <- parse(id, text)
	return <-c.caller.out
}

// parse reads the few statements of the model.
func parse(id, text string) declarer.Statement {
	s := declarer.Statement{ID: id, Text: text}
	word, rest, _ := strings.Cut(text, " ")
	name, argument, _ := strings.Cut(rest, " ")
	verbs := map[string]declarer.Verb{"BEGIN": declarer.VerbBegin, "BEGINREAD": declarer.VerbBeginRead, "COMMIT": declarer.VerbCommit, "ROLLBACK": declarer.VerbRollback, "READ": declarer.VerbRead, "WRITE": declarer.VerbWrite}
	s.Verb = verbs[word]
	switch word {
	case "SET":
		s.Verb, s.Name, s.Argument = declarer.VerbSet, name, argument
	case "PREPARE":
		s.Verb, s.Name, s.Argument, s.Writes = declarer.VerbPrepare, name, argument, argument == "w"
	case "EXEC":
		s.Verb, s.Name, s.Argument = declarer.VerbExecute, name, argument
	}
	return s
}

// run works for a while and leaves, now and then in the middle of a transaction.
func (c *client) run(steps int) {
	go c.session.Run()
	<-c.caller.out
	for range steps {
		switch c.random.IntN(8) {
		case 0, 1:
			c.write()
		case 2:
			c.transaction()
		case 3:
			c.set()
		case 4:
			c.execute()
		default:
			c.read()
		}
		time.Sleep(time.Duration(c.random.IntN(20)) * time.Millisecond)
	}
	if c.random.IntN(2) == 0 {
		c.ask("BEGIN")
		c.ask("READ x-" + c.name)
	}
	close(c.caller.in)
	for range c.caller.out {
	}
}

func (c *client) set() {
	v := strconv.Itoa(c.random.IntN(3))
	_, r := c.ask("SET zone " + v)
	if r.code == declarer.CodeNone {
		c.history.mu.Lock()
		c.history.values[c.name] = map[string]string{"zone": v}
		c.history.mu.Unlock()
	}
}

// item is the session's own in an own-writes route. The others share one, which they
// write and read through different entry hosts.
func (c *client) item() string {
	if c.kind == "own" {
		return "x-" + c.name
	}
	return "shared"
}

func (c *client) write() {
	v := c.history.next()
	id, r := c.ask(fmt.Sprintf("WRITE %s %d", c.item(), v))
	c.wrote(id, v, r.code)
}

func (c *client) wrote(id string, v int, k declarer.Code) {
	c.history.tell(id, c.item(), v, k)
	if k == declarer.CodeNone {
		c.acked = acknowledgement{id: id, item: c.item(), value: v, at: time.Now()}
	}
}

// shape is what the session prepares under the name that all sessions use.
func (c *client) shape() string {
	if c.name < "s5" {
		return "r"
	}
	return "r2"
}

func (c *client) execute() {
	if !c.prepared {
		c.ask("PREPARE s1 " + c.shape())
		c.prepared = true
	}
	c.n++
	id := fmt.Sprintf("%s.%d", c.name, c.n)
	c.history.mu.Lock()
	c.history.shapes[id] = c.shape()
	c.history.mu.Unlock()
	want := c.want()
	c.seen(id, c.send(id, "EXEC s1 "+c.item()), want)
}

// want is what a read that begins now must show at least.
func (c *client) want() acknowledgement {
	switch c.kind {
	case "bounded":
		return c.history.due(c.item(), time.Now().Add(-staleness))
	case "own":
		return c.acked
	}
	return c.history.due(c.item(), time.Now())
}

func (c *client) read() {
	want := c.want()
	id, r := c.ask("READ " + c.item())
	c.seen(id, r, want)
}

func (c *client) seen(id string, r reply, want acknowledgement) {
	if r.code != declarer.CodeNone {
		return
	}
	v, err := strconv.Atoi(r.row)
	if err != nil {
		c.history.mu.Lock()
		c.history.fault("%s is answered by %q", id, r.row)
		c.history.mu.Unlock()
		return
	}
	c.history.read(id, v, want)
}

// transaction writes twice and commits, or rolls back.
func (c *client) transaction() {
	c.ask("BEGIN")
	type line struct {
		id    string
		value int
	}
	var lines []line
	state := declarer.StateTransaction
	for range 2 {
		v := c.history.next()
		id, r := c.ask(fmt.Sprintf("WRITE %s %d", c.item(), v))
		state = r.state
		if r.code == declarer.CodeNone {
			lines = append(lines, line{id, v})
		} else {
			c.history.tell(id, c.item(), v, r.code)
		}
		time.Sleep(time.Duration(c.random.IntN(10)) * time.Millisecond)
	}
	end, k := "COMMIT", declarer.CodeAborted
	if c.random.IntN(4) == 0 {
		end = "ROLLBACK"
	}
	_, r := c.ask(end)
	if end == "COMMIT" {
		k = r.code
	}
	if state == declarer.StateFailed && k == declarer.CodeNone {
		c.history.mu.Lock()
		c.history.fault("%s commits a transaction that has failed", c.name)
		c.history.mu.Unlock()
	}
	for _, l := range lines {
		c.wrote(l.id, l.value, k)
	}
}

// faults makes things go wrong until ctx ends: promotions at any moment, replicas that
// lag for long, servers that are cut off for a while.
type faults struct {
	world   *world
	hosts   []*deployment
	random  *rand.Rand
	quality int
}

func (f *faults) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(20+f.random.IntN(120)) * time.Millisecond):
		}
		s := f.world.servers[f.random.IntN(len(f.world.servers))]
		switch f.random.IntN(f.quality) {
		case 0:
			f.world.promote(s)
			// Some hosts hear of it only later.
			for _, h := range f.hosts {
				if f.random.IntN(2) == 0 {
					h.board.ReplaceServers(f.world.list())
				}
			}
		case 1:
			f.lag(s)
		case 2:
			f.cut(s)
		default:
			for _, h := range f.hosts {
				h.board.ReplaceServers(f.world.list())
			}
		}
	}
}

func (f *faults) lag(s *server) {
	f.world.mu.Lock()
	defer f.world.mu.Unlock()
	s.delay = time.Duration(1+f.random.IntN(400)) * time.Millisecond
}

func (f *faults) cut(s *server) {
	f.world.mu.Lock()
	defer f.world.mu.Unlock()
	if s != f.world.leader {
		s.cut = !s.cut
	}
}

// play runs sessions at two entry hosts through a few seconds of faults.
func play(seed uint64, busy, broken, slow int) []string {
	h := newHistory()
	w := newWorld(rand.New(rand.NewPCG(seed, 2)), h)
	w.busy, w.broken, w.slow = busy, broken, slow
	ctx, cancel := context.WithCancel(context.Background())
	for _, s := range w.servers {
		go s.loop(ctx)
	}
	hosts := []*deployment{newDeployment(w, "z-0"), newDeployment(w, "z-1")}
	go (&faults{world: w, hosts: hosts, random: rand.New(rand.NewPCG(seed, 3)), quality: 6}).run(ctx)
	var g sync.WaitGroup
	for i := range 9 {
		kind := []string{"primary", "bounded", "own"}[i%3]
		c := newClient(hosts[i%2], fmt.Sprintf("s%d", i), kind, seed+uint64(i))
		g.Go(func() { c.run(30) })
	}
	g.Wait()
	cancel()
	for _, d := range hosts {
		d.close()
	}
	synctest.Wait()
	time.Sleep(10 * time.Second)
	w.mu.Lock()
	defer w.mu.Unlock()
	return h.check(w.leader.log)
}

// Staff work through two entry hosts while primaries are replaced at any moment,
// replicas lag or are cut off, servers are busy, and answers are lost. Whatever a caller
// is told must be true: a line that was saved shows and stays unless a promotion
// dropped it, nothing is saved twice, and what "did not run" has no effect.
func TestSessionsUnderFaults(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		seed := rapid.Uint64().Draw(r, "seed")
		busy := rapid.IntRange(0, 100).Draw(r, "busy")
		broken := rapid.IntRange(0, 60).Draw(r, "broken")
		slow := rapid.IntRange(0, 20).Draw(r, "slow")
		var f []string
		synctest.Test(t, func(*testing.T) { f = play(seed, busy, broken, slow) })
		if len(f) > 0 {
			r.Fatalf("%d faults, the first: %s", len(f), f[0])
		}
	})
}
