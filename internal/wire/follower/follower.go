// Package follower matches the messages of a backend server to the batch that they answer.
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

// Follower follows the answers to one batch.
//
// A backend server answers the items of a batch in order, each with one last
// message; after an error it skips everything up to the Sync. Counting these
// tells which answers belong to messages that the caller never sent, which
// answers must be made up, and when a batch that ends in Flush is answered.
type Follower struct {
	Batch *batcher.Batch
	// Failed says that an ErrorResponse came.
	Failed bool

	next int
	// begun says that the answer to the Query's own BEGIN was dropped.
	begun bool
}

// NextInjected returns the type of the made-up answer that is due now, if any.
func (f *Follower) NextInjected() (byte, bool) {
	for f.next < len(f.Batch.Items) {
		i := f.Batch.Items[f.next]
		if i.Answer == batcher.Inject {
			f.next++
			return injected(i.Type), true
		}
		if i.Answer != batcher.Omit && i.Type != batcher.Flush {
			return 0, false
		}
		f.next++
	}
	return 0, false
}

// Accept takes the type of the next message and reports whether the caller gets it.
func (f *Follower) Accept(t byte) bool {
	if t == ErrorResponse {
		return f.acceptError()
	}
	if f.next >= len(f.Batch.Items) {
		return true
	}
	i := f.Batch.Items[f.next]
	if !ofRequest(t) {
		return true
	}
	if ends(i.Type, t) {
		f.next++
	}
	if i.Begins && t == CommandComplete && !f.begun {
		f.begun = true
		return false
	}
	return i.Answer == batcher.Pass
}

// Done reports whether the whole batch is answered.
func (f *Follower) Done() bool {
	return f.next >= len(f.Batch.Items)
}

// acceptError skips to the Sync; the error itself always reaches the caller,
// also that of a message which the caller didn't send.
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

// ofRequest reports whether a message type answers an item, unlike those that
// a backend server may send at any time.
func ofRequest(t byte) bool {
	return t != NoticeResponse && t != ParameterStatus && t != NotificationResponse
}

func ends(item, t byte) bool {
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

func injected(item byte) byte {
	if item == batcher.Parse {
		return ParseComplete
	}
	return CloseComplete
}

// Unanswered returns the items that aren't answered yet.
func (f *Follower) Unanswered() []batcher.Item {
	return f.Batch.Items[min(f.next, len(f.Batch.Items)):]
}
