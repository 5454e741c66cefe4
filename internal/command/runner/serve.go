package runner

import (
	"context"
	"time"

	"github.com/cuminwick/cuminwick/internal/host/assembler"
	"github.com/cuminwick/cuminwick/internal/settings/loader"
)

// serve runs an entry host.
type serve struct {
	Settings string `arg:"--settings,required" placeholder:"FILE" help:"settings file of this host"`
}

// run serves until the first signal and then drains. A second signal ends it without waiting for
// transactions in progress.
func (s *serve) run(ctx context.Context, r *Runner) error {
	x, err := loader.Load(s.Settings, time.Now())
	if err != nil {
		return err
	}
	a := &assembler.Assembler{Settings: x, LogOutput: r.Errors}
	if err := a.Assemble(); err != nil {
		return err
	}
	c, g := handleSignals(ctx)
	defer g.stop()
	return a.Run(c, g.drain)
}

func (s *serve) example() string {
	return "cuminwick serve --settings settings.yaml"
}
