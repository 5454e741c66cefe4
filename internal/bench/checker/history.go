// Package checker compares the answers that callers received with the final state of the database groups.
//
// It shares no code with the proxy. Its input is plain records of requests and dumps of the
// servers, so that a fault in the proxy's code cannot hide itself here.
package checker

import "time"

// Kind is the kind of a request.
type Kind string

// Kinds of requests.
const (
	// Note inserts one entry.
	Note Kind = "note"
	// Save raises the register of the session to the number of the request.
	Save Kind = "save"
	// Booking inserts two entries and raises the register, in one transaction.
	Booking Kind = "booking"
	// Read reads the register of its own session.
	Read Kind = "read"
	// Review reads the register of another session; the value may be stale up to a maximum age.
	Review Kind = "review"
	// Report reads a fixed number of rows that all contain the name of the request.
	Report Kind = "report"
)

// Writes reports whether requests of the kind change data.
func (k Kind) Writes() bool {
	return k == Note || k == Save || k == Booking
}

// Outcome is the outcome of a request as its caller received it.
type Outcome string

// Outcomes.
const (
	// Ran is a complete answer without an error.
	Ran Outcome = "ran"
	// NotRun is an error that guarantees that nothing took effect.
	NotRun Outcome = "not-run"
	// Unknown is an error after which the request may have taken effect, or a lost connection.
	Unknown Outcome = "unknown"
	// Cancelled is an error that says that the request was cancelled by its caller and had no effect.
	Cancelled Outcome = "cancelled"
)

// Request is one request and its outcome as seen by the caller. Times count from the start of the run.
type Request struct {
	// Name is unique in the run.
	Name    string
	Session string
	Group   string
	Kind    Kind
	// Number increases with the writes of a session; a save or booking writes it to the register.
	Number int64
	// ReviewedSession is the session whose register a review reads.
	ReviewedSession string
	// MaximumAge bounds how stale the answer of a review may be.
	MaximumAge time.Duration
	EntryHost  string
	Start, End time.Duration
	Outcome    Outcome
	// Code is the SQLSTATE of an error, empty without an error.
	Code string
	// ConnectionLost is set if the connection ended while the request was in progress.
	ConnectionLost bool
	// Value is the number that a read or review returned, zero if there was no row.
	Value int64
	// RowNames are the distinct request names in the rows of the answer, Rows the number of rows.
	RowNames []string
	Rows     int
	// AcknowledgedTag is the command tag of a write that was acknowledged.
	AcknowledgedTag string
	// ExpectedRows is how many rows a complete report has.
	ExpectedRows int
	// Keyed is set if the name of the request was sent as its idempotency key.
	Keyed bool
	// KeyOutcome is the outcome of the idempotency key, queried after the load: Ran or NotRun,
	// empty if it was not queried or is not known.
	KeyOutcome Outcome
}

// Entry is one row of the entries table, which is one part of a note or booking.
type Entry struct {
	Request string
	Part    int64
}

// Transaction is the content of one log record, by the names of the requests that wrote it.
type Transaction struct {
	Entries []Entry
	// Saves are the names of the requests in register rows.
	Saves []string
}

// State is the final state of one database group.
type State struct {
	// Entries are the rows of the primary's entries table.
	Entries []Entry
	// Registers holds the saved numbers by session.
	Registers map[string]int64
	// Log holds the records of the primary's log.
	Log []Transaction
	// Dropped are records that servers discarded because the log of a later primary diverged.
	Dropped []Transaction
}

// Stop is one planned stop of an entry host.
type Stop struct {
	EntryHost string
	From, To  time.Duration
}

// ObservedRevision is the configuration that an entry host had in force at one moment.
type ObservedRevision struct {
	EntryHost string
	At        time.Duration
	Revision  uint64
	// Digest identifies the content of the configuration.
	Digest string
}

// ApplyOutcome is the outcome of an apply as its operator received it.
type ApplyOutcome string

// Outcomes of an apply.
const (
	// ApplyInForce means that every entry host uses the configuration.
	ApplyInForce ApplyOutcome = "in-force"
	// ApplyAccepted means that the configuration is stored for good, and that some entry hosts do
	// not use it yet.
	ApplyAccepted ApplyOutcome = "accepted"
	// ApplyRefused means that the configuration was never in force and never will be.
	ApplyRefused ApplyOutcome = "refused"
	// ApplyUnknown means that the operator's process ended before it received an outcome.
	ApplyUnknown ApplyOutcome = "unknown"
)

// Apply is a change of the configuration by an operator, and the outcome that the operator received.
type Apply struct {
	Operator string
	// Base is the revision that the configuration was edited from, zero if not given.
	Base uint64
	// Digest identifies the new content, empty if the operator did not supply the content.
	Digest string
	// Revision is the number assigned to the change, zero if none was assigned.
	Revision uint64
	Outcome  ApplyOutcome
	From, To time.Duration
}

// History holds all records of one run.
type History struct {
	Requests          []Request
	Groups            map[string]State
	Stops             []Stop
	ObservedRevisions []ObservedRevision
	// Applies are the changes of the configuration, including the one before the load.
	Applies []Apply
	// WorkOnLeaving counts statements that leaving backend servers received after the grace time.
	WorkOnLeaving int64
}
