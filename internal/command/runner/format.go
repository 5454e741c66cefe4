package runner

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/juju/errors"
)

// format is the format of the data on standard output.
type format string

// Formats of data.
const (
	// formatTable is a table with aligned columns.
	formatTable format = "table"
	// formatJSON is indented JSON.
	formatJSON format = "json"
)

// UnmarshalText reads a format from the command line.
func (f *format) UnmarshalText(b []byte) error {
	switch x := format(b); x {
	case formatTable, formatJSON:
		*f = x
		return nil
	}
	return errors.Errorf("unknown format %q, expected table or json", b)
}

// table is the data of formatTable.
type table struct {
	head []string
	rows [][]string
}

// show prints t in formatTable, or v in formatJSON.
func (f format) show(w io.Writer, t table, v any) error {
	if f == formatJSON {
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		return errors.Annotate(e.Encode(v), "print")
	}
	return errors.Annotate(t.write(w), "print")
}

// write prints the table with its head in upper case.
func (t table) write(w io.Writer) error {
	x := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if _, err := fmt.Fprintln(x, strings.ToUpper(strings.Join(t.head, "\t"))); err != nil {
		return err
	}
	for _, r := range t.rows {
		if _, err := fmt.Fprintln(x, strings.Join(r, "\t")); err != nil {
			return err
		}
	}
	return x.Flush()
}
