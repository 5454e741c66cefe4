// Package reporter writes down and counts what became of statements.
package reporter

import (
	"hash/maphash"

	"github.com/cuminwick/cuminwick/internal/log/encoder"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
	"github.com/cuminwick/cuminwick/internal/proxy/executor"
)

// Reporter writes a line for each statement that was refused, failed, or whose outcome
// isn't known, and for one in so many of the others, and counts them all. Its fields
// are set before use.
type Reporter struct {
	Lines   *encoder.Encoder
	Metrics *Metrics
	// Sample writes the lines of one in so many statements that ran, all if zero.
	Sample uint64
}

// seed makes the choice of the sampled statements differ between processes.
var seed = maphash.MakeSeed()

// outcome is what a code says of a statement.
type outcome struct {
	name string
	code string
}

// outcomes are what log and metrics call the result of a statement.
var outcomes = map[declarer.Code]outcome{
	declarer.CodeNone:               {name: "ran"},
	declarer.CodeBusy:               {"not-run", "busy"},
	declarer.CodeLagging:            {"not-run", "lagging"},
	declarer.CodeReadOnly:           {"not-run", "read-only"},
	declarer.CodeMisrouted:          {"not-run", "misrouted"},
	declarer.CodeTooManyConnections: {"not-run", "too-many-connections"},
	declarer.CodeNoSuchStatement:    {"not-run", "no-such-statement"},
	declarer.CodeAborted:            {"not-run", "aborted"},
	declarer.CodeNoDatabase:         {"not-run", "no-database"},
	declarer.CodeMalformed:          {"not-run", "malformed"},
	declarer.CodeTooBig:             {"not-run", "too-big"},
	declarer.CodeFailed:             {"failed", "failed"},
	declarer.CodeOther:              {"failed", "other"},
	declarer.CodeTimeout:            {"unknown", "timeout"},
	declarer.CodeOutcomeUnknown:     {"unknown", "answer-lost"},
}

// operations are what log and metrics call a statement.
var operations = map[declarer.Verb]string{
	declarer.VerbRead:    "read",
	declarer.VerbWrite:   "write",
	declarer.VerbExecute: "execute",
	declarer.VerbCommit:  "commit",
}

// Statement counts r and writes it down. It never waits for the output.
func (o *Reporter) Statement(r *executor.Report) {
	k := outcomes[r.Code]
	o.Metrics.statement(r, k)
	if r.Code == declarer.CodeNone && !o.sampled(r.Statement) {
		return
	}
	l := encoder.Statement{
		Request:       r.Statement,
		Database:      r.Database,
		DatabaseGroup: r.Group,
		Operation:     operations[r.Verb],
		Outcome:       k.name,
		Code:          k.code,
		Server:        r.Server,
		Role:          role(r),
		Why:           r.Reason,
		Attempts:      r.Attempts,
		Configuration: r.Version,
		Waited:        r.Wait,
		Took:          r.Elapsed,
	}
	if !r.RequiredPosition.IsZero() {
		l.Need = r.RequiredPosition.String()
	}
	o.Lines.Statement(&l)
}

// sampled chooses by the request's id, so that a request has all of its lines or none.
func (o *Reporter) sampled(id string) bool {
	return o.Sample <= 1 || maphash.String(seed, id)%o.Sample == 0
}

func role(r *executor.Report) string {
	switch {
	case r.Server == "":
		return ""
	case r.Primary:
		return "primary"
	}
	return "replica"
}
