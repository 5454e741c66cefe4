package encoder

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/cuminwick/cuminwick/internal/backend/controller"
)

// Kind names what a message asks for.
type Kind string

// Kinds of message between entry hosts.
const (
	// KindForward asks for a lease on a backend server's connection.
	KindForward Kind = "forward"
	// KindCancel cancels a forwarded transaction's statement.
	KindCancel Kind = "cancel"
	// KindStatus asks for the statuses of backend servers.
	KindStatus Kind = "status"
	// KindObserve asks for a second observer's word on a backend server or host.
	KindObserve Kind = "observe"
	// KindGossip carries heartbeats and summaries of members.
	KindGossip Kind = "gossip"
	// KindConfiguration carries revisions of the configuration.
	KindConfiguration Kind = "configuration"
)

// RequiresRevision reports whether the configuration decides requests of this kind, so
// that the host must be at the sender's revision before it handles them. Others
// must not wait, least of all those by which a host gets the revision.
func (k Kind) RequiresRevision() bool {
	return k == KindForward
}

// Sender is on every message, in requests and in answers.
type Sender struct {
	Host string `cbor:"1,keyasint"`
	// Incarnation tells a replaced host from the one before it.
	Incarnation uint64 `cbor:"2,keyasint"`
	// Revision is the configuration in force at the sender.
	Revision uint64 `cbor:"3,keyasint"`
}

// Request opens a stream, or is a datagram.
type Request struct {
	Kind   Kind            `cbor:"1,keyasint"`
	Sender Sender          `cbor:"2,keyasint"`
	Body   cbor.RawMessage `cbor:"3,keyasint,omitempty"`
}

// Answer is the first message back on a stream.
type Answer struct {
	Sender Sender          `cbor:"1,keyasint"`
	Body   cbor.RawMessage `cbor:"2,keyasint,omitempty"`
	// Refusal is set instead of Body where the request was refused.
	Refusal *Refusal `cbor:"3,keyasint,omitempty"`
}

// Reason says why a request was refused.
type Reason string

// Reasons of refusals. After each of them nothing of the request took effect.
const (
	// ReasonNotOwner says that the host holds no pool for the backend server.
	ReasonNotOwner Reason = "not-owner"
	// ReasonQueueFull says that too many requests wait already.
	ReasonQueueFull Reason = "queue-full"
	// ReasonDeadline says that the expected wait exceeds the deadline.
	ReasonDeadline Reason = "deadline"
	// ReasonUnreachable says that the backend server can't be reached from there.
	ReasonUnreachable Reason = "unreachable"
	// ReasonNotRunning says that no server takes connections at the backend
	// server's address.
	ReasonNotRunning Reason = "not-running"
	// ReasonConnectionLimit says that the backend server has no connection left.
	ReasonConnectionLimit Reason = "connection-limit"
	// ReasonLeaving says that the host or the backend server is leaving.
	ReasonLeaving Reason = "leaving"
	// ReasonRevision says that the host can't move up to the sender's revision.
	ReasonRevision Reason = "revision"
	// ReasonUnknownKind says that the host doesn't know this kind of message.
	ReasonUnknownKind Reason = "unknown-kind"
	// ReasonMalformed says that the message couldn't be decoded.
	ReasonMalformed Reason = "malformed"
	// ReasonFault says that something else went wrong at the host.
	ReasonFault Reason = "fault"
)

// Refusal is the error that a peer answers with.
type Refusal struct {
	Reason Reason `cbor:"1,keyasint"`
	// Detail is for people.
	Detail string `cbor:"2,keyasint,omitempty"`
	// RetryAfter hints when to come back, zero if unknown.
	RetryAfter time.Duration `cbor:"3,keyasint,omitempty"`
}

// Error returns reason and detail.
func (r *Refusal) Error() string {
	if r.Detail == "" {
		return fmt.Sprintf("refused: %s", r.Reason)
	}
	return fmt.Sprintf("refused: %s: %s", r.Reason, r.Detail)
}

// Setting is one session setting as the right side of a SET command.
type Setting struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Forward asks the pool owner of a backend server for a lease on a connection.
// Once it is granted the stream carries the transaction's raw bytes.
type Forward struct {
	DatabaseGroup string `cbor:"1,keyasint"`
	BackendServer string `cbor:"2,keyasint"`
	// Remaining is the time until the caller gives up, zero if never. It is a
	// span because the clocks of two hosts aren't compared.
	Remaining time.Duration `cbor:"3,keyasint,omitempty"`
	// Priority orders the queue, lower first.
	Priority int    `cbor:"4,keyasint,omitempty"`
	Team     string `cbor:"5,keyasint,omitempty"`
	// Session and Request identify the demand in the logs of both hosts.
	Session string `cbor:"6,keyasint,omitempty"`
	Request uint64 `cbor:"7,keyasint,omitempty"`
	Write   bool   `cbor:"8,keyasint,omitempty"`
	// CancelKey is what a later Cancel names this transaction by, unique at the sender.
	CancelKey uint64    `cbor:"9,keyasint,omitempty"`
	Settings  []Setting `cbor:"10,keyasint,omitempty"`
	// AskParameters asks for the statuses that the backend server reported at
	// connect; a host that has them already spares their bytes.
	AskParameters bool `cbor:"11,keyasint,omitempty"`
	// BatchHeld asks for a word ahead of the connection, so that the first exchange,
	// which the sender holds back, is there when the connection is.
	BatchHeld bool `cbor:"12,keyasint,omitempty"`
}

// Grant answers a Forward.
type Grant struct {
	// Generation numbers this use of the connection at the pool owner.
	Generation uint64 `cbor:"1,keyasint"`
	// Parameters are the statuses that the backend server reported at connect.
	Parameters []Setting `cbor:"2,keyasint,omitempty"`
}

// Cancel asks to cancel the statement that a forwarded transaction runs.
type Cancel struct {
	// Key is the transaction's Forward.CancelKey.
	Key uint64 `cbor:"1,keyasint"`
	// Generation is the use of the connection that is meant. Another one is
	// left alone: a late cancel must not hit the next caller.
	Generation uint64 `cbor:"2,keyasint"`
}

// CancelAnswer tells what a cancel met.
type CancelAnswer struct {
	// Delivered says that the transaction was still there.
	Delivered bool `cbor:"1,keyasint"`
}

// StatusRequest asks for what a host knows of a group's backend servers.
type StatusRequest struct {
	DatabaseGroup string `cbor:"1,keyasint"`
}

// StatusAnswer holds the statuses with their ages.
type StatusAnswer struct {
	Statuses []AgedStatus `cbor:"1,keyasint"`
}

// AgedStatus is a backend server's status and how long ago it was taken.
type AgedStatus struct {
	Status controller.Status `cbor:"1,keyasint"`
	Age    time.Duration     `cbor:"2,keyasint"`
}

// SubjectKind says what is observed.
type SubjectKind string

// Kinds of subject.
const (
	// SubjectBackendServer is a backend server.
	SubjectBackendServer SubjectKind = "backend-server"
	// SubjectEntryHost is an entry host.
	SubjectEntryHost SubjectKind = "entry-host"
)

// Observe asks a second observer whether it hears a subject on a fresh connection.
type Observe struct {
	Kind SubjectKind `cbor:"1,keyasint"`
	Name string      `cbor:"2,keyasint"`
	// Incarnation of an entry host that is meant.
	Incarnation uint64 `cbor:"3,keyasint,omitempty"`
}

// ObserveAnswer is the second observer's word.
type ObserveAnswer struct {
	// Reachable says that a connection made after the request arrived was answered.
	Reachable bool `cbor:"1,keyasint"`
	// Detail says what failed, for logs.
	Detail string `cbor:"2,keyasint,omitempty"`
}
