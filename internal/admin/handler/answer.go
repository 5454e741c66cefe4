package handler

import (
	"encoding/json"
	"net/http"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/caller/authenticator"
	"github.com/cuminwick/cuminwick/internal/config/applier"
	"github.com/cuminwick/cuminwick/internal/config/differ"
	"github.com/cuminwick/cuminwick/internal/config/publisher"
	"github.com/cuminwick/cuminwick/internal/settings/decoder"
)

// Reasons for which a request is refused.
const (
	errUnauthorized = errors.ConstError("token missing or unknown")
	errForbidden    = errors.ConstError("not allowed")
	errMalformed    = errors.ConstError("malformed request")
	errConflict     = errors.ConstError("another configuration is in force")
)

// forbiddenError lists the changes that a token doesn't allow.
type forbiddenError struct {
	changes []differ.Change
}

// Error returns the first change as text.
func (f *forbiddenError) Error() string {
	return "change not allowed: " + f.changes[0].String()
}

// Failure is the body of a response that reports an error.
type Failure struct {
	Error string `json:"error"`
	// Faults are the faults of a configuration file.
	Faults decoder.Faults `json:"faults,omitempty"`
	// Forbidden are the changes that the token doesn't allow.
	Forbidden []differ.Change `json:"forbidden,omitempty"`
}

// response is the status of an HTTP response and the value that is encoded as its body.
type response struct {
	status int
	body   any
}

// success responds with v as the body.
func success(v any) response {
	return response{status: http.StatusOK, body: v}
}

// write sends the response as JSON. It forbids caches to store it.
func (a response) write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(a.status)
	// An error means that the connection to the client is lost; there is no other way to report it.
	_ = json.NewEncoder(w).Encode(a.body)
}

// changeResponse responds to a change; the status follows from the outcome x.
func changeResponse(a Applied, x applier.Result) response {
	a.Result = &x
	s := http.StatusOK
	switch x.Outcome {
	case applier.Accepted, applier.LeftStaged:
		s = http.StatusAccepted
	case applier.Conflict:
		s = http.StatusConflict
	case applier.NothingStaged:
		s = http.StatusNotFound
	case applier.Withdrawn:
		s = http.StatusConflict
	}
	return response{status: s, body: a}
}

// errorResponse responds to an error. Errors of the platform are reported in general terms; their
// details are only logged.
func errorResponse(err error) response {
	var f decoder.Faults
	var d *forbiddenError
	switch {
	case errors.As(err, &f):
		return response{http.StatusUnprocessableEntity, Failure{Error: decoder.ErrFaults.Error(), Faults: f}}
	case errors.As(err, &d):
		return response{http.StatusForbidden, Failure{Error: errForbidden.Error(), Forbidden: d.changes}}
	case errors.Is(err, authenticator.ErrTooManyFailures):
		return response{http.StatusTooManyRequests, Failure{Error: authenticator.ErrTooManyFailures.Error()}}
	case errors.Is(err, errUnauthorized):
		return response{http.StatusUnauthorized, Failure{Error: errUnauthorized.Error()}}
	case errors.Is(err, errForbidden):
		return response{http.StatusForbidden, Failure{Error: err.Error()}}
	case errors.Is(err, errMalformed):
		return response{http.StatusBadRequest, Failure{Error: err.Error()}}
	case errors.Is(err, errConflict):
		return response{http.StatusConflict, Failure{Error: err.Error()}}
	case errors.Is(err, publisher.ErrNotKept):
		return response{http.StatusNotFound, Failure{Error: err.Error()}}
	}
	return response{http.StatusServiceUnavailable, Failure{Error: "platform doesn't answer"}}
}
