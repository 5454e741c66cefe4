package commander

import (
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/proxy/explainer"
)

// explain prints the timeline of a request from log files.
type explain struct {
	Request string   `arg:"--request,required" placeholder:"ID" help:"id of the request"`
	Format  string   `arg:"--format" default:"table" placeholder:"table|json" help:"form of the output"`
	Files   []string `arg:"positional,required" placeholder:"FILE" help:"log files, one a host"`
}

func (e *explain) run(out io.Writer) error {
	if e.Format != formatTable && e.Format != formatJSON {
		return errors.Errorf("format %q is neither table nor json", e.Format)
	}
	var l []explainer.File
	for _, n := range e.Files {
		f, err := os.Open(n)
		if err != nil {
			return errors.Annotate(err, "open log")
		}
		defer f.Close()
		l = append(l, explainer.File{Host: strings.TrimSuffix(filepath.Base(n), filepath.Ext(n)), Lines: f})
	}
	s, err := explainer.Explain(e.Request, l)
	if err != nil {
		return err
	}
	if e.Format == formatJSON {
		return json.NewEncoder(out).Encode(s)
	}
	return s.Write(out)
}
