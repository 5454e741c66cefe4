package commander

import (
	"context"
	"io"
	"os/signal"
	"syscall"

	"github.com/cuminwick/cuminwick/internal/proxy/assembler"
	"github.com/cuminwick/cuminwick/platform"
)

// serve runs an entry host. Its settings are in the file that the environment names.
type serve struct{}

// run serves until SIGTERM and then drains. SIGHUP changes nothing: what the settings
// say of this host doesn't change while it runs.
func (*serve) run(out io.Writer) error {
	s, err := platform.LoadSettings()
	if err != nil {
		return err
	}
	c, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	signal.Ignore(syscall.SIGHUP, syscall.SIGPIPE)
	h := &assembler.Assembler{Settings: s, LogOutput: out}
	return h.Run(context.Background(), c.Done())
}
