package commander

import (
	"fmt"
	"io"
	"os"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/platform"
)

// validate checks a settings file.
type validate struct {
	File string `arg:"positional,required" help:"settings file"`
}

func (v *validate) run(out io.Writer) error {
	b, err := os.ReadFile(v.File)
	if err != nil {
		return errors.Annotate(err, "read settings")
	}
	s, err := platform.ParseSettings(string(b))
	if err != nil {
		return errors.Annotatef(err, "%s", v.File)
	}
	_, err = fmt.Fprintf(out, "%s: entry host %s in availability zone %s, callers at %s\n", v.File, s.HostName, s.AvailabilityZone, s.CallerAddress)
	return err
}
