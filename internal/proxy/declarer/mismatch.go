package declarer

import "time"

// MismatchReason says why an answer of a backend server can't be that of the statement that it came for.
type MismatchReason uint8

// Reasons.
const (
	// MismatchNone means that nothing speaks against it.
	MismatchNone MismatchReason = iota
	// MismatchUnread means that bytes arrived while no statement was pending.
	MismatchUnread
	// MismatchUnrequested means that a whole answer arrived while no statement was pending.
	MismatchUnrequested
	// MismatchRepeated means that the same answer has answered an earlier statement.
	MismatchRepeated
	// MismatchInterleaved means that parts of several answers have arrived as one.
	MismatchInterleaved
	// MismatchUnsigned means that the success of a caller's statement has no signature.
	MismatchUnsigned
	// MismatchSigned means that the success of one of the proxy's own statements has a signature.
	MismatchSigned
	// MismatchState means that the statement can't lead to the state.
	MismatchState
	// MismatchPosition means that the end of the primary's log has gone back.
	MismatchPosition
	// MismatchRows means that the answer has a row where the statement has none, or none where it has one.
	MismatchRows
	// MismatchNoResult means that the answer is neither a success nor an error.
	MismatchNoResult
	// MismatchOrder means that a message came after the answer's result.
	MismatchOrder
	// MismatchEqualError means that an equal error has just answered an earlier statement.
	MismatchEqualError
)

var mismatchNames = [...]string{
	MismatchNone:        "none",
	MismatchUnread:      "unread-bytes",
	MismatchUnrequested: "unrequested",
	MismatchRepeated:    "repeated",
	MismatchInterleaved: "interleaved",
	MismatchUnsigned:    "unsigned",
	MismatchSigned:      "signed",
	MismatchState:       "state",
	MismatchPosition:    "position",
	MismatchRows:        "rows",
	MismatchNoResult:    "no-result",
	MismatchOrder:       "order",
	MismatchEqualError:  "equal-error",
}

// String returns the reason's name in logs and metrics.
func (r MismatchReason) String() string { return mismatchNames[r] }

// Mismatch describes an answer, or a part of one, that isn't that of the statement that it came for.
type Mismatch struct {
	Server string
	Group  string
	Reason MismatchReason
	// Expected describes the oldest pending statement, empty if there is none.
	Expected string
	// Received is the beginning of what was received.
	Received string
	// Pending is how many statements hadn't been answered.
	Pending int
	// Repeats is how long ago the same answer has answered another statement, zero if it hasn't.
	Repeats time.Duration
	// Age is the age of the connection, and Rest how long ago the last statement was sent on it.
	Age, Rest time.Duration
}
