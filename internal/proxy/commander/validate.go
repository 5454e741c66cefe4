package commander

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/proxy/cachesyncer"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
	"github.com/cuminwick/cuminwick/internal/proxy/previewer"
	"github.com/cuminwick/cuminwick/platform"
)

// validate checks a settings file, or a configuration.
type validate struct {
	Configuration bool   `arg:"--configuration" help:"FILE is an operator's configuration: check its customers, keys, limits, priorities, shares and operators' requests"`
	Running       string `arg:"--running" placeholder:"FILE2" help:"with --configuration, show what changes when FILE takes the place of this configuration"`
	Format        string `arg:"--format" default:"table" placeholder:"table|json" help:"form of that output"`
	File          string `arg:"positional,required" placeholder:"FILE" help:"settings file"`
}

func (v *validate) run(out io.Writer) error {
	if v.Format != formatTable && v.Format != formatJSON {
		return errors.Errorf("format %q is neither table nor json", v.Format)
	}
	if v.Running != "" && !v.Configuration {
		return errors.Errorf("--running needs --configuration")
	}
	b, err := os.ReadFile(v.File)
	if err != nil {
		return errors.Annotate(err, "read settings")
	}
	if v.Configuration {
		return v.checkConfiguration(b, out)
	}
	s, err := platform.CheckSettings(string(b))
	if err != nil {
		return errors.Annotatef(err, "%s", v.File)
	}
	_, err = fmt.Fprintf(out, "%s: entry host %s in availability zone %s, callers at %s\n", v.File, s.HostName, s.AvailabilityZone, s.CallerAddress)
	return err
}

func (v *validate) checkConfiguration(b []byte, out io.Writer) error {
	c, err := platform.CheckConfiguration(b)
	if err != nil {
		return errors.Annotatef(err, "%s", v.File)
	}
	if v.Running != "" {
		return v.preview(b, out)
	}
	if _, err := fmt.Fprintf(out, "%s: version %d, %d routes, %d customers with %d keys\n", v.File, c.Version, c.Routes, c.Customers, c.Keys); err != nil {
		return err
	}
	for _, w := range c.Warnings {
		if _, err := fmt.Fprintf(out, "%s: warning: %s\n", v.File, w); err != nil {
			return err
		}
	}
	return nil
}

// preview prints what changes when the configuration in b takes the place of the running one.
func (v *validate) preview(b []byte, out io.Writer) error {
	r, err := os.ReadFile(v.Running)
	if err != nil {
		return errors.Annotate(err, "read running configuration")
	}
	running, err := parseConfiguration(v.Running, r)
	if err != nil {
		return err
	}
	next, err := parseConfiguration(v.File, b)
	if err != nil {
		return err
	}
	p := previewer.Compare(running, next)
	if v.Format == formatJSON {
		return json.NewEncoder(out).Encode(p)
	}
	return p.Write(out)
}

// parseConfiguration decodes a configuration as entry hosts do: entries that are invalid are ignored.
func parseConfiguration(file string, b []byte) (*declarer.Configuration, error) {
	e, err := platform.ConcealKeys(cachesyncer.Entry{Name: file, Value: b})
	if err != nil {
		return nil, err
	}
	c, err := platform.ParseConfiguration(e)
	if err != nil && !errors.Is(err, platform.ErrEntryIgnored) {
		return nil, err
	}
	return c, nil
}
