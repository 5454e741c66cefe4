// Package reporter writes down what became of statements.
package reporter

import (
	"strconv"
	"time"

	"github.com/cuminwick/cuminwick/internal/log/encoder"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
	"github.com/cuminwick/cuminwick/internal/proxy/executor"
)

// Reporter writes a line for each statement that was refused, failed, or whose outcome
// isn't known, and for one in so many of the others. Its fields are set before use.
type Reporter struct {
	Lines *encoder.Encoder
}

// codes are what the log calls the outcome of a statement.
var codes = map[declarer.Code]string{
	declarer.CodeNone:        "ran",
	declarer.CodeBusy:        "not-run: busy",
	declarer.CodeLagging:     "not-run: lagging",
	declarer.CodeReadOnly:    "not-run: read-only",
	declarer.CodeMisrouted:   "not-run: misrouted",
	declarer.CodeTooMany:     "not-run: too-many-connections",
	declarer.CodeNoStatement: "not-run: no-such-statement",
	declarer.CodeAborted:     "not-run: aborted",
	declarer.CodeFailed:      "failed",
	declarer.CodeTimeout:     "unknown: timeout",
	declarer.CodeUnknown:     "unknown",
	declarer.CodeNoDatabase:  "not-run: no-database",
	declarer.CodeMalformed:   "not-run: malformed",
	declarer.CodeTooBig:      "not-run: too-big",
	declarer.CodeOther:       "failed: unknown code",
}

// Statement writes r down. It never waits for the output.
func (o *Reporter) Statement(r *executor.Report) {
	d := encoder.Decision{
		Kind:          "statement",
		DatabaseGroup: r.Group,
		Team:          r.Database,
		Rule:          r.Statement,
		Chosen:        r.Server,
		Why:           text(r),
	}
	if r.Code != declarer.CodeNone {
		// Without a choice the line is always written.
		d.Chosen = ""
		d.Why += " server=" + r.Server
	}
	o.Lines.Decide(&d)
}

func text(r *executor.Report) string {
	return codes[r.Code] + ", " + r.Why +
		" attempts=" + strconv.Itoa(r.Attempts) +
		" primary=" + strconv.FormatBool(r.Primary) +
		" waited=" + microseconds(r.Wait) +
		" took=" + microseconds(r.Took)
}

func microseconds(d time.Duration) string {
	return strconv.FormatInt(d.Microseconds(), 10) + "us"
}
