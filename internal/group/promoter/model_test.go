package promoter_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/backend/controller"
	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/outcome/recorder"
	"github.com/cuminwick/cuminwick/internal/platform/accessor"
)

const (
	errTimeout = errors.ConstError("no answer")
	errRefused = errors.ConstError("refused")
	timeout    = 150 * time.Millisecond
)

// event is a function to call at a virtual time; n orders events of the same time.
type event struct {
	at time.Duration
	n  int
	do func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].n < e[j].n
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	o := *e
	x := o[len(o)-1]
	*e = o[:len(o)-1]
	return x
}

// record is one entry of an instance's log; id names the write that made it.
type record struct {
	term    marker.Term
	id      int
	row     string
	outcome recorder.Outcome
}

// instance is a fake of a backend server.
type instance struct {
	w         *simulation
	name      string
	log       []record
	accepted  marker.Term
	role      controller.Role
	following string
	// lastContact is when the instance last received from its primary, synced says that its log was
	// then a prefix of the primary's.
	lastContact time.Duration
	synced      bool
	down        bool
	paused      bool
	lagging     bool
	inbox       []func()
}

func (i *instance) last() marker.Mark {
	if len(i.log) == 0 {
		return marker.Mark{}
	}
	return marker.Mark{Term: i.log[len(i.log)-1].term, Position: marker.Position(len(i.log))}
}

func (i *instance) status() controller.Status {
	s := controller.Status{BackendServer: i.name, Role: i.role, Term: i.accepted, Last: i.last(), Following: i.following}
	for n := len(i.log); n > 0 && i.log[n-1].term == s.Last.Term; n-- {
		s.TermStart = marker.Position(n)
		if n > 1 {
			s.PreviousTerm = i.log[n-2].term
		}
	}
	if i.role != controller.RolePrimary {
		s.SinceLastContact = i.w.now - i.lastContact
	}
	return s
}

func (i *instance) raise(t marker.Term) (controller.Status, error) {
	if t <= i.accepted {
		return controller.Status{}, errRefused
	}
	i.accepted = t
	if i.role == controller.RolePrimary {
		i.role = controller.RoleFenced
	}
	return i.status(), nil
}

func (i *instance) promote(t marker.Term) (controller.Status, error) {
	if t != i.accepted {
		return controller.Status{}, errRefused
	}
	if i.role != controller.RolePrimary {
		i.role, i.following = controller.RolePrimary, ""
		i.w.serial++
		i.log = append(i.log, record{term: t, id: -i.w.serial})
		i.w.promoted(i)
	}
	return i.status(), nil
}

func (i *instance) follow(t marker.Term, p string) (controller.Status, error) {
	if t < i.accepted {
		return controller.Status{}, errRefused
	}
	i.accepted, i.role, i.following = t, controller.RoleReplica, p
	i.lastContact, i.synced = i.w.now, false
	return i.status(), nil
}

// reply is the answer to an insert or a look-up.
type reply struct {
	mark marker.Mark
	row  recorder.Outcome
	id   int
}

func (i *instance) find(row string) reply {
	for _, r := range i.log {
		if r.row == row {
			return reply{mark: i.last(), row: r.outcome, id: r.id}
		}
	}
	return reply{}
}

// insert commits one transaction. If its row exists already, the transaction rolls back and the
// reply holds that row's outcome.
func (i *instance) insert(r record) (reply, error) {
	if i.role != controller.RolePrimary {
		return reply{}, errRefused
	}
	if r.row != "" {
		if o := i.find(r.row); o.row != "" {
			return o, nil
		}
	}
	r.term = i.accepted
	i.log = append(i.log, r)
	return reply{mark: i.last()}, nil
}

func (i *instance) loop() {
	i.w.after(20*time.Millisecond, i.loop)
	i.replicate()
}

// replicate copies the next entries of the followed server's log.
func (i *instance) replicate() {
	p := i.w.byName[i.following]
	if p == nil || i.role != controller.RoleReplica || i.down || i.paused || i.lagging || p.down || p.paused || i.w.isCut(i.name, p.name) || i.w.rng.Float64() < i.w.loss {
		return
	}
	same := p.role == controller.RolePrimary && p.accepted == i.accepted
	drained := p.role == controller.RoleFenced && p.accepted > i.accepted && i.synced
	if !same && !drained {
		return
	}
	n := 0
	if i.synced {
		n = len(i.log)
	}
	for n < len(i.log) && n < len(p.log) && i.log[n].id == p.log[n].id {
		n++
	}
	m := min(len(p.log), n+1+i.w.rng.IntN(8))
	i.log = append(i.log[:n:n], p.log[n:m]...)
	i.lastContact, i.synced = i.w.now, true
}

// receive handles a message now, or after the pause if the instance is paused. An instance that is
// down drops it.
func (i *instance) receive(f func()) {
	switch {
	case i.down:
	case i.paused:
		i.inbox = append(i.inbox, f)
	default:
		f()
	}
}

func (i *instance) resume() {
	i.paused = false
	s := i.inbox
	i.inbox = nil
	for _, f := range s {
		f()
	}
}

// platform is a fake of the platform's object store with one object.
type platform struct {
	object      accessor.Object
	down        bool
	loseAnswers bool
}

func (p *platform) get() (accessor.Object, error) {
	if p.object.Version == 0 {
		return accessor.Object{}, accessor.ErrNotFound
	}
	return p.object, nil
}

func (p *platform) put(o accessor.Object) (accessor.Object, error) {
	if o.Version != p.object.Version {
		return accessor.Object{}, accessor.ErrConflict
	}
	o.Version++
	p.object = o
	if p.loseAnswers {
		return accessor.Object{}, errTimeout
	}
	return o, nil
}

// simulation is one database group with its entry hosts in virtual time.
type simulation struct {
	now       time.Duration
	queue     events
	events    int
	rng       *rand.Rand
	serial    int
	instances []*instance
	byName    map[string]*instance
	hosts     []*host
	// cutLinks holds the name of each node that is cut off, and "a b" for each cut link.
	cutLinks map[string]bool
	// loss is the share of messages that are lost.
	loss              float64
	loseCommitAnswers bool
	// simultaneous makes hosts promote without a delay and without a claim.
	simultaneous bool
	// crashStep is the step at which the next promoting host crashes, empty for none.
	crashStep string
	platform  platform
	writes    []*write
	// acked are the ids of the acknowledged writes.
	acked         []int
	primaryOfTerm map[marker.Term]string
	violations    []string
}

func newSimulation(seed uint64, hosts int) *simulation {
	w := &simulation{rng: rand.New(rand.NewPCG(seed, 0)), byName: map[string]*instance{}, cutLinks: map[string]bool{}, primaryOfTerm: map[marker.Term]string{}}
	for _, n := range []string{"db-1", "db-2", "db-3"} {
		i := &instance{w: w, name: n, role: controller.RoleReplica}
		w.after(0, i.loop)
		w.instances = append(w.instances, i)
		w.byName[n] = i
	}
	for n := range hosts {
		w.hosts = append(w.hosts, newHost(w, fmt.Sprintf("entry-%d", n)))
	}
	return w
}

// promoted records a violation if two servers were primary under one term.
func (w *simulation) promoted(i *instance) {
	if o, ok := w.primaryOfTerm[i.accepted]; ok && o != i.name {
		w.violations = append(w.violations, fmt.Sprintf("%s and %s both primary of term %d", o, i.name, i.accepted))
	}
	w.primaryOfTerm[i.accepted] = i.name
}

func (w *simulation) after(d time.Duration, f func()) {
	w.events++
	heap.Push(&w.queue, event{at: w.now + d, n: w.events, do: f})
}

func (w *simulation) runUntil(t time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= t {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	w.now = t
}

func (w *simulation) isCut(a, b string) bool {
	return w.cutLinks[a] || w.cutLinks[b] || w.cutLinks[a+" "+b] || w.cutLinks[b+" "+a]
}

// send runs f after the delay of a message from a to b, unless the message is lost.
func (w *simulation) send(a, b string, f func()) {
	if w.isCut(a, b) || w.rng.Float64() < w.loss {
		return
	}
	w.after(time.Duration(1+w.rng.IntN(8))*time.Millisecond, f)
}

// ask calls instance i from host h and calls done once, with the answer or a time-out. The answer is
// delayed while the host is paused and dropped if the host was restarted.
func ask[T any](h *host, i *instance, req func() (T, error), done func(T, error)) {
	g := h.generation
	open := true
	var finish func(v T, err error)
	finish = func(v T, err error) {
		if d := h.until - h.w.now; d > 0 {
			h.w.after(d, func() { finish(v, err) })
			return
		}
		if open && h.generation == g {
			open = false
			done(v, err)
		}
	}
	h.w.send(h.name, i.name, func() {
		i.receive(func() {
			v, err := req()
			h.w.send(i.name, h.name, func() { finish(v, err) })
		})
	})
	h.w.after(timeout, func() {
		var z T
		finish(z, errTimeout)
	})
}

func (w *simulation) primary() *instance {
	var p *instance
	for _, i := range w.instances {
		if i.role == controller.RolePrimary && (p == nil || i.accepted > p.accepted) {
			p = i
		}
	}
	if p == nil {
		return w.instances[0]
	}
	return p
}

func (w *simulation) heal() {
	clear(w.cutLinks)
	w.loss, w.loseCommitAnswers, w.simultaneous, w.crashStep = 0, false, false, ""
	w.platform.down, w.platform.loseAnswers = false, false
	for _, i := range w.instances {
		i.down, i.lagging = false, false
		i.resume()
	}
}
