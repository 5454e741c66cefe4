package recorder

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/juju/errors"
)

// maximumTagBytes is the longest command tag that is recorded.
const maximumTagBytes = 64

// RecordTag returns the statement that records the request's command tag in
// its own transaction, so that a repeat of the request gets the same one.
func (a Attempt) RecordTag(tag string) string {
	t := strings.ReplaceAll(tag, "'", "")
	t = t[:min(len(t), maximumTagBytes)]
	return fmt.Sprintf("INSERT INTO %s (key, outcome, recorded_at) VALUES ('%s', '%s', %s)", Table, a.tagRow(), t, a.recordedAt())
}

// LookUpTag returns the statement that reads the command tag.
func (a Attempt) LookUpTag() string {
	return fmt.Sprintf("SELECT outcome FROM %s WHERE key = '%s'", Table, a.tagRow())
}

// tagRow can't be another attempt's row, since those end in a number.
func (a Attempt) tagRow() string {
	return a.row() + "#tag"
}

// ParseRow reads a row of LookUp in text form.
func ParseRow(values []string) (Row, error) {
	if len(values) != 2 {
		return Row{}, errors.Errorf("outcome row has %d columns, want 2", len(values))
	}
	n, err := strconv.ParseInt(values[1], 10, 64)
	if err != nil {
		return Row{}, errors.Annotatef(err, "read time of outcome row %q", values[1])
	}
	return Row{Found: true, Outcome: Outcome(values[0]), RecordedAt: n}, nil
}
