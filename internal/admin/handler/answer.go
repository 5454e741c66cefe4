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

// Causes of refusals.
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

// Error names the first change.
func (f *forbiddenError) Error() string {
	return "change not allowed: " + f.changes[0].String()
}

// Failure is the body of every answer that isn't a success.
type Failure struct {
	Error string `json:"error"`
	// Faults are what is wrong with a file.
	Faults decoder.Faults `json:"faults,omitempty"`
	// Forbidden are the changes that the token doesn't allow.
	Forbidden []differ.Change `json:"forbidden,omitempty"`
}

// answer is the status and body of a response.
type answer struct {
	status int
	body   any
}

func ok(v any) answer {
	return answer{status: http.StatusOK, body: v}
}

func (a answer) write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(a.status)
	// A client that is gone can't be told anything.
	_ = json.NewEncoder(w).Encode(a.body)
}

// applied answers a change by how it ended.
func applied(a Applied, x applier.Result) answer {
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
	return answer{status: s, body: a}
}

// failure answers an error. Errors of the platform are told in general terms,
// their details go into the log.
func failure(err error) answer {
	var f decoder.Faults
	var d *forbiddenError
	switch {
	case errors.As(err, &f):
		return answer{http.StatusUnprocessableEntity, Failure{Error: decoder.ErrFaults.Error(), Faults: f}}
	case errors.As(err, &d):
		return answer{http.StatusForbidden, Failure{Error: errForbidden.Error(), Forbidden: d.changes}}
	case errors.Is(err, authenticator.ErrTooManyFailures):
		return answer{http.StatusTooManyRequests, Failure{Error: authenticator.ErrTooManyFailures.Error()}}
	case errors.Is(err, errUnauthorized):
		return answer{http.StatusUnauthorized, Failure{Error: errUnauthorized.Error()}}
	case errors.Is(err, errForbidden):
		return answer{http.StatusForbidden, Failure{Error: err.Error()}}
	case errors.Is(err, errMalformed):
		return answer{http.StatusBadRequest, Failure{Error: err.Error()}}
	case errors.Is(err, errConflict):
		return answer{http.StatusConflict, Failure{Error: err.Error()}}
	case errors.Is(err, publisher.ErrNotKept):
		return answer{http.StatusNotFound, Failure{Error: err.Error()}}
	}
	return answer{http.StatusServiceUnavailable, Failure{Error: "platform doesn't answer"}}
}
