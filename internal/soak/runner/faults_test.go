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

// settleTime is the time after the end of a fault until its consequences are over. A planned stop is
// undisturbed only if no other fault was active during it or within this time before it.
const settleTime = time.Second

// injector carries out faults and records them.
type injector struct {
	deployment *deployment

	mu       sync.Mutex
	injected []injectedFault
	stops    []checker.Stop
	// findings are failures to start or stop a process or server.
	findings []string
}

// injectedFault is a fault that was carried out.
type injectedFault struct {
	fault planner.Fault
	// began and end are the times between which it was active.
	began, end time.Time
}

// injection carries out one fault.
type injection struct {
	injector *injector
	fault    planner.Fault
}

// run carries out the fault, unless another fault of its target is active.
func (x *injection) run(g *sync.WaitGroup) {
	defer g.Done()
	d, f := x.injector.deployment, x.fault
	switch f.Kind {
	case planner.KindStall:
		h := d.hosts[f.Target%len(d.hosts)]
		h.signal(syscall.SIGSTOP)
		time.Sleep(f.Duration)
		h.signal(syscall.SIGCONT)
	case planner.KindStoreCut:
		began := time.Now()
		h := d.hosts[f.Target%len(d.hosts)]
		h.storeCut.Store(true)
		time.Sleep(f.Duration)
		h.storeCut.Store(false)
		x.record(began)
	case planner.KindReload:
		d.hosts[f.Target%len(d.hosts)].reload()
	case planner.KindKill, planner.KindPause, planner.KindStop, planner.KindIsolate, planner.KindSilence:
		h := d.hosts[f.Target%len(d.hosts)]
		if h.faultLock.TryLock() {
			defer h.faultLock.Unlock()
			x.host(h)
		}
	case planner.KindPrimaryCrash, planner.KindPrimaryBlink, planner.KindServerMute, planner.KindServerSilence, planner.KindReplicaDeaf, planner.KindRepeat:
		x.lockServer(x.targetServer(), x.server)
	case planner.KindServerRefuses, planner.KindServerUnheard:
		x.lockServer(x.targetServer(), x.path)
	case planner.KindTwoCrash:
		x.twoCrash()
	case planner.KindOrdersLate, planner.KindHolderKill:
		began := time.Now()
		d.orders.disturb(f, x.injector)
		x.record(began)
	default:
		if d.storeFaultLock.TryLock() {
			defer d.storeFaultLock.Unlock()
			x.store()
		}
	}
}

// lockServer calls do with the server, unless there is none or another fault of it is active.
func (x *injection) lockServer(s *server, do func(s *server)) {
	if s != nil && s.faultLock.TryLock() {
		defer s.faultLock.Unlock()
		do(s)
	}
}

// record records that the fault was active from began until now.
func (x *injection) record(began time.Time) {
	x.injector.mu.Lock()
	defer x.injector.mu.Unlock()
	x.injector.injected = append(x.injector.injected, injectedFault{fault: x.fault, began: began, end: time.Now()})
}

// host carries out a fault of an entry host.
func (x *injection) host(h *host) {
	began := time.Now()
	defer x.record(began)
	n := x.injector.deployment.network
	switch x.fault.Kind {
	case planner.KindKill:
		h.signal(syscall.SIGKILL)
		h.await(time.Minute)
		time.Sleep(x.fault.Duration)
		x.injector.restart(h)
	case planner.KindStop:
		h.signal(syscall.SIGTERM)
		x.injector.awaitStop(h, began)
		time.Sleep(x.fault.Duration / 4)
		x.injector.restart(h)
	case planner.KindPause:
		h.signal(syscall.SIGSTOP)
		time.Sleep(x.fault.Duration)
		h.signal(syscall.SIGCONT)
	case planner.KindIsolate:
		n.Isolate(h.Name, disturber.IsolatedExceptCallers)
		time.Sleep(x.fault.Duration)
		n.Isolate(h.Name, disturber.NotIsolated)
	case planner.KindSilence:
		n.Silence(h.Name, "store")
		for _, o := range x.injector.deployment.hosts {
			n.Silence(h.Name, o.Name)
		}
	}
}

// awaitStop waits for the end of a planned stop that was requested at the given time, and records it.
func (t *injector) awaitStop(h *host, at time.Time) {
	// The process must end within its grace; twice that is allowed for machines under load.
	if !h.await(2 * grace) {
		t.fail("drain: " + h.Name + " still runs after twice its grace")
		h.signal(syscall.SIGKILL)
		h.await(time.Minute)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stops = append(t.stops, checker.Stop{Host: h.Name, At: at, Grace: time.Since(at), Allowed: grace})
}

// restart starts the host's process again.
func (t *injector) restart(h *host) {
	if err := h.start(); err != nil {
		t.fail("start: " + err.Error())
	}
}

// fail adds a finding.
func (t *injector) fail(finding string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.findings = append(t.findings, finding)
}

// targetServer returns the server of the fault: the primary for a crash, a replica for a deaf replica,
// any server of the group otherwise. It returns nil if there is none.
func (x *injection) targetServer() *server {
	d := x.injector.deployment
	if x.fault.Kind == planner.KindRepeat {
		return d.servers[x.fault.Target%len(d.servers)]
	}
	g := d.groups[x.fault.Target%groups]
	first := x.fault.Target % groups * serversPerGroup
	l := d.servers[first : first+serversPerGroup]
	switch x.fault.Kind {
	case planner.KindServerMute, planner.KindServerSilence:
		return l[x.fault.Target/groups%serversPerGroup]
	}
	for _, s := range l {
		if (s.Server == g.Primary()) == (x.fault.Kind != planner.KindReplicaDeaf) {
			return s
		}
	}
	return nil
}

// server carries out a fault of a backend server.
func (x *injection) server(s *server) {
	defer x.record(time.Now())
	g := s.Group
	switch x.fault.Kind {
	case planner.KindPrimaryCrash, planner.KindPrimaryBlink, planner.KindTwoCrash:
		x.crash(s)
	case planner.KindServerMute:
		g.SetFault(s.Server, replicator.ServerFault{Mute: true})
		time.Sleep(x.fault.Duration)
		g.SetFault(s.Server, replicator.ServerFault{})
	case planner.KindReplicaDeaf:
		g.SetFault(s.Server, replicator.ServerFault{Deaf: true})
		time.Sleep(x.fault.Duration)
		g.SetFault(s.Server, replicator.ServerFault{})
	case planner.KindRepeat:
		g.SetFault(s.Server, replicator.ServerFault{Repeats: true})
		time.Sleep(x.fault.Duration)
		g.SetFault(s.Server, replicator.ServerFault{})
	case planner.KindServerSilence:
		s.Silence()
	}
}

// crash ends a server for a while. It keeps its log.
func (x *injection) crash(s *server) {
	p := x.injector.deployment.paths[s.address()]
	s.Group.SetFault(s.Server, replicator.ServerFault{Down: true})
	s.Close()
	p.block()
	time.Sleep(x.fault.Duration)
	if err := s.Open(""); err != nil {
		x.injector.fail("start: " + err.Error())
	}
	s.Group.SetFault(s.Server, replicator.ServerFault{})
	if err := p.unblock(); err != nil {
		x.injector.fail("path: " + err.Error())
	}
}

// store carries out a fault of the store.
func (x *injection) store() {
	defer x.record(time.Now())
	s := x.injector.deployment.store
	if x.fault.Kind == planner.KindStoreForgets {
		s.DropHistory()
		return
	}
	s.SetFault(storeFaults[x.fault.Kind])
	time.Sleep(x.fault.Duration)
	s.SetFault(storekeeper.Fault{})
}

// storeFaults maps the kinds of fault to the store's faults, except that of a dropped history.
var storeFaults = map[planner.Kind]storekeeper.Fault{
	planner.KindStoreSilent: {Mode: storekeeper.ModeSilent},
	planner.KindStoreBusy:   {Mode: storekeeper.ModeBusy},
	planner.KindStoreReset:  {Mode: storekeeper.ModeReset},
	planner.KindStoreSlow:   {Delay: 250 * time.Millisecond},
	planner.KindStoreLoses:  {LostAnswersPerMille: 400},

	planner.KindStoreWatchesSilent: {SilentWatches: true},
}

// plannedStops returns the planned stops and marks those that no other fault disturbed.
func (t *injector) plannedStops() []checker.Stop {
	l := t.stops
	for i, s := range l {
		l[i].Undisturbed = true
		for _, x := range t.injected {
			if x.fault.Kind != planner.KindStop && x.began.Before(s.At.Add(s.Grace)) && x.end.After(s.At.Add(-settleTime)) {
				l[i].Undisturbed = false
			}
		}
	}
	return l
}
