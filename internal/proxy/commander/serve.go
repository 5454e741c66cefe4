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

// serve runs an entry host. Its settings are in the file that the environment names.
type serve struct{}

// run serves until SIGTERM and then drains. SIGHUP has the settings read anew: what may
// change while a host runs comes into force, and the log names the rest.
func (*serve) run(out io.Writer) error {
	s, err := platform.LoadSettings()
	if err != nil {
		return err
	}
	c, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	signal.Ignore(syscall.SIGPIPE)
	r := &relay{signals: make(chan os.Signal, 1), asked: make(chan struct{})}
	signal.Notify(r.signals, syscall.SIGHUP)
	go r.run()
	h := &assembler.Assembler{Settings: s, LogOutput: out, Reload: r.asked, Load: platform.LoadSettings}
	return h.Run(context.Background(), c.Done())
}

// relay passes signals on as questions.
type relay struct {
	signals chan os.Signal
	asked   chan struct{}
}

func (r *relay) run() {
	for range r.signals {
		r.asked <- struct{}{}
	}
}
