package commander

import (
	"fmt"
	"io"
	"os"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/platform"
)

// validate checks a settings file, or a configuration.
type validate struct {
	Configuration bool   `arg:"--configuration" help:"FILE is an operator's configuration: check its customers, keys, limits, priorities and shares"`
	File          string `arg:"positional,required" placeholder:"FILE" help:"settings file"`
}

func (v *validate) run(out io.Writer) error {
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
	_, err = fmt.Fprintf(out, "%s: version %d, %d routes, %d customers with %d keys\n", v.File, c.Version, c.Routes, c.Customers, c.Keys)
	return err
}
