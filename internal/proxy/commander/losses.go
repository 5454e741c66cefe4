package commander

import (
	"encoding/json"
	"io"
	"os"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/proxy/analyzer"
)

// losses prints statistics of lost statements from log files.
type losses struct {
	Window time.Duration `arg:"--window" default:"2s" placeholder:"DURATION" help:"length of the intervals"`
	Group  string        `arg:"--group" placeholder:"NAME" help:"only this database group"`
	Format string        `arg:"--format" default:"table" placeholder:"table|json" help:"form of the output"`
	Files  []string      `arg:"positional,required" placeholder:"FILE" help:"log files of all hosts"`
}

func (l *losses) run(out io.Writer) error {
	if l.Format != formatTable && l.Format != formatJSON {
		return errors.Errorf("format %q is neither table nor json", l.Format)
	}
	if l.Window <= 0 {
		return errors.Errorf("window %s isn't above zero", l.Window)
	}
	var r []io.Reader
	for _, n := range l.Files {
		f, err := os.Open(n)
		if err != nil {
			return errors.Annotate(err, "open log")
		}
		defer f.Close()
		r = append(r, f)
	}
	s, err := analyzer.Analyze(analyzer.Options{Window: l.Window, Group: l.Group}, r)
	if err != nil {
		return err
	}
	if l.Format == formatJSON {
		return json.NewEncoder(out).Encode(s)
	}
	return s.Write(out)
}
