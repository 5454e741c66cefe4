package encoder

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/cuminwick/cuminwick/internal/backend/controller"
)

// Kind identifies what a message requests.
type Kind string

// Kinds of messages between entry hosts. Other packages define more.
const (
	// KindForward requests a lease on a backend server's connection.
	KindForward Kind = "forward"
	// KindCancel cancels a forwarded transaction's statement.
	KindCancel Kind = "cancel"
	// KindStatus requests the statuses of backend servers.
	KindStatus Kind = "status"
	// KindObserve requests a second observation of a backend server or an entry host.
	KindObserve Kind = "observe"
	// KindGossip carries heartbeats and summaries of the members.
	KindGossip Kind = "gossip"
	// KindConfiguration carries revisions of the configuration.
	KindConfiguration Kind = "configuration"
)

// RequiresRevision reports whether requests of this kind depend on the configuration, so that a
// host must be at the sender's revision before it handles them. Other requests must not wait for
// the revision, in particular those by which a host obtains it.
func (k Kind) RequiresRevision() bool {
	return k == KindForward
}

// Sender identifies the sender of a request or an answer.
type Sender struct {
	// Host is the host's name.
	Host string `cbor:"1,keyasint"`
	// Incarnation distinguishes a host from an earlier one of the same name.
	Incarnation uint64 `cbor:"2,keyasint"`
	// Revision is the configuration revision in force at the sender.
	Revision uint64 `cbor:"3,keyasint"`
}

// Request is the first message on a stream, or a datagram.
type Request struct {
	Kind   Kind   `cbor:"1,keyasint"`
	Sender Sender `cbor:"2,keyasint"`
	// Body is the encoded message of Kind.
	Body cbor.RawMessage `cbor:"3,keyasint,omitempty"`
}

// Answer is the first message in the other direction of a stream.
type Answer struct {
	Sender Sender `cbor:"1,keyasint"`
	// Body is the encoded answer to the request.
	Body cbor.RawMessage `cbor:"2,keyasint,omitempty"`
	// Refusal is set instead of Body if the request was refused.
	Refusal *Refusal `cbor:"3,keyasint,omitempty"`
}

// Reason is the reason for which a request was refused.
type Reason string

// Reasons for refusals. A refused request has had no effect.
const (
	// ReasonNotOwner means that the host has no pool for the backend server.
	ReasonNotOwner Reason = "not-owner"
	// ReasonQueueFull means that too many requests are queued.
	ReasonQueueFull Reason = "queue-full"
	// ReasonDeadline means that the expected wait exceeds the deadline.
	ReasonDeadline Reason = "deadline"
	// ReasonUnreachable means that the host can't reach the backend server.
	ReasonUnreachable Reason = "unreachable"
	// ReasonNotRunning means that no server accepts connections at the backend server's address.
	ReasonNotRunning Reason = "not-running"
	// ReasonConnectionLimit means that the backend server accepts no more connections.
	ReasonConnectionLimit Reason = "connection-limit"
	// ReasonLeaving means that the host or the backend server is leaving.
	ReasonLeaving Reason = "leaving"
	// ReasonRevision means that the host failed to catch up with the sender's revision.
	ReasonRevision Reason = "revision"
	// ReasonUnknownKind means that the host doesn't support this kind of message.
	ReasonUnknownKind Reason = "unknown-kind"
	// ReasonMalformed means that the message couldn't be decoded, or names another host as sender.
	ReasonMalformed Reason = "malformed"
	// ReasonFault means that the request failed at the host for another reason.
	ReasonFault Reason = "fault"
)

// Refusal is the error by which a peer refuses a request.
type Refusal struct {
	Reason Reason `cbor:"1,keyasint"`
	// Detail is a text for logs and error messages.
	Detail string `cbor:"2,keyasint,omitempty"`
	// RetryAfter is the suggested wait before another attempt, zero if unknown.
	RetryAfter time.Duration `cbor:"3,keyasint,omitempty"`
}

// Error returns the reason and the detail, if any.
func (r *Refusal) Error() string {
	if r.Detail == "" {
		return fmt.Sprintf("refused: %s", r.Reason)
	}
	return fmt.Sprintf("refused: %s: %s", r.Reason, r.Detail)
}

// Setting is a session setting.
type Setting struct {
	Name string `cbor:"1,keyasint"`
	// Value is the right side of a SET command.
	Value string `cbor:"2,keyasint"`
}

// Forward requests a lease on a connection from the pool owner of a backend server. After the Grant
// the stream carries the transaction's raw bytes.
type Forward struct {
	DatabaseGroup string `cbor:"1,keyasint"`
	BackendServer string `cbor:"2,keyasint"`
	// Remaining is the time until the caller's deadline, zero if there is none. It isn't a point in
	// time because the clocks of two hosts may differ.
	Remaining time.Duration `cbor:"3,keyasint,omitempty"`
	// Priority orders the queue, lower first.
	Priority int    `cbor:"4,keyasint,omitempty"`
	Team     string `cbor:"5,keyasint,omitempty"`
	// Session and Request identify the demand in the logs of both hosts.
	Session string `cbor:"6,keyasint,omitempty"`
	Request uint64 `cbor:"7,keyasint,omitempty"`
	// Write distinguishes writes from reads.
	Write bool `cbor:"8,keyasint,omitempty"`
	// CancelKey identifies this transaction in a later Cancel. It is unique at the sender.
	CancelKey uint64 `cbor:"9,keyasint,omitempty"`
	// Settings are the settings of the caller's session.
	Settings []Setting `cbor:"10,keyasint,omitempty"`
	// AskParameters requests the parameter statuses that the backend server reported at connect. A
	// sender that has them already leaves it unset, which saves their bytes.
	AskParameters bool `cbor:"11,keyasint,omitempty"`
	// BatchHeld reports that the sender holds back the first batch. The pool owner then requests
	// the batch shortly before the connection is expected to be available, so that both are there
	// at the same time.
	BatchHeld bool `cbor:"12,keyasint,omitempty"`
}

// Grant is the answer to a Forward.
type Grant struct {
	// Generation numbers this use of the connection at the pool owner.
	Generation uint64 `cbor:"1,keyasint"`
	// Parameters are the parameter statuses that the backend server reported at connect.
	Parameters []Setting `cbor:"2,keyasint,omitempty"`
}

// Cancel requests to cancel the running statement of a forwarded transaction.
type Cancel struct {
	// Key is the transaction's Forward.CancelKey.
	Key uint64 `cbor:"1,keyasint"`
	// Generation is the Grant.Generation of the transaction. Other uses of the connection aren't
	// cancelled, so that a late Cancel doesn't affect the next caller.
	Generation uint64 `cbor:"2,keyasint"`
}

// CancelAnswer is the answer to a Cancel.
type CancelAnswer struct {
	// Delivered reports whether the transaction was still in progress.
	Delivered bool `cbor:"1,keyasint"`
}

// StatusRequest requests the last statuses of a group's backend servers.
type StatusRequest struct {
	DatabaseGroup string `cbor:"1,keyasint"`
}

// StatusAnswer holds the statuses with their ages.
type StatusAnswer struct {
	Statuses []AgedStatus `cbor:"1,keyasint"`
}

// AgedStatus is a backend server's status and the time since it was read.
type AgedStatus struct {
	Status controller.Status `cbor:"1,keyasint"`
	Age    time.Duration     `cbor:"2,keyasint"`
}

// SubjectKind is the kind of the subject of an observation.
type SubjectKind string

// Kinds of subjects.
const (
	SubjectBackendServer SubjectKind = "backend-server"
	SubjectEntryHost     SubjectKind = "entry-host"
)

// Observe asks a second observer whether a subject answers on a new connection.
type Observe struct {
	Kind SubjectKind `cbor:"1,keyasint"`
	Name string      `cbor:"2,keyasint"`
	// Incarnation is the incarnation of the subject, if it is an entry host.
	Incarnation uint64 `cbor:"3,keyasint,omitempty"`
}

// ObserveAnswer is the second observer's answer.
type ObserveAnswer struct {
	// Reachable reports whether the subject answered on a connection made after the request
	// arrived.
	Reachable bool `cbor:"1,keyasint"`
	// Detail describes the failure, for logs.
	Detail string `cbor:"2,keyasint,omitempty"`
}
