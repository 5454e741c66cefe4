package runner

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/config/parser"
	"github.com/cuminwick/cuminwick/internal/settings/decoder"
	"github.com/cuminwick/cuminwick/internal/settings/loader"
)

// validate checks a configuration or settings file without any network connection.
type validate struct {
	File     string `arg:"positional" placeholder:"FILE" help:"configuration file"`
	Settings string `arg:"--settings" placeholder:"FILE" help:"settings file of an entry host"`
	Format   format `arg:"--format" default:"table" placeholder:"table|json" help:"how faults are printed"`
}

func (v *validate) run(_ context.Context, r *Runner) error {
	if (v.File == "") == (v.Settings == "") {
		return errors.Annotate(ErrUsage, "expected either FILE or --settings FILE")
	}
	if v.File != "" {
		return v.configuration(r)
	}
	_, err := loader.Load(v.Settings, time.Now())
	var f decoder.Faults
	if !errors.As(err, &f) {
		return err
	}
	if err := v.Format.show(r.Output, faultTable(f), f); err != nil {
		return err
	}
	return errors.Errorf("%s has %d faults", v.Settings, len(f))
}

// configuration checks a configuration file. It prints warnings but doesn't fail because of them.
func (v *validate) configuration(r *Runner) error {
	p, err := parser.ParseFile(v.File)
	if err != nil {
		return err
	}
	r.printWarnings(p.Warnings)
	if len(p.Faults) == 0 {
		return nil
	}
	if err := v.Format.show(r.Output, faultTable(p.Faults), p.Faults); err != nil {
		return err
	}
	return errors.Errorf("%s has %d faults", v.File, len(p.Faults))
}

// printWarnings prints warnings about values that are allowed but probably unintended.
func (r *Runner) printWarnings(w decoder.Faults) {
	for _, x := range w {
		_, _ = fmt.Fprintf(r.Errors, "warning: %s\n", x)
	}
}

func faultTable(f decoder.Faults) table {
	t := table{head: []string{"file", "line", "key", "found", "expected"}}
	for _, x := range f {
		t.rows = append(t.rows, []string{x.File, strconv.Itoa(x.Line), x.Key, x.Found, x.Expected})
	}
	return t
}

func (v *validate) example() string {
	return "cuminwick validate groups.yaml"
}
