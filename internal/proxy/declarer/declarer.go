// Package declarer holds the data types shared by the parts of the statement proxy.
package declarer

import (
	"time"

	"github.com/cuminwick/cuminwick/internal/customer/identifier"
	"github.com/cuminwick/cuminwick/internal/customer/limiter"
	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/limit/admitter"
	"github.com/cuminwick/cuminwick/internal/limit/forecaster"
)

// RouteKind is the consistency that the reads of a route require.
type RouteKind uint8

// Kinds of route.
const (
	// KindPrimary reads see every acknowledged commit.
	KindPrimary RouteKind = iota
	// KindBounded reads may miss the commits of the last MaximumStaleness.
	KindBounded
	// KindReadYourWrites is KindBounded, and a session sees all of its own commits.
	KindReadYourWrites
)

// Route assigns the sessions of one database to a database group.
type Route struct {
	Name             string
	Database         string
	Group            string
	Kind             RouteKind
	Timeout          time.Duration
	MaximumStaleness time.Duration
	// Objective is the target time for a whole operation of a caller, zero if there is none.
	Objective time.Duration
	// Anonymous admits callers whose key is unknown.
	Anonymous bool
	// Priority is the priority of the route's requests, from 0, the highest, to
	// admitter.MaximumPriority.
	Priority uint8
}

// Customer is an organization whose callers are identified by their keys.
type Customer struct {
	Name string
	// Limit bounds the operations of its callers, over all entry hosts.
	Limit limiter.Limit
	// Priority orders customers whose routes have equal priority, like Route.Priority.
	Priority uint8
	// Share is the declared weight in the division of slot time among customers, zero if none is.
	Share float64
}

// Group is the declaration of one database group.
type Group struct {
	Name string
	// MaximumConnections bounds the connections to each server, those of all callers together.
	MaximumConnections int
	// SynchronousReplicas is how many replicas must hold a commit before it is acknowledged.
	SynchronousReplicas int
}

// Configuration is one complete version of what the operator declared.
type Configuration struct {
	Version uint64
	// Routes are keyed by database.
	Routes map[string]Route
	// Groups are keyed by name.
	Groups map[string]Group
	// IdleTransactionTimeout is how long an open transaction may wait for its caller.
	IdleTransactionTimeout time.Duration
	// Customers are keyed by name. They are nil if the operator declares none, so that callers need
	// no key.
	Customers map[string]Customer
	Keys      identifier.Keys
	// Ranked is set if a route has priority 0 and the deployment's settings call for an order by priority.
	// Otherwise all requests are equally important.
	Ranked bool
	// Operations holds the operators' present requests.
	Operations Operations
	// Replaced describes the invalid values of the declaration in place of which others are in force.
	Replaced []string
}

// Operations are temporary requests of operators, which take effect with the configuration.
type Operations struct {
	// HeldCustomers and HeldRoutes are the names of customers and routes whose requests are refused.
	HeldCustomers, HeldRoutes map[string]bool
	// ShareFactors multiply the shares of customers, by name.
	ShareFactors map[string]float64
	// DrainedServers and DrainedHosts are the backend servers, by id, and entry hosts, by name, that
	// get no new work, as far as others can do it.
	DrainedServers, DrainedHosts map[string]bool
}

// Importance returns the importance of a customer's requests on the route.
func (c *Configuration) Importance(r Route, customer string) admitter.Importance {
	if !c.Ranked {
		return 0
	}
	p := uint8(admitter.DefaultPriority)
	if x, ok := c.Customers[customer]; ok {
		p = x.Priority
	}
	return admitter.RankedImportance(r.Priority, p)
}

// Identify returns the customer that a caller of the route with this key belongs to, false if the
// caller isn't admitted. The customer of an anonymous caller is empty.
func (c *Configuration) Identify(r Route, key identifier.Digest) (string, bool) {
	if c.Customers == nil {
		return "", true
	}
	n, ok := c.Keys.Customer(key)
	return n, ok || r.Anonymous
}

// Server is the latest report of a backend server about itself.
type Server struct {
	ID               string
	Group            string
	Address          string
	AvailabilityZone string
	// Slots is how many statements the server runs at a time, zero if it doesn't report that.
	Slots    int
	Draining bool
	Primary  bool
	// WarmUp is how much longer the server remains slow after its start.
	WarmUp time.Duration
	// Sequence counts the server's reports since Boot, when the server process started, in
	// milliseconds of Unix time.
	Sequence uint64
	Boot     int64
	// Revision is the platform's revision of the report.
	Revision uint64
}

// Verb is the operation of a statement.
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
	// The proxy itself sends the following to backend servers.
	VerbReset
	VerbStatus
	VerbDemote
	// VerbPause stops a replica from receiving until VerbResume or a promotion.
	VerbPause
	VerbResume
	// VerbPosition asks the host that owns the server's connections for a position that the primary
	// had. It is never sent to a server.
	VerbPosition
)

// Statement is one request of a caller.
type Statement struct {
	// ID is the caller's request id, which is passed on unchanged.
	ID   string
	Verb Verb
	// Name is the name of a setting (VerbSet) or of a prepared statement.
	Name string
	// Argument is the value of a setting, the text of a prepared statement, or the arguments of
	// an execution.
	Argument string
	// Writes reports that a prepared statement writes.
	Writes bool
	// Text is the statement as the caller sent it.
	Text string
	// Limit is the length in bytes up to which the text fits into a message to a server, zero if any does.
	Limit int
}

// PositionBytes is by how many bytes a required position lengthens a text at most.
const PositionBytes = 48

// Code is the reason of an error answer.
type Code uint8

// Codes. CodeBusy to CodeNoLease mean that the statement did not run.
const (
	CodeNone Code = iota
	CodeBusy
	CodeLagging
	CodeReadOnly
	CodeMisrouted
	CodeTooManyConnections
	CodeNoSuchStatement
	// CodeServerUnreachable is set by the host that owns the server's connections if it can't
	// reach the server.
	CodeServerUnreachable
	// CodeNoLease is set by the same host if no connection became available for the statement in
	// time.
	CodeNoLease
	CodeAborted
	CodeFailed
	CodeTimeout
	CodeOutcomeUnknown
	CodeNoDatabase
	// CodeUnauthorized means that the caller's key is unknown.
	CodeUnauthorized
	CodeMalformed
	CodeTooBig
	// CodeOther is a code that the server sent and that is not known here.
	CodeOther
)

// NotRun reports whether the code proves that the statement had no effect and may be retried on
// another server.
func (c Code) NotRun() bool {
	return c >= CodeBusy && c <= CodeNoLease
}

// FromOwner reports whether the code was set by the host that owns the server's connections, so
// that nothing was sent to the server.
func (c Code) FromOwner() bool { return c == CodeServerUnreachable || c == CodeNoLease }

// State is the transaction state of a session or connection.
type State uint8

// States after an answer.
const (
	StateIdle State = iota
	StateTransaction
	StateFailed
)

// Request is one statement for a backend server.
type Request struct {
	// ID is the caller's request id, empty for a statement of the proxy itself.
	ID string
	// Text is a caller's statement as received, with VerbSet the one by which the value was set. If it
	// is empty, the following fields define the statement.
	Text           string
	Verb           Verb
	Name, Argument string
	Writes         bool
	// Term is the argument of VerbDemote and VerbPause.
	Term marker.Term
	// MaximumAge is the argument of VerbPosition: how long ago the primary may have had the position.
	MaximumAge time.Duration
	// RequiredPosition is the position that the server's log must have reached, zero for none.
	RequiredPosition marker.Mark
}

// Answer is a backend server's complete answer to one request.
type Answer struct {
	// Body holds the messages before the last one as received, for the caller.
	Body []byte
	Code Code
	// Detail is the text of an error.
	Detail string
	// RetryAfter goes with CodeNoLease: the time until a connection is expected to be available,
	// zero if unknown.
	RetryAfter time.Duration
	// Forecast goes with CodeNoLease: which further requests would be refused, zero if unknown.
	Forecast forecaster.Forecast
	// Row is the first row, for statements of the proxy itself.
	Row   string
	State State
	// Position is the end of the server's log, zero if the answer doesn't contain it.
	Position marker.Mark
	// Age is how long ago the server had Position, in an answer to VerbPosition.
	Age time.Duration
}

// Status is a backend server's own report of its role in the group.
type Status struct {
	Primary bool
	// Term is the newest term known to the server.
	Term marker.Term
	// Received is the end of the log that the server has received.
	Received marker.Mark
	// PauseTerm is the term of the server's pause, zero if it is not paused.
	PauseTerm marker.Term
	Lag       time.Duration
	// Busy and Connections are totals of the server over all hosts: statements that run, and open
	// connections.
	Busy, Connections int
}

// Host is another entry host.
type Host struct {
	Name string
	// Address accepts connections from other hosts.
	Address          string
	AvailabilityZone string
	// Bandwidth is that of the host's link in bits per second, zero if unknown.
	Bandwidth int64
	// Strength is the number of slots of backend servers whose connections the host can own, zero if
	// unknown.
	Strength int
}

// Seeds are the hosts through which a starting host of one availability zone may read the platform,
// before it has the list of all hosts.
type Seeds struct {
	Hosts []Host
	// ZoneUpstreams is the number of hosts of the zone through which the others of it read.
	ZoneUpstreams int
}

// Source is where an answer comes from.
type Source uint8

// Sources of answers.
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

// Transfer describes one answer that was received or sent, possibly in part.
type Transfer struct {
	Source Source
	// Kind is the kind of object, Peer the remote end.
	Kind string
	Peer string
	// Bytes is the number of bytes transferred.
	Bytes int
	// Waited is the time from the request to the answer's first byte, or for a sent answer the
	// time to encode it. Took is the time from the first byte to the last.
	Waited, Took time.Duration
	// Err is why the answer was not transferred completely, nil if it was.
	Err error
}
