package runner

import (
	"sync"
	"syscall"
	"time"

	"github.com/cuminwick/cuminwick/internal/bench/disturber"
	"github.com/cuminwick/cuminwick/internal/soak/checker"
	"github.com/cuminwick/cuminwick/internal/soak/planner"
	"github.com/cuminwick/cuminwick/internal/soak/replicator"
	"github.com/cuminwick/cuminwick/internal/soak/storekeeper"
)

// contact is how long before a planned stop nothing else may have been wrong for it to
// count: what a fault leaves behind is settled within a second.
const contact = time.Second

// trouble carries faults out.
type trouble struct {
	deployment *deployment

	mu    sync.Mutex
	spans []span
	stops []checker.Stop
	wrong []string
}

// span is a fault that was carried out.
type span struct {
	fault      planner.Fault
	began, end time.Time
}

// injection is one fault under way.
type injection struct {
	trouble *trouble
	fault   planner.Fault
}

// run carries the fault out, unless another one is at work on its target.
func (x *injection) run(g *sync.WaitGroup) {
	defer g.Done()
	d, f := x.trouble.deployment, x.fault
	switch f.Kind {
	case planner.KindKill, planner.KindPause, planner.KindStop, planner.KindIsolate, planner.KindSilence:
		h := d.hosts[f.Target%len(d.hosts)]
		if h.busy.TryLock() {
			defer h.busy.Unlock()
			x.host(h)
		}
	case planner.KindPrimaryCrash, planner.KindServerMute, planner.KindServerSilence, planner.KindReplicaDeaf:
		s := x.pick()
		if s != nil && s.busy.TryLock() {
			defer s.busy.Unlock()
			x.server(s)
		}
	default:
		if d.storeBusy.TryLock() {
			defer d.storeBusy.Unlock()
			x.store()
		}
	}
}

// note writes down that the fault was at work since began.
func (x *injection) note(began time.Time) {
	x.trouble.mu.Lock()
	defer x.trouble.mu.Unlock()
	x.trouble.spans = append(x.trouble.spans, span{fault: x.fault, began: began, end: time.Now()})
}

func (x *injection) host(h *host) {
	began := time.Now()
	defer x.note(began)
	n := x.trouble.deployment.network
	switch x.fault.Kind {
	case planner.KindKill:
		h.signal(syscall.SIGKILL)
		h.await(time.Minute)
		time.Sleep(x.fault.For)
		x.trouble.restart(h)
	case planner.KindStop:
		h.signal(syscall.SIGTERM)
		x.trouble.stopped(h, began)
		time.Sleep(x.fault.For / 4)
		x.trouble.restart(h)
	case planner.KindPause:
		h.signal(syscall.SIGSTOP)
		time.Sleep(x.fault.For)
		h.signal(syscall.SIGCONT)
	case planner.KindIsolate:
		n.Isolate(h.Name, disturber.IsolatedExceptCallers)
		time.Sleep(x.fault.For)
		n.Isolate(h.Name, disturber.NotIsolated)
	case planner.KindSilence:
		n.Silence(h.Name, "store")
		for _, o := range x.trouble.deployment.hosts {
			n.Silence(h.Name, o.Name)
		}
	}
}

// stopped waits for the end of a planned stop.
func (t *trouble) stopped(h *host, at time.Time) {
	// The process must have ended within its grace; machines under load get as long again.
	if !h.await(2 * grace) {
		t.fail("drain: " + h.Name + " still runs after twice its grace")
		h.signal(syscall.SIGKILL)
		h.await(time.Minute)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stops = append(t.stops, checker.Stop{Host: h.Name, At: at, Grace: time.Since(at)})
}

func (t *trouble) restart(h *host) {
	if err := h.start(); err != nil {
		t.fail("start: " + err.Error())
	}
}

func (t *trouble) fail(what string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.wrong = append(t.wrong, what)
}

// pick returns the server that the fault is for, nil if there is none such.
func (x *injection) pick() *server {
	d := x.trouble.deployment
	g := d.groups[x.fault.Target%groups]
	first := x.fault.Target % groups * servers
	l := d.servers[first : first+servers]
	if x.fault.Kind != planner.KindPrimaryCrash && x.fault.Kind != planner.KindReplicaDeaf {
		return l[x.fault.Target/groups%servers]
	}
	for _, s := range l {
		if (s.Server == g.Leader()) == (x.fault.Kind == planner.KindPrimaryCrash) {
			return s
		}
	}
	return nil
}

func (x *injection) server(s *server) {
	defer x.note(time.Now())
	g := s.Group
	switch x.fault.Kind {
	case planner.KindPrimaryCrash:
		g.Break(s.Server, replicator.State{Down: true})
		s.Close()
		time.Sleep(x.fault.For)
		if err := s.Open(""); err != nil {
			x.trouble.fail("start: " + err.Error())
		}
		g.Break(s.Server, replicator.State{})
	case planner.KindServerMute:
		g.Break(s.Server, replicator.State{Mute: true})
		time.Sleep(x.fault.For)
		g.Break(s.Server, replicator.State{})
	case planner.KindReplicaDeaf:
		g.Break(s.Server, replicator.State{Deaf: true})
		time.Sleep(x.fault.For)
		g.Break(s.Server, replicator.State{})
	case planner.KindServerSilence:
		s.Silence()
	}
}

func (x *injection) store() {
	defer x.note(time.Now())
	s := x.trouble.deployment.store
	if x.fault.Kind == planner.KindStoreForgets {
		s.Forget()
		return
	}
	s.Break(storeFaults[x.fault.Kind])
	time.Sleep(x.fault.For)
	s.Break(storekeeper.Fault{})
}

var storeFaults = map[planner.Kind]storekeeper.Fault{
	planner.KindStoreSilent: {Way: storekeeper.WaySilent},
	planner.KindStoreBusy:   {Way: storekeeper.WayBusy},
	planner.KindStoreReset:  {Way: storekeeper.WayReset},
	planner.KindStoreSlow:   {Delay: 250 * time.Millisecond},
	planner.KindStoreLoses:  {Lost: 400},
}

// calm marks the planned stops beside which nothing else was wrong.
func (t *trouble) calm() []checker.Stop {
	l := t.stops
	for i, s := range l {
		l[i].Calm = true
		for _, x := range t.spans {
			same := x.fault.Kind == planner.KindStop && x.began.Equal(s.At)
			if !same && x.began.Before(s.At.Add(s.Grace)) && x.end.After(s.At.Add(-contact)) {
				l[i].Calm = false
			}
		}
	}
	return l
}
