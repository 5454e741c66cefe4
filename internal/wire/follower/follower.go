// Package follower matches the messages of a backend server to the items of the batch that they answer.
package follower

import "github.com/cuminwick/cuminwick/internal/wire/batcher"

// Types of message that a backend server sends.
const (
	ParseComplete        byte = '1'
	BindComplete         byte = '2'
	CloseComplete        byte = '3'
	NoData               byte = 'n'
	RowDescription       byte = 'T'
	ParameterDescription byte = 't'
	DataRow              byte = 'D'
	CommandComplete      byte = 'C'
	EmptyQueryResponse   byte = 'I'
	PortalSuspended      byte = 's'
	ErrorResponse        byte = 'E'
	NoticeResponse       byte = 'N'
	ParameterStatus      byte = 'S'
	NotificationResponse byte = 'A'
	ReadyForQuery        byte = 'Z'
	CopyInResponse       byte = 'G'
	CopyOutResponse      byte = 'H'
	CopyBothResponse     byte = 'W'
	BackendCopyData      byte = 'd'
	BackendCopyDone      byte = 'c'
)

// Follower tracks the answers to one batch.
//
// A backend server answers the items of a batch in order, and the last message of each answer has a
// type that marks it as such. After an error the server skips everything up to the Sync. By counting
// these last messages, a Follower determines which answers belong to messages that the caller didn't
// send, which answers must be synthesized, and when a batch that ends with a Flush is answered.
type Follower struct {
	// Batch is the batch that was sent. It is set before use.
	Batch *batcher.Batch
	// Failed reports that an ErrorResponse was received.
	Failed bool

	// next is the index of the first item whose answer isn't complete.
	next int
	// described reports that the parameters of the next item, a Describe, were received.
	described bool
	// result is the type of the first message of a result that isn't complete, zero if there is none.
	result byte
	// results counts the complete results of the next item, a Query.
	results int
	// beginDiscarded reports that the answer to the prepended BEGIN of a Query was discarded.
	beginDiscarded bool
}

// NextInjected returns the type of the synthesized answer that is due now, or false if none is. It is
// called before the first message of the backend server and after each one, until it returns false.
func (f *Follower) NextInjected() (byte, bool) {
	for f.next < len(f.Batch.Items) {
		i := f.Batch.Items[f.next]
		if i.Answer == batcher.Inject {
			f.next++
			return injectedType(i.Type), true
		}
		if i.Answer != batcher.Omit && i.Type != batcher.Flush {
			return 0, false
		}
		f.next++
	}
	return 0, false
}

// Accept processes the type of the next message of the backend server and reports whether the message
// is forwarded to the caller.
func (f *Follower) Accept(t byte) bool {
	f.record(t)
	if t == ErrorResponse {
		return f.acceptError()
	}
	if f.next >= len(f.Batch.Items) {
		return true
	}
	i := f.Batch.Items[f.next]
	if !IsAnswer(t) {
		return true
	}
	if completes(i.Type, t) {
		f.next++
		f.described, f.result = false, 0
	}
	if i.Begins && t == CommandComplete && !f.beginDiscarded {
		f.beginDiscarded = true
		return false
	}
	return i.Answer == batcher.Pass
}

// Done reports whether all items of the batch are answered.
func (f *Follower) Done() bool {
	return f.next >= len(f.Batch.Items)
}

// acceptError skips to the Sync or Query. It always returns true, because the caller gets every error,
// even that of a message which the caller didn't send.
func (f *Follower) acceptError() bool {
	f.Failed = true
	for f.next < len(f.Batch.Items) {
		t := f.Batch.Items[f.next].Type
		if t == batcher.Sync || t == batcher.Query {
			return true
		}
		f.next++
	}
	return true
}

// IsAnswer reports whether a message of type t answers an item. The other types may be sent by a
// backend server at any time.
func IsAnswer(t byte) bool {
	return t != NoticeResponse && t != ParameterStatus && t != NotificationResponse
}

// completes reports whether a message of type t is the last one of the answer to an item of the given
// type.
func completes(item, t byte) bool {
	switch item {
	case batcher.Parse:
		return t == ParseComplete
	case batcher.Bind:
		return t == BindComplete
	case batcher.Close:
		return t == CloseComplete
	case batcher.Describe:
		return t == RowDescription || t == NoData
	case batcher.Execute:
		return t == CommandComplete || t == EmptyQueryResponse || t == PortalSuspended
	default:
		return t == ReadyForQuery
	}
}

// injectedType returns the type of the synthesized answer to an item of the given type, which is Parse
// or Close.
func injectedType(item byte) byte {
	if item == batcher.Parse {
		return ParseComplete
	}
	return CloseComplete
}

// Unanswered returns the items whose answers aren't complete yet.
func (f *Follower) Unanswered() []batcher.Item {
	return f.Batch.Items[min(f.next, len(f.Batch.Items)):]
}
