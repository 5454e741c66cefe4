package runner

import (
	"context"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/demo/presenter"
)

// demo runs a small deployment in one process and a scripted sequence of checks against it as a
// caller. It fails unless the deployment kept every promise that is checked.
type demo struct {
	Stay bool   `arg:"--stay" help:"serve until interrupted in place of the tour"`
	Log  string `arg:"--log" placeholder:"FILE" help:"write the entry hosts' log lines to FILE [default: cuminwick-demo.log in the directory for temporary files]"`
}

func (d *demo) run(ctx context.Context, r *Runner) error {
	n := d.Log
	if n == "" {
		n = filepath.Join(os.TempDir(), "cuminwick-demo.log")
	}
	f, err := os.Create(n)
	if err != nil {
		return errors.Annotate(err, "open log file")
	}
	defer f.Close()
	x, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	p := &presenter.Presenter{Output: r.Output, LogOutput: f, KeepRunning: d.Stay}
	return p.Run(x)
}

func (d *demo) example() string {
	return "cuminwick demo"
}
