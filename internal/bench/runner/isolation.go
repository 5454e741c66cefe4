package runner

import (
	"context"

	"github.com/cuminwick/cuminwick/internal/bench/definer"
	"github.com/cuminwick/cuminwick/internal/bench/disturber"
	"github.com/cuminwick/cuminwick/internal/clock/scheduler"
)

// isolate cuts off one entry host, which the seed picks.
func (i *injection) isolate(how disturber.Isolation) {
	l := i.system.Hosts()
	h := l[i.run.Seed/definer.RaceFaultCount()%uint64(len(l))].Name
	w := i.system.Network()
	i.note(h + " is cut off")
	w.Isolate(h, how)
	i.later(func() { w.Isolate(h, disturber.NotIsolated) })
	if how == disturber.FullyIsolated {
		// The balancer notices at once, as it does with a host that is killed.
		i.system.SetBalanced(h, false)
		i.later(func() { i.system.SetBalanced(h, true) })
	}
}

// flap stops the platform again and again until the fault is taken back.
func (i *injection) flap(ctx context.Context) {
	x, stop := context.WithCancel(ctx)
	f := &flapper{system: i.system, ended: make(chan struct{})}
	go f.loop(x)
	i.later(func() {
		stop()
		<-f.ended
	})
}

// flapper stops and starts the platform in turn and leaves it started.
type flapper struct {
	system System
	ended  chan struct{}
}

func (f *flapper) loop(ctx context.Context) {
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
