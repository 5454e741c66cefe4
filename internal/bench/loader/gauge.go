package loader

import (
	"context"
	"fmt"
	"time"

	"github.com/cuminwick/cuminwick/internal/bench/checker"
	"github.com/cuminwick/cuminwick/internal/clock/scheduler"
)

// gaugePause is the pause between two writes of a gauge. It limits the resolution at
// which the failover gap is measured.
const gaugePause = 5 * time.Millisecond

// gauge writes to one group continuously, so that the failover gap can be measured as the
// longest time without an acknowledged write.
type gauge struct {
	loader    *Loader
	group     string
	hostIndex int
	count     int
}

func (g *gauge) run(ctx context.Context) {
	s := &session{loader: g.loader, name: "gauge-" + g.group, group: g.group}
	defer s.disconnect()
	for ctx.Err() == nil {
		if s.conn == nil || s.conn.IsClosed() {
			g.connect(ctx, s)
			continue
		}
		g.write(context.WithoutCancel(ctx), s)
		_ = scheduler.Pause(ctx, gaugePause)
	}
}

// connect opens a connection to the next entry host in turn.
func (g *gauge) connect(ctx context.Context, s *session) {
	h := g.loader.Hosts()
	s.host = h[g.hostIndex%len(h)]
	g.hostIndex++
	x, err := g.loader.Connect(ctx, s.host, g.group, "")
	if err != nil {
		g.loader.recordFailedConnect()
		_ = scheduler.Pause(ctx, gaugePause)
		return
	}
	s.conn = x
}

func (g *gauge) write(ctx context.Context, s *session) {
	g.count++
	r := checker.Request{
		Name:      fmt.Sprintf("%s.%d", s.name, g.count),
		Session:   s.name,
		Group:     g.group,
		Kind:      checker.Note,
		EntryHost: s.host.Name,
	}
	ctx, stop := context.WithTimeout(ctx, requestTimeout)
	defer stop()
	r.Start = g.loader.elapsed()
	err := s.write(ctx, &r, insertEntry, r.Name, s.name, "1")
	r.End = g.loader.elapsed()
	s.setOutcome(&r, err, ctx.Err() != nil)
	g.loader.record(r)
}
