// Package announcer tells the other hosts of a region that the platform's store answers again, so that they don't
// go on waiting for their turn to ask it.
package announcer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

const (
	// tellTimeout bounds the attempt to tell one host.
	tellTimeout = 300 * time.Millisecond
	// parallelism is how many hosts are told at a time. Some of them may have no power and take the whole timeout.
	parallelism = 32
)

// Announcer tells the hosts of a region. Its exported fields are set before use.
type Announcer struct {
	// Hosts returns the hosts to tell, in the order in which they are told.
	Hosts func() []declarer.Host
	// Tell tells one host.
	Tell func(ctx context.Context, h declarer.Host) error
	Log  log.Interface

	running atomic.Bool
}

// Announce begins to tell all hosts, unless that is in progress. It doesn't wait.
func (a *Announcer) Announce() {
	if a.running.CompareAndSwap(false, true) {
		go a.run()
	}
}

func (a *Announcer) run() {
	defer a.running.Store(false)
	hosts := a.Hosts()
	queue := make(chan declarer.Host, len(hosts))
	for _, h := range hosts {
		queue <- h
	}
	close(queue)
	t := &tellers{announcer: a, queue: queue}
	for range min(parallelism, len(hosts)) {
		t.pending.Add(1)
		go t.run()
	}
	t.pending.Wait()
	l := a.Log.WithFields(log.Fields{"hosts": len(hosts), "not-told": t.failed})
	if t.err != nil {
		l = l.WithError(t.err)
	}
	l.Info("other hosts told that the platform answers")
}

// tellers tell the hosts of one announcement.
type tellers struct {
	announcer *Announcer
	queue     <-chan declarer.Host
	pending   sync.WaitGroup

	mu sync.Mutex
	// failed counts the hosts that couldn't be told, and err is the first error.
	failed int
	err    error
}

func (t *tellers) run() {
	defer t.pending.Done()
	for h := range t.queue {
		c, cancel := context.WithTimeout(context.Background(), tellTimeout)
		err := t.announcer.Tell(c, h)
		cancel()
		if err != nil {
			t.recordFailure(err)
		}
	}
}

func (t *tellers) recordFailure(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.failed == 0 {
		t.err = err
	}
	t.failed++
}
