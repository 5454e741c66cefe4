package runner

import (
	"context"

	"github.com/cuminwick/cuminwick/internal/bench/definer"
	"github.com/cuminwick/cuminwick/internal/bench/disturber"
	"github.com/cuminwick/cuminwick/internal/clock/scheduler"
)

// isolateHost isolates one entry host, chosen by the seed.
func (i *faultInjector) isolateHost(how disturber.Isolation) {
	l := i.system.Hosts()
	h := l[i.run.Seed/definer.RaceFaultCount()%uint64(len(l))].Name
	w := i.system.Network()
	i.recordEvent(h + " is cut off")
	w.Isolate(h, how)
	i.addRevert(func() { w.Isolate(h, disturber.NotIsolated) })
	if how == disturber.FullyIsolated {
		// The load balancer detects the failure at once, as for a killed host.
		i.system.SetBalanced(h, false)
		i.addRevert(func() { i.system.SetBalanced(h, true) })
	}
}

// flapPlatform stops and restarts the platform repeatedly until the fault is reverted.
func (i *faultInjector) flapPlatform(ctx context.Context) {
	x, stop := context.WithCancel(ctx)
	f := &platformFlapper{system: i.system, ended: make(chan struct{})}
	go f.run(x)
	i.addRevert(func() {
		stop()
		<-f.ended
	})
}

// platformFlapper stops and starts the platform alternately and leaves it started.
type platformFlapper struct {
	system System
	ended  chan struct{}
}

func (f *platformFlapper) run(ctx context.Context) {
	defer close(f.ended)
	defer f.system.SetPlatformDown(false)
	for down := true; ; down = !down {
		f.system.SetPlatformDown(down)
		if scheduler.Pause(ctx, flapPause) != nil {
			return
		}
	}
}

// SetBalanced implements System.
func (d *DeployedSystem) SetBalanced(host string, on bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.unbalanced[host] = !on
}
