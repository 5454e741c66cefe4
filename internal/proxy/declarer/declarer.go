// Package declarer holds the plain data that the parts of the statement proxy share.
package declarer

import (
	"time"

	"github.com/cuminwick/cuminwick/internal/group/marker"
)

// RouteKind says how fresh the reads of a route must be.
type RouteKind uint8

// Kinds of route.
const (
	// KindPrimary reads see every acknowledged commit.
	KindPrimary RouteKind = iota
	// KindBounded reads may miss commits of the last MaximumStaleness.
	KindBounded
	// KindReadYourWrites is KindBounded, and a session sees all its own commits.
	KindReadYourWrites
)

// Route leads the sessions of one database to a group.
type Route struct {
	Name             string
	Database         string
	Group            string
	Kind             RouteKind
	Timeout          time.Duration
	MaximumStaleness time.Duration
	// Objective is within which callers expect the answer to a whole operation, zero for
	// none.
	Objective time.Duration
}

// Group is the declaration of one database group.
type Group struct {
	Name string
	// MaximumConnections bounds the connections to each server, of all callers.
	MaximumConnections int
	// SynchronousReplicas is how many replicas have a commit before it is acknowledged.
	SynchronousReplicas int
}

// Configuration is one version of what the operator declared, in full.
type Configuration struct {
	Version uint64
	// Routes are by database.
	Routes map[string]Route
	// Groups are by name.
	Groups map[string]Group
	// IdleTransactionTimeout is how long a transaction may wait for its caller.
	IdleTransactionTimeout time.Duration
}

// Server is what a backend server last said of itself.
type Server struct {
	ID               string
	Group            string
	Address          string
	AvailabilityZone string
	Slots            int
	Draining         bool
	Primary          bool
	WarmUp           time.Duration
	// Sequence counts the server's own reports since Born, its start in
	// milliseconds of Unix time.
	Sequence uint64
	Boot     int64
	// Revision is the platform's revision of the report.
	Revision uint64
}

// Verb is what a caller's statement does.
type Verb uint8

// Verbs of statements.
const (
	VerbUnknown Verb = iota
	VerbBegin
	VerbBeginRead
	VerbCommit
	VerbRollback
	VerbRead
	VerbWrite
	VerbSet
	VerbPrepare
	VerbExecute
	VerbDeallocate
	// The others are of our own, to backend servers.
	VerbReset
	VerbStatus
	VerbDemote
)

// Statement is one request of a caller.
type Statement struct {
	// ID is the caller's, it goes along unchanged.
	ID   string
	Verb Verb
	// Name is that of a value or of a prepared statement.
	Name string
	// Argument is the value, the shape, or what follows the name of an execution.
	Argument string
	// Writes says that a prepared statement writes.
	Writes bool
	// Text is the statement as the caller sent it.
	Text string
}

// Code is the reason of an error answer.
type Code uint8

// Codes. Those up to CodeNoLease mean that the statement did not run.
const (
	CodeNone Code = iota
	CodeBusy
	CodeLagging
	CodeReadOnly
	CodeMisrouted
	CodeTooManyConnections
	CodeNoSuchStatement
	// CodeServerUnreachable is the word of the host that owns the server's connections: it doesn't
	// reach the server.
	CodeServerUnreachable
	// CodeNoLease is the word of that host as well: it had no connection for the statement
	// in time.
	CodeNoLease
	CodeAborted
	CodeFailed
	CodeTimeout
	CodeOutcomeUnknown
	CodeNoDatabase
	CodeMalformed
	CodeTooBig
	// CodeOther is one that the server named and that isn't known here.
	CodeOther
)

// NotRun reports whether the code proves that the statement took no effect and
// may be tried elsewhere.
func (c Code) NotRun() bool {
	return c >= CodeBusy && c <= CodeNoLease
}

// FromOwner reports whether the code is the word of the host that owns the server's
// connections: nothing was sent to the server.
func (c Code) FromOwner() bool { return c == CodeServerUnreachable || c == CodeNoLease }

// State is where a session or connection stands.
type State uint8

// States after an answer.
const (
	StateIdle State = iota
	StateTransaction
	StateFailed
)

// Request is one statement for a backend server.
type Request struct {
	// ID is the caller's, empty for a statement of our own.
	ID string
	// Text is a caller's statement as it came. If it is empty, the fields below
	// say what the statement is.
	Text           string
	Verb           Verb
	Name, Argument string
	Writes         bool
	// Term goes with VerbDemote.
	Term marker.Term
	// RequiredPosition, if it isn't zero, is the position that the server's log must have.
	RequiredPosition marker.Mark
}

// Answer is a backend server's whole answer to one request.
type Answer struct {
	// Body holds the messages before the last one as they came, for the caller.
	Body []byte
	Code Code
	// Detail is the text of an error.
	Detail string
	// RetryAfter goes with CodeNoLease: when there will be room, zero if that isn't known.
	RetryAfter time.Duration
	// Row is the first row, for statements of our own.
	Row   string
	State State
	// Position is the end of the server's log, zero if it isn't told.
	Position marker.Mark
}

// Status is a backend server's own word on its part in the group.
type Status struct {
	Primary bool
	// Term is the newest term that the server knows.
	Term     marker.Term
	Received marker.Mark
	// PauseTerm is the term of a pause, zero if there is none.
	PauseTerm marker.Term
	Lag       time.Duration
	// Busy and Connections are counts of the whole server.
	Busy, Connections int
}

// Host is another entry host.
type Host struct {
	Name string
	// Address takes connections from other hosts.
	Address          string
	AvailabilityZone string
	// Bandwidth is that of the host's link in bits a second, zero where it isn't known.
	Bandwidth int64
}

// Source is where an answer comes from.
type Source uint8

// Sources.
const (
	// SourceStore is the platform's object store.
	SourceStore Source = iota
	// SourceHost is another entry host.
	SourceHost
)

// String returns the source's name in logs and metrics.
func (s Source) String() string {
	if s == SourceHost {
		return "host"
	}
	return "store"
}

// Transfer is one answer that was received or sent, as far as it came.
type Transfer struct {
	Source Source
	// Kind is the kind of object, Peer the other end.
	Kind string
	Peer string
	// Bytes are those that were transferred.
	Bytes int
	// Waited is the time from the question to the answer's first byte, or what it took to
	// encode an answer that is sent. Took is the time from the first byte to the last.
	Waited, Took time.Duration
	// Err is why the rest of the answer wasn't transferred, nil if all was.
	Err error
}
