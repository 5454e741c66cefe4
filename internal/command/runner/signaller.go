package runner

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// signaller requests a drain at the first SIGTERM or interrupt, and cancels a context at the second
// one.
type signaller struct {
	// drain is closed at the first signal.
	drain chan struct{}
	// cancel is called at the second signal.
	cancel  context.CancelFunc
	signals chan os.Signal
}

// handleSignals starts a goroutine that handles signals until stop is called or ctx ends. The
// returned context ends at the second signal.
func handleSignals(ctx context.Context) (context.Context, *signaller) {
	c, cancel := context.WithCancel(ctx)
	s := &signaller{
		drain:   make(chan struct{}),
		cancel:  cancel,
		signals: make(chan os.Signal, 2),
	}
	signal.Notify(s.signals, os.Interrupt, syscall.SIGTERM)
	go s.run(c)
	return c, s
}

// stop restores the default effect of the signals and ends the context.
func (s *signaller) stop() {
	signal.Stop(s.signals)
	s.cancel()
}

func (s *signaller) run(ctx context.Context) {
	select {
	case <-s.signals:
		close(s.drain)
	case <-ctx.Done():
		return
	}
	select {
	case <-s.signals:
		s.cancel()
	case <-ctx.Done():
	}
}
