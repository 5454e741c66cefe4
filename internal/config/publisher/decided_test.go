package publisher_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cuminwick/cuminwick/internal/clock/scheduler"
	"github.com/cuminwick/cuminwick/internal/config/applier"
	"github.com/cuminwick/cuminwick/internal/config/follower"
	"github.com/cuminwick/cuminwick/internal/standin/storekeeper"
)

// delayedActivator activates each revision some time after the follower has put it in force.
type delayedActivator struct {
	host      *follower.Host
	pause     time.Duration
	activated atomic.Uint64
}

func (k *delayedActivator) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.host.Changed():
		}
		r, _ := k.host.Current()
		if scheduler.Pause(ctx, k.pause) != nil {
			return
		}
		k.activated.Store(r)
		k.host.MarkActivated(r)
	}
}

// A file changes backend servers, and a busy entry host needs some time to create their pools. If it
// reported the file in force before that, the operator would remove the old servers while they still
// serve requests.
func TestInForceIsToldOnceDecidedBy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &storekeeper.Store{}
		d := deployWith(s, 3, func(h *follower.Host) { h.DeferredActivation = true })
		defer d.end()
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		var l []*delayedActivator
		for i, h := range d.hosts {
			k := &delayedActivator{host: h, pause: time.Duration(i) * 700 * time.Millisecond}
			l = append(l, k)
			go k.run(ctx)
		}
		time.Sleep(time.Minute)
		for n := 1; n <= 5; n++ {
			r := apply(t, s, n, applier.InForce)
			for i, k := range l {
				if g := k.activated.Load(); g < uint64(r.Entry.Revision) {
					t.Errorf("revision %d was reported in force; host %d has activated %d", r.Entry.Revision, i, g)
				}
			}
		}
	})
}
