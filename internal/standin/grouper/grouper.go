// Package grouper runs the stand-in backend servers of one database group in one process.
package grouper

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"github.com/cuminwick/cuminwick/internal/standin/replicator"
	"github.com/cuminwick/cuminwick/internal/standin/responder"
)

// Group is a database group. The first server starts as primary of term 1, the others follow it.
// All servers report the same system identifier, which is chosen at random by Run.
type Group struct {
	// Servers are the group's backend servers; set before Run.
	Servers []*responder.Server

	once  sync.Once
	ready chan struct{}
}

func (g *Group) setUp() {
	g.once.Do(g.prepare)
}

func (g *Group) prepare() {
	g.ready = make(chan struct{})
}

// Ready returns a channel that is closed when all servers listen.
func (g *Group) Ready() <-chan struct{} {
	g.setUp()
	return g.ready
}

// Run starts the servers one after another and serves until ctx ends. It returns the first
// error of a server.
func (g *Group) Run(ctx context.Context) error {
	g.setUp()
	w, ctx := errgroup.WithContext(ctx)
	id := uint64(rand.Int64())
	for i, s := range g.Servers {
		s.Primary = i == 0
		s.SystemIdentifier = id
		if i > 0 {
			f := g.Servers[0]
			s.Following = replicator.PrimaryServer{Name: f.Name, Address: f.Addr()}
		}
		w.Go(func() error { return s.Run(ctx) })
		select {
		case <-s.Ready():
		case <-ctx.Done():
			return errors.Annotate(w.Wait(), "start database group")
		}
	}
	close(g.ready)
	return w.Wait()
}
