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

// delayedActivator takes up each revision some time after the follower has moved up to it.
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
		k.host.Decided(r)
	}
}

// A file changes backend servers, and a busy entry host needs a while to make their
// pools. Its operator is told that the file is in force everywhere, and callers there
// are still served by the servers that the operator wants to take away.
func TestInForceIsToldOnceDecidedBy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &storekeeper.Store{}
		d := deployWith(s, 3, func(h *follower.Host) { h.Deferred = true })
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
					t.Errorf("revision %d was told to be in force; host %d decides by %d", r.Entry.Revision, i, g)
				}
			}
		}
	})
}
