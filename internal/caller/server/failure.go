package server

import (
	"context"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/outcome/recorder"
	"github.com/cuminwick/cuminwick/internal/pool/exchanger"
	"github.com/cuminwick/cuminwick/internal/pool/lessor"
	"github.com/cuminwick/cuminwick/internal/session/replayer"
)

// SQLSTATEs of the errors that the entry host answers with.
const (
	codeProtocol          = "08P01"
	codeConnectionFailure = "08006"
	codeFeature           = "0A000"
	codeInvalidParameter  = "22023"
	codeActiveTransaction = "25001"
	codeFailedTransaction = "25P02"
	codeReadOnly          = "25006"
	codeInvalidStatement  = "26000"
	codeDuplicate         = "42P05"
	codeUnknownCompletion = "40003"
	codeTooMany           = "53300"
	codeProgramLimit      = "54000"
	codeCancelled         = "57014"
	codeShutdown          = "57P01"
	codeCannotConnect     = "57P03"
)

// Severities of an error response.
const (
	severityError = "ERROR"
	severityFatal = "FATAL"
)

// failure is an error with the contents of its error response.
type failure struct {
	severity string
	code     string
	message  string
	hint     string
	outcome  recorder.Outcome
	// reason is the reason for which a queue refused the request, empty if none did.
	reason string
	// key is the request's idempotency key, empty for none.
	key   string
	cause error
}

// retryHintError is an error that states after which time a retry is useful.
type retryHintError interface {
	error
	RetryAfterHint() time.Duration
}

// sqlStateError is an error with a SQLSTATE of its own.
type sqlStateError interface {
	error
	SQLState() string
}

// refusalError is the error of a request that a queue refused.
type refusalError interface {
	error
	RefusalReason() string
}

// Error implements error.
func (f *failure) Error() string {
	if f.cause != nil {
		return f.message + ": " + f.cause.Error()
	}
	return f.message
}

// response returns the error response for the caller.
func (f *failure) response(request string) *pgproto3.ErrorResponse {
	s := f.severity
	if s == "" {
		s = severityError
	}
	return &pgproto3.ErrorResponse{
		Severity:            s,
		SeverityUnlocalized: s,
		Code:                f.code,
		Message:             f.message,
		Detail:              f.detail(request),
		Hint:                f.hint,
	}
}

func (f *failure) detail(request string) string {
	d := fmt.Sprintf("outcome=%s request=%s", f.outcome, request)
	if f.reason != "" {
		d += " reason=" + f.reason
	}
	if f.key != "" {
		d += " key=" + f.key
	}
	return d
}

// notRun returns the failure of a request of which nothing took effect.
func notRun(code, message string, cause error) *failure {
	return &failure{code: code, message: message, outcome: recorder.NotRun, cause: cause}
}

// unknown returns the failure of a request whose outcome is unknown.
func unknown(message string, cause error) *failure {
	return &failure{code: codeUnknownCompletion, message: message, outcome: recorder.Unknown, cause: cause}
}

// describe returns the failure of a request that did not run because of err.
func describe(err error) *failure {
	var f *failure
	if errors.As(err, &f) {
		return f
	}
	f = notRun(codeFor(err), "request not run: "+errors.Cause(err).Error(), err)
	f.hint = hint(err)
	var q refusalError
	if errors.As(err, &q) {
		f.reason = q.RefusalReason()
	}
	return f
}

// hint returns the time after which the caller should retry, empty if err doesn't state one. It is
// rounded up to whole milliseconds, since zero would ask for an immediate retry.
func hint(err error) string {
	var r retryHintError
	if !errors.As(err, &r) || r.RetryAfterHint() <= 0 {
		return ""
	}
	d := r.RetryAfterHint() + time.Millisecond - time.Nanosecond
	return fmt.Sprintf("Try again after %d ms.", d.Milliseconds())
}

func codeFor(err error) string {
	var c sqlStateError
	if errors.As(err, &c) {
		return c.SQLState()
	}
	switch {
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		return codeCancelled
	case errors.Is(err, lessor.ErrConnectionLimit):
		return codeTooMany
	case errors.Is(err, exchanger.ErrNotSent):
		return codeConnectionFailure
	case errors.Is(err, ErrUnknownStatement):
		return codeInvalidStatement
	case errors.Is(err, replayer.ErrDuplicateStatement):
		return codeDuplicate
	case errors.Is(err, replayer.ErrTooManyStatements), errors.Is(err, ErrBatchTooLarge), errors.Is(err, ErrTooManyPortals):
		return codeProgramLimit
	case errors.Is(err, ErrMalformed):
		return codeProtocol
	default:
		return codeCannotConnect
	}
}
