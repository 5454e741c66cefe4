// Package reporter logs and counts the outcomes of statements.
package reporter

import (
	"hash/maphash"

	"github.com/cuminwick/cuminwick/internal/log/encoder"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
	"github.com/cuminwick/cuminwick/internal/proxy/executor"
)

// Reporter counts all statements and logs each one that was refused, failed or has an unknown
// outcome, and a sample of the others. Its fields are set before use.
type Reporter struct {
	Lines   *encoder.Encoder
	Metrics *Metrics
	// Sample is the reciprocal of the fraction of succeeded statements that is logged: one in
	// Sample. Zero logs all.
	Sample uint64

	ends lineLimiter
}

// seed makes the choice of sampled statements differ between processes.
var seed = maphash.MakeSeed()

// outcome is the meaning of a code for a statement, as named in logs and metrics.
type outcome struct {
	name string
	code string
}

// outcomes maps codes to the outcomes in logs and metrics.
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
	declarer.CodeUnauthorized:       {"not-run", "unauthorized"},
	declarer.CodeMalformed:          {"not-run", "malformed"},
	declarer.CodeTooBig:             {"not-run", "too-big"},
	declarer.CodeFailed:             {"failed", "failed"},
	declarer.CodeOther:              {"failed", "other"},
	declarer.CodeTimeout:            {"unknown", "timeout"},
	declarer.CodeOutcomeUnknown:     {"unknown", "answer-lost"},
}

// held is the outcome of statements that operators hold back.
var held = outcome{"not-run", "held"}

func outcomeOf(r *executor.Report) outcome {
	if r.Held.Kind != executor.HoldNone {
		return held
	}
	return outcomes[r.Code]
}

// operations maps verbs to the operations in logs and metrics.
var operations = map[declarer.Verb]string{
	declarer.VerbRead:    "read",
	declarer.VerbWrite:   "write",
	declarer.VerbExecute: "execute",
	declarer.VerbCommit:  "commit",
}

// operationOf returns the name of the statement's operation. A transaction is only named if it is held at its
// begin: other refusals of a begin are those of sessions without a route or customer, whose lines have no
// operation.
func operationOf(r *executor.Report) string {
	if r.Held.Kind != executor.HoldNone && (r.Verb == declarer.VerbBegin || r.Verb == declarer.VerbBeginRead) {
		return "begin"
	}
	return operations[r.Verb]
}

// Statement counts r and logs it. It never waits for the output.
func (o *Reporter) Statement(r *executor.Report) {
	k := outcomeOf(r)
	o.Metrics.statement(r, k)
	if r.Code == declarer.CodeNone && !o.sampled(r.Statement) {
		return
	}
	l := encoder.Statement{
		Request:       r.Statement,
		Database:      r.Database,
		Customer:      r.Customer,
		DatabaseGroup: r.Group,
		Operation:     operationOf(r),
		Outcome:       k.name,
		Code:          k.code,
		Server:        r.Server,
		Role:          role(r),
		Reason:        r.Reason,
		Importance:    uint8(r.Importance),
		Ranked:        r.Ranked,
		Attempts:      r.Attempts,
		Configuration: r.Version,
		Wait:          r.Wait,
		Elapsed:       r.Elapsed,
	}
	if r.Held.Kind != executor.HoldNone {
		l.Held = r.Held.Kind.String() + " " + r.Held.Name
	}
	if !r.RequiredPosition.IsZero() {
		l.RequiredPosition = r.RequiredPosition.String()
	}
	o.Lines.LogStatement(&l)
}

// sampled decides by the request id, so that all lines of a request are logged or none.
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
