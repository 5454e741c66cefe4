package messenger

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/limit/gate"
	"github.com/cuminwick/cuminwick/internal/peer/encoder"
	"github.com/cuminwick/cuminwick/internal/pool/exchanger"
	"github.com/cuminwick/cuminwick/internal/pool/lessor"
	"github.com/cuminwick/cuminwick/internal/session/replayer"
	"github.com/cuminwick/cuminwick/internal/wire/batcher"
)

// Item is one message of a batch.
type Item struct {
	Type   byte           `cbor:"1,keyasint"`
	Answer batcher.Answer `cbor:"2,keyasint,omitempty"`
	Name   string         `cbor:"3,keyasint,omitempty"`
	Raw    []byte         `cbor:"4,keyasint"`
	Begins bool           `cbor:"5,keyasint,omitempty"`
}

// Items are messages of the next batch, in order.
type Items struct {
	Items []Item `cbor:"1,keyasint"`
}

// Execute has a batch sent. Sequence numbers the exchanges of a lease from 1.
type Execute struct {
	Sequence      uint64 `cbor:"1,keyasint"`
	AskPosition   bool   `cbor:"2,keyasint,omitempty"`
	InTransaction bool   `cbor:"3,keyasint,omitempty"`
	AskBefore     bool   `cbor:"4,keyasint,omitempty"`
	// ReturnIfIdle lets the pool owner end the lease with the answer.
	ReturnIfIdle bool `cbor:"5,keyasint,omitempty"`
}

// Cancel cancels one exchange. A cancel that arrives after its exchange ended
// names a sequence number other than the present one and does nothing.
type Cancel struct {
	Sequence uint64 `cbor:"1,keyasint"`
}

// Release gives the connection back.
type Release struct {
	Clean       bool              `cbor:"1,keyasint"`
	Settings    []encoder.Setting `cbor:"2,keyasint,omitempty"`
	HiddenState bool              `cbor:"3,keyasint,omitempty"`
}

// EncodeSettings prepares a session's settings for a message.
func EncodeSettings(l replayer.Settings) []encoder.Setting {
	var r []encoder.Setting
	for _, s := range l {
		r = append(r, encoder.Setting{Name: s.Name, Value: s.SQLValue})
	}
	return r
}

// DecodeSettings undoes EncodeSettings.
func DecodeSettings(l []encoder.Setting) replayer.Settings {
	var r replayer.Settings
	for _, s := range l {
		r = append(r, replayer.Setting{Name: s.Name, SQLValue: s.Value})
	}
	return r
}

// Leased tells that a connection was lent.
type Leased struct {
	// Parameters are the statuses that the backend server reported at connect,
	// unless they weren't asked for.
	Parameters map[string]string `cbor:"1,keyasint,omitempty"`
}

// Result ends an exchange.
type Result struct {
	Sequence uint64      `cbor:"1,keyasint"`
	Status   byte        `cbor:"2,keyasint,omitempty"`
	Position marker.Mark `cbor:"3,keyasint,omitempty"`
	Code     string      `cbor:"4,keyasint,omitempty"`
	Tag      string      `cbor:"5,keyasint,omitempty"`
	Failure  *Failure    `cbor:"6,keyasint,omitempty"`
	// Load is the pool's queue, so that hosts that forward choose well.
	Load *gate.Load `cbor:"7,keyasint,omitempty"`
	// Before is the mark of the log before the batch.
	Before marker.Mark `cbor:"8,keyasint,omitempty"`
	// Returned says that the connection was given back and the stream ends.
	Returned bool `cbor:"9,keyasint,omitempty"`
}

// ExchangeResult returns what the exchange came to.
func (r *Result) ExchangeResult() exchanger.Result {
	return exchanger.Result{Status: r.Status, Position: r.Position, Before: r.Before, Code: r.Code, Tag: r.Tag, Returned: r.Returned}
}

// Cause says what kind of error a Failure was at the pool owner.
type Cause string

// Causes. After each one except CauseLost and CauseCaller nothing was sent.
const (
	CauseRefused         Cause = "refused"
	CauseNotSent         Cause = "not-sent"
	CauseUnreachable     Cause = "unreachable"
	CauseConnectionLimit Cause = "connection-limit"
	CauseCancelled       Cause = "cancelled"
	// CauseLost leaves the outcome open.
	CauseLost Cause = "lost"
	// CauseCallerGone is a caller that went away; the exchange was cancelled.
	CauseCallerGone Cause = "caller"
)

// Failure is an error of the pool owner on its way to the host that forwards.
type Failure struct {
	Cause   Cause  `cbor:"1,keyasint"`
	Message string `cbor:"2,keyasint"`
	// State is the SQLSTATE that the error brought along, empty if none.
	State      string        `cbor:"3,keyasint,omitempty"`
	RetryAfter time.Duration `cbor:"4,keyasint,omitempty"`
}

// NewFailure makes the Failure of err; sent says whether bytes of a batch may
// have reached the backend server.
func NewFailure(err error, sent bool) *Failure {
	f := &Failure{Cause: cause(err, sent), Message: err.Error()}
	var c interface{ SQLState() string }
	if f.Cause != CauseLost && errors.As(err, &c) {
		f.State = c.SQLState()
	}
	var r interface{ RetryAfterHint() time.Duration }
	if errors.As(err, &r) {
		f.RetryAfter = r.RetryAfterHint()
	}
	return f
}

func cause(err error, sent bool) Cause {
	switch {
	case errors.Is(err, exchanger.ErrLost):
		return CauseLost
	case errors.Is(err, lessor.ErrUnreachable):
		return CauseUnreachable
	case errors.Is(err, lessor.ErrConnectionLimit):
		return CauseConnectionLimit
	case errors.Is(err, lessor.ErrNotRun) && (errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)):
		return CauseCancelled
	case errors.Is(err, lessor.ErrNotRun):
		return CauseRefused
	case errors.Is(err, exchanger.ErrNotSent):
		return CauseNotSent
	case sent:
		return CauseCallerGone
	}
	return CauseRefused
}

// Err returns the error at the host that forwards; errors.Is and errors.As find
// in it what they would have found at the pool owner.
func (f *Failure) Err(host string) error {
	e := &remote{host: host, failure: f}
	if f.State == "" {
		return e
	}
	return &coded{remote: e}
}

// remote is an error that arose at the pool owner.
type remote struct {
	host    string
	failure *Failure
}

// Error implements error.
func (r *remote) Error() string {
	return r.failure.Message + " (at entry host " + r.host + ")"
}

// RetryAfterHint returns when another try makes sense, zero if unknown.
func (r *remote) RetryAfterHint() time.Duration { return r.failure.RetryAfter }

// Unwrap returns the sentinels that the error carried.
func (r *remote) Unwrap() []error {
	switch r.failure.Cause {
	case CauseLost, CauseCallerGone:
		return []error{exchanger.ErrLost}
	case CauseNotSent:
		return []error{exchanger.ErrNotSent, lessor.ErrNotRun}
	case CauseUnreachable:
		return []error{lessor.ErrUnreachable, lessor.ErrNotRun}
	case CauseConnectionLimit:
		return []error{lessor.ErrConnectionLimit, lessor.ErrNotRun}
	case CauseCancelled:
		return []error{context.Canceled, lessor.ErrNotRun}
	}
	return []error{lessor.ErrNotRun}
}

// coded is a remote error with a SQLSTATE of its own.
type coded struct {
	*remote
}

// SQLState returns the code for the caller.
func (c *coded) SQLState() string { return c.failure.State }
