package executor_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
	"github.com/cuminwick/cuminwick/internal/proxy/executor"
)

// servedBy counts the statements that ran, by server.
type servedBy map[string]int

func (s servedBy) Statement(x *executor.Report) {
	if x.Code == declarer.CodeNone {
		s[x.Server]++
	}
}

// Guards against reads at a drained server, against writes that its drained primary no longer takes, and
// against reads that nobody serves when all servers of the group are drained.
func TestStatementsOfDrainedServers(t *testing.T) {
	for name, x := range map[string]struct {
		drained map[string]bool
		// reads and writes are the servers that may run them.
		reads, writes map[string]bool
	}{
		"a replica":    {only("i-1"), map[string]bool{"i-0": true, "i-2": true}, only("i-0")},
		"all replicas": {map[string]bool{"i-1": true, "i-2": true}, only("i-0"), only("i-0")},
		"the primary":  {only("i-0"), map[string]bool{"i-1": true, "i-2": true}, only("i-0")},
		"all servers":  {map[string]bool{"i-0": true, "i-1": true, "i-2": true}, map[string]bool{"i-0": true, "i-1": true, "i-2": true}, only("i-0")},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newDatabaseGroup(rand.New(rand.NewPCG(1, 1)), newHistory())
				d := newEntryHost(w, "z-1")
				ctx, stop := context.WithCancel(t.Context())
				for _, x := range w.servers {
					go x.replicate(ctx)
				}
				request(d, declarer.Operations{DrainedServers: x.drained})
				reader, writer := newClient(d, "s1", "bounded", 1), newClient(d, "s2", "primary", 2)
				reads, writes := make(servedBy), make(servedBy)
				reader.session.Reporter, writer.session.Reporter = reads, writes
				for _, c := range []*client{reader, writer} {
					go c.session.Run()
					<-c.caller.out
				}
				// Until the primary has told its position for a while, only it can run reads.
				reader.expect(t, "READ x", declarer.CodeNone)
				time.Sleep(maximumStaleness / 3)
				clear(reads)
				for i := range 20 {
					writer.expect(t, fmt.Sprintf("WRITE x %d", i), declarer.CodeNone)
					reader.expect(t, "READ x", declarer.CodeNone)
					time.Sleep(50 * time.Millisecond)
				}
				for id := range reads {
					if !x.reads[id] {
						t.Errorf("reads by server: %v", reads)
					}
				}
				for id := range writes {
					if !x.writes[id] {
						t.Errorf("writes by server: %v", writes)
					}
				}
				for _, s := range w.servers {
					if s.connections > 0 && !x.reads[s.id] && !x.writes[s.id] {
						t.Errorf("%d connections to %s", s.connections, s.id)
					}
				}
				stop()
				close(writer.caller.in)
				endSession(d, reader)
			})
		})
	}
}
