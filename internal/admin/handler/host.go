package handler

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/admin/authorizer"
	"github.com/cuminwick/cuminwick/internal/member/declarer"
	"github.com/cuminwick/cuminwick/internal/outcome/recorder"
)

// HostControl controls the entry host that serves the API.
type HostControl interface {
	// StartDrain begins to stop the host without cutting off a request.
	StartDrain()
	// DrainTimeout is the time within which the drain ends.
	DrainTimeout() time.Duration
	// HandOver moves a group's primary off the named backend server. Writes pause only while the
	// new primary takes over.
	HandOver(ctx context.Context, group, backendServer string) error
	// MemberView returns the state of all entry hosts as this host has observed it.
	MemberView() declarer.View
	// Outcome returns the outcome of the request with an idempotency key. With settle, an attempt
	// that hasn't run is prevented from ever running.
	Outcome(ctx context.Context, group, key string, settle bool) (recorder.Outcome, error)
}

// Draining is the response to a drain request.
type Draining struct {
	// Within is the time in which the host stops, as a Go duration string.
	Within string `json:"within"`
}

// HandedOver is the response to a hand-over request.
type HandedOver struct {
	DatabaseGroup string `json:"database-group"`
	// From is the backend server that was the primary before.
	From string `json:"from"`
}

// Outcome is the outcome of the request with an idempotency key.
type Outcome struct {
	DatabaseGroup string `json:"database-group"`
	// Key is the idempotency key of the request.
	Key     string           `json:"key"`
	Outcome recorder.Outcome `json:"outcome"`
}

var (
	groupParameter  = Parameter{Name: "group", In: "path", Type: "string", Summary: "name of the database group"}
	serverParameter = Parameter{Name: "server", In: "path", Type: "string", Summary: "name of the backend server"}
	keyParameter    = Parameter{Name: "key", In: "path", Type: "string", Summary: "idempotency key of the request"}
	settleParameter = Parameter{Name: "settle", In: "query", Type: "boolean", Summary: "keep an attempt that hasn't run from ever running, so that the answer is final"}
)

// hostRoutes returns the operations on the entry host that serves the API.
func hostRoutes() []Route {
	return []Route{
		{
			Method: http.MethodPost, Path: "/v1/drain", Mutates: true,
			Summary:  "Stop the answering host without cutting off a request.",
			Response: Draining{}, serve: request.drain,
		}, {
			Method: http.MethodPost, Path: "/v1/hand-over/{group}/{server}", Mutates: true,
			Summary:    "Move a database group's primary off a backend server.",
			Parameters: []Parameter{groupParameter, serverParameter},
			Response:   HandedOver{}, serve: request.handOver,
		}, {
			Method: http.MethodGet, Path: "/v1/members",
			Summary:  "Read what the answering host knows of all entry hosts and zones.",
			Response: declarer.View{}, serve: request.members,
		}, {
			Method: http.MethodGet, Path: "/v1/outcomes/{group}/{key}",
			Summary:    "Tell whether the request with an idempotency key ran.",
			Parameters: []Parameter{groupParameter, keyParameter, settleParameter},
			Response:   Outcome{}, serve: request.outcome,
		},
	}
}

// errNoHost is the reason for refusing an operation on the host if Handler.Host is nil.
const errNoHost = errors.ConstError("not offered here")

func (q request) hostControl() (HostControl, error) {
	if q.handler.Host == nil {
		return nil, errors.Annotate(errForbidden, errNoHost.Error())
	}
	return q.handler.Host, nil
}

// drain requires an administrator, because a host serves all teams.
func (q request) drain() (response, error) {
	h, err := q.hostControl()
	if err != nil {
		return response{}, err
	}
	if q.token.Role != authorizer.Administrator {
		return response{}, errors.Annotatef(errForbidden, "token %s may not drain a host", q.token.Name)
	}
	h.StartDrain()
	return response{status: http.StatusAccepted, body: Draining{Within: h.DrainTimeout().String()}}, nil
}

// handOver requires an administrator or an operator of a team that has the group.
func (q request) handOver() (response, error) {
	h, err := q.hostControl()
	if err != nil {
		return response{}, err
	}
	g, s := q.PathValue("group"), q.PathValue("server")
	if err := q.checkGroup(g); err != nil {
		return response{}, err
	}
	if err := h.HandOver(q.Context(), g, s); err != nil {
		return response{http.StatusConflict, Failure{Error: err.Error()}}, nil
	}
	return success(HandedOver{DatabaseGroup: g, From: s}), nil
}

func (q request) members() (response, error) {
	h, err := q.hostControl()
	if err != nil {
		return response{}, err
	}
	return success(h.MemberView()), nil
}

func (q request) outcome() (response, error) {
	h, err := q.hostControl()
	if err != nil {
		return response{}, err
	}
	k := q.PathValue("key")
	if err := recorder.CheckKey(k); err != nil {
		return response{}, errors.Annotate(errMalformed, err.Error())
	}
	settle := q.URL.Query().Get("settle") == "true"
	if settle && !q.token.MayChange() {
		return response{}, errors.Annotatef(errForbidden, "token %s may only read", q.token.Name)
	}
	g := q.PathValue("group")
	if err := q.checkGroup(g); err != nil {
		return response{}, err
	}
	o, err := h.Outcome(q.Context(), g, k, settle)
	if err != nil {
		// The response says that the outcome is unknown and why. errorResponse would hide the
		// reason.
		return response{http.StatusServiceUnavailable, Failure{Error: "outcome unknown: " + err.Error()}}, nil
	}
	return success(Outcome{DatabaseGroup: g, Key: k, Outcome: o}), nil
}

// checkGroup refuses a team operator the groups of other teams: settling an attempt in such a group
// would prevent another team's request from running.
func (q request) checkGroup(group string) error {
	if q.token.Role != authorizer.TeamOperator {
		return nil
	}
	f, _, err := q.accepted()
	if err != nil {
		return err
	}
	for _, t := range f.Teams {
		if t.Name == q.token.Team && slices.Contains(t.DatabaseGroups, group) {
			return nil
		}
	}
	return errors.Annotatef(errForbidden, "database group %q isn't of team %s", group, q.token.Team)
}
