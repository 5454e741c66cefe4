package runner

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// signaller turns the first SIGTERM or interrupt into a request to drain, and
// the second one into the end of the context.
type signaller struct {
	// drain is closed by the first signal.
	drain chan struct{}
	// cancel is called by the second one.
	cancel  context.CancelFunc
	signals chan os.Signal
}

// listen starts to take signals; the returned context ends with the second one.
func listen(ctx context.Context) (context.Context, *signaller) {
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

// stop gives the signals their usual effect back.
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
