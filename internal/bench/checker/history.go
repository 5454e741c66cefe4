// Package checker compares what callers were told with what a database group holds at the end.
//
// It knows nothing of the proxy: its input is plain records of requests and
// dumps, so that a fault in the proxy's code can't hide itself here.
package checker

import "time"

// Kind is what a request does.
type Kind string

// Kinds of request.
const (
	// Note inserts one entry.
	Note Kind = "note"
	// Save raises the session's register to the request's number.
	Save Kind = "save"
	// Booking inserts two entries and saves, in one transaction.
	Booking Kind = "booking"
	// Read reads the own session's register.
	Read Kind = "read"
	// Review reads another session's register, which may be stale up to an age.
	Review Kind = "review"
	// Report reads a fixed number of rows that all bear the request's name.
	Report Kind = "report"
)

// Writes reports whether requests of the kind change data.
func (k Kind) Writes() bool {
	return k == Note || k == Save || k == Booking
}

// Outcome is what a caller was told of a request.
type Outcome string

// Outcomes.
const (
	// Ran is a whole answer without an error.
	Ran Outcome = "ran"
	// NotRun is an answer that says that nothing took effect.
	NotRun Outcome = "not-run"
	// Unknown is an answer that leaves it open, or a lost connection.
	Unknown Outcome = "unknown"
	// Cancelled is an answer that the caller's cancel ended the request with no effect.
	Cancelled Outcome = "cancelled"
)

// Request is one request and what its caller saw. Times count from the run's start.
type Request struct {
	// Name is unique in the run.
	Name    string
	Session string
	Group   string
	Kind    Kind
	// Number grows along a session's writes; it is the value of a save.
	Number int64
	// ReviewedSession is the session whose register a review reads.
	ReviewedSession string
	// MaximumAge is how stale a review may be.
	MaximumAge time.Duration
	EntryHost  string
	Start, End time.Duration
	Outcome    Outcome
	// Code is the SQLSTATE of an error, empty if none.
	Code string
	// ConnectionLost says that the connection ended while the request was in progress.
	ConnectionLost bool
	// Value is what a read or review returned, zero if there was no row.
	Value int64
	// RowNames are the distinct names that the answer bore, Rows how many rows it had.
	RowNames []string
	Rows     int
	// AcknowledgedTag is the command tag of a write that was acknowledged.
	AcknowledgedTag string
	// ExpectedRows is how many rows a whole report has.
	ExpectedRows int
	// Keyed says that the request's name is its idempotency key.
	Keyed bool
	// KeyOutcome is what the outcome of the key was said to be after the load: Ran or
	// NotRun, empty if nobody asked or the answer was open.
	KeyOutcome Outcome
}

// Entry is one row of the entries table: one part of a note or booking.
type Entry struct {
	Request string
	Part    int64
}

// Transaction is what one log record wrote: the names of the requests that it bears.
type Transaction struct {
	Entries []Entry
	// Saves are the requests named in register rows.
	Saves []string
}

// State is what one database group holds at the end.
type State struct {
	// Entries are the rows of the primary's entries table.
	Entries []Entry
	// Registers are the sessions' saved numbers.
	Registers map[string]int64
	// Log is the primary's log.
	Log []Transaction
	// Dropped are records that servers threw away when a later primary's log went another way.
	Dropped []Transaction
}

// Stop is one planned stop of an entry host.
type Stop struct {
	EntryHost string
	From, To  time.Duration
}

// ObservedRevision is one sight of the configuration that an entry host has in force.
type ObservedRevision struct {
	EntryHost string
	At        time.Duration
	Revision  uint64
	// Digest stands for the configuration's content.
	Digest string
}

// ApplyOutcome is what an operator was told of a configuration.
type ApplyOutcome string

// Outcomes of an apply.
const (
	// ApplyInForce says that every entry host decides by the configuration.
	ApplyInForce ApplyOutcome = "in-force"
	// ApplyAccepted says that it stays, and that some entry hosts don't decide by it yet.
	ApplyAccepted ApplyOutcome = "accepted"
	// ApplyRefused says that it was never in force and never will be.
	ApplyRefused ApplyOutcome = "refused"
	// ApplyUnknown is an operator that ended before it was told.
	ApplyUnknown ApplyOutcome = "unknown"
)

// Apply is one operator's change of the configuration and what the operator was told.
type Apply struct {
	Operator string
	// Base is the revision that the configuration was edited from, zero if none was named.
	Base uint64
	// Digest stands for the content that was to come into force, empty if the operator didn't bring it.
	Digest string
	// Revision is the number that the change got, zero if it got none.
	Revision uint64
	Outcome  ApplyOutcome
	From, To time.Duration
}

// History is all that one run brought.
type History struct {
	Requests          []Request
	Groups            map[string]State
	Stops             []Stop
	ObservedRevisions []ObservedRevision
	// Applies are the changes of the configuration, the one before the load included.
	Applies []Apply
	// WorkOnLeaving counts statements that leaving backend servers got after the grace time.
	WorkOnLeaving int64
}
