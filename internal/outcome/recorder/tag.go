package recorder

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/juju/errors"
)

// maximumTagBytes is the length to which a recorded command tag is truncated.
const maximumTagBytes = 64

// RecordTag returns the statement that records the request's command tag in the request's own
// transaction, so that a retry of the request returns the same tag.
func (a Attempt) RecordTag(tag string) string {
	t := strings.ReplaceAll(tag, "'", "")
	t = t[:min(len(t), maximumTagBytes)]
	return fmt.Sprintf("INSERT INTO %s (key, outcome, recorded_at) VALUES ('%s', '%s', %s)", Table, a.tagRowKey(), t, a.recordedAt())
}

// LookUpTag returns the statement that reads the recorded command tag.
func (a Attempt) LookUpTag() string {
	return fmt.Sprintf("SELECT outcome FROM %s WHERE key = '%s'", Table, a.tagRowKey())
}

// tagRowKey returns the value of the key column of the tag's row. It can't be that of another attempt,
// because those end in a number.
func (a Attempt) tagRowKey() string {
	return a.rowKey() + "#tag"
}

// ParseRow parses a result row of LookUp in text format.
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
