package loader

import (
	"context"
	"fmt"
	"time"

	"github.com/cuminwick/cuminwick/internal/bench/checker"
	"github.com/cuminwick/cuminwick/internal/clock/scheduler"
)

// gaugePause is the pause between two writes of a gauge; it bounds how finely
// the failover gap is measured.
const gaugePause = 5 * time.Millisecond

// gauge writes to one group all the time, so that the failover gap shows.
type gauge struct {
	loader *Loader
	group  string
	host   int
	next   int
}

func (g *gauge) run(ctx context.Context) {
	s := &session{loader: g.loader, name: "gauge-" + g.group, group: g.group}
	defer s.leave()
	for ctx.Err() == nil {
		if s.conn == nil || s.conn.IsClosed() {
			g.move(ctx, s)
			continue
		}
		g.write(context.WithoutCancel(ctx), s)
		_ = scheduler.Pause(ctx, gaugePause)
	}
}

// move connects to the next entry host.
func (g *gauge) move(ctx context.Context, s *session) {
	h := g.loader.Hosts()
	s.host = h[g.host%len(h)]
	g.host++
	x, err := g.loader.Connect(ctx, s.host, g.group, "")
	if err != nil {
		g.loader.recordFailure()
		_ = scheduler.Pause(ctx, gaugePause)
		return
	}
	s.conn = x
}

func (g *gauge) write(ctx context.Context, s *session) {
	g.next++
	r := checker.Request{
		Name:      fmt.Sprintf("%s.%d", s.name, g.next),
		Session:   s.name,
		Group:     g.group,
		Kind:      checker.Note,
		EntryHost: s.host.Name,
	}
	ctx, stop := context.WithTimeout(ctx, patience)
	defer stop()
	r.Start = g.loader.since()
	err := s.write(ctx, &r, insertEntry, r.Name, s.name, "1")
	r.End = g.loader.since()
	s.conclude(&r, err, ctx.Err() != nil)
	g.loader.record(r)
}
