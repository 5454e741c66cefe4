package commander

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/cuminwick/cuminwick/internal/proxy/assembler"
	"github.com/cuminwick/cuminwick/platform"
)

// serve runs an entry host. Its settings are in the file that an environment variable names.
type serve struct{}

// run serves until SIGTERM or SIGINT and then drains. SIGHUP reloads the settings: those that may
// change while a host runs come into force, and the log names the others that have changed.
func (*serve) run(out io.Writer) error {
	// Before any other step, as SIGHUP ends a process that hasn't asked for it.
	r := &signalForwarder{signals: make(chan os.Signal, 1), reloads: make(chan struct{})}
	signal.Notify(r.signals, syscall.SIGHUP)
	s, err := platform.LoadSettings()
	if err != nil {
		return err
	}
	c, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	signal.Ignore(syscall.SIGPIPE)
	go r.run()
	h := &assembler.Assembler{Settings: s, LogOutput: out, Reload: r.reloads, Load: platform.LoadSettings}
	return h.Run(context.Background(), c.Done())
}

// signalForwarder sends on reloads for each signal.
type signalForwarder struct {
	signals chan os.Signal
	reloads chan struct{}
}

func (r *signalForwarder) run() {
	for range r.signals {
		r.reloads <- struct{}{}
	}
}
