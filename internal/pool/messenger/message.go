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

// Item is one message of a batch. All fields but Raw are those of batcher.Item.
type Item struct {
	Type   byte           `cbor:"1,keyasint"`
	Answer batcher.Answer `cbor:"2,keyasint,omitempty"`
	Name   string         `cbor:"3,keyasint,omitempty"`
	// Raw is the message as it is sent to the backend server.
	Raw    []byte `cbor:"4,keyasint"`
	Begins bool   `cbor:"5,keyasint,omitempty"`
	// Results is zero from a host that doesn't send it.
	Results int `cbor:"6,keyasint,omitempty"`
}

// Items holds messages of the next batch, in order.
type Items struct {
	Items []Item `cbor:"1,keyasint"`
}

// Execute makes the pool owner send the batch to the backend server. All fields but Sequence are
// those of lessor.Exchange.
type Execute struct {
	// Sequence is the number of the exchange within its lease, starting from 1.
	Sequence      uint64 `cbor:"1,keyasint"`
	AskPosition   bool   `cbor:"2,keyasint,omitempty"`
	InTransaction bool   `cbor:"3,keyasint,omitempty"`
	AskBefore     bool   `cbor:"4,keyasint,omitempty"`
	// ReturnIfIdle allows the pool owner to end the lease with the result.
	ReturnIfIdle bool `cbor:"5,keyasint,omitempty"`
	AskProof     bool `cbor:"6,keyasint,omitempty"`
}

// Cancel cancels one exchange. A cancel that arrives after its exchange ended has a sequence number
// other than the current one and does nothing.
type Cancel struct {
	// Sequence is that of the Execute.
	Sequence uint64 `cbor:"1,keyasint"`
}

// Release releases the connection and ends the lease. The fields are those of lessor.Return.
type Release struct {
	Clean       bool              `cbor:"1,keyasint"`
	Settings    []encoder.Setting `cbor:"2,keyasint,omitempty"`
	HiddenState bool              `cbor:"3,keyasint,omitempty"`
}

// EncodeSettings converts a session's settings to the form in which they are sent.
func EncodeSettings(l replayer.Settings) []encoder.Setting {
	var r []encoder.Setting
	for _, s := range l {
		r = append(r, encoder.Setting{Name: s.Name, Value: s.SQLValue})
	}
	return r
}

// DecodeSettings is the inverse of EncodeSettings.
func DecodeSettings(l []encoder.Setting) replayer.Settings {
	var r replayer.Settings
	for _, s := range l {
		r = append(r, replayer.Setting{Name: s.Name, SQLValue: s.Value})
	}
	return r
}

// Leased reports that a connection was leased.
type Leased struct {
	// Parameters are the parameter statuses that the backend server reported at connect, empty if
	// they weren't requested.
	Parameters map[string]string `cbor:"1,keyasint,omitempty"`
}

// Result is the result of an exchange. Position, Before, Status, Code and Tag are those of
// exchanger.Result.
type Result struct {
	// Sequence is that of the Execute.
	Sequence uint64      `cbor:"1,keyasint"`
	Status   byte        `cbor:"2,keyasint,omitempty"`
	Position marker.Mark `cbor:"3,keyasint,omitempty"`
	Code     string      `cbor:"4,keyasint,omitempty"`
	Tag      string      `cbor:"5,keyasint,omitempty"`
	// Failure is the error of the exchange, nil if there is none.
	Failure *Failure `cbor:"6,keyasint,omitempty"`
	// Load is the load of the pool's queue, by which forwarding hosts choose a backend server.
	Load *gate.Load `cbor:"7,keyasint,omitempty"`
	// Before is the mark of the backend server's log before the batch.
	Before marker.Mark `cbor:"8,keyasint,omitempty"`
	// Returned reports that the connection was returned to the pool and the stream ends.
	Returned bool `cbor:"9,keyasint,omitempty"`
}

// ExchangeResult converts r to the result of the exchange at the forwarding host.
func (r *Result) ExchangeResult() exchanger.Result {
	return exchanger.Result{Status: r.Status, Position: r.Position, Before: r.Before, Code: r.Code, Tag: r.Tag, Returned: r.Returned}
}

// Cause is the kind of error of a Failure at the pool owner.
type Cause string

// Causes. Nothing was sent to the backend server, except with CauseLost and CauseCallerGone.
const (
	// CauseRefused is any error before the batch was sent that has no cause of its own.
	CauseRefused Cause = "refused"
	// CauseNotSent corresponds to exchanger.ErrNotSent.
	CauseNotSent Cause = "not-sent"
	// CauseUnreachable corresponds to lessor.ErrUnreachable.
	CauseUnreachable Cause = "unreachable"
	// CauseConnectionLimit corresponds to lessor.ErrConnectionLimit.
	CauseConnectionLimit Cause = "connection-limit"
	// CauseCancelled is a request that was cancelled, or whose deadline passed, before it was sent.
	CauseCancelled Cause = "cancelled"
	// CauseLost is a connection lost after the batch was sent; the outcome is unknown.
	CauseLost Cause = "lost"
	// CauseCallerGone is a caller that disconnected; the exchange was cancelled.
	CauseCallerGone Cause = "caller"
)

// Failure is an error of the pool owner that is sent to the forwarding host.
type Failure struct {
	Cause Cause `cbor:"1,keyasint"`
	// Message is the text of the error.
	Message string `cbor:"2,keyasint"`
	// State is the SQLSTATE of the error, empty if it has none.
	State string `cbor:"3,keyasint,omitempty"`
	// RetryAfter is the time after which a retry makes sense, zero if unknown.
	RetryAfter time.Duration `cbor:"4,keyasint,omitempty"`
}

// NewFailure returns the Failure for err. sent reports whether bytes of a batch may have reached
// the backend server.
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

// Err returns f as an error at the forwarding host. It matches the same sentinel errors as the
// error at the pool owner, and has the same SQLSTATE and RetryAfterHint. host is the pool owner.
func (f *Failure) Err(host string) error {
	e := &remoteError{host: host, failure: f}
	if f.State == "" {
		return e
	}
	return &remoteSQLError{remoteError: e}
}

// remoteError is an error that occurred at the pool owner.
type remoteError struct {
	host    string
	failure *Failure
}

// Error implements error.
func (r *remoteError) Error() string {
	return r.failure.Message + " (at entry host " + r.host + ")"
}

// RetryAfterHint returns the time after which a retry makes sense, zero if unknown.
func (r *remoteError) RetryAfterHint() time.Duration { return r.failure.RetryAfter }

// Unwrap returns the sentinel errors of the cause.
func (r *remoteError) Unwrap() []error {
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

// remoteSQLError is a remoteError that has a SQLSTATE.
type remoteSQLError struct {
	*remoteError
}

// SQLState returns the SQLSTATE that the caller receives.
func (c *remoteSQLError) SQLState() string { return c.failure.State }
