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

// HostControl is what the answering host offers beside configurations.
type HostControl interface {
	// StartDrain begins to stop the host without cutting off a request.
	StartDrain()
	// DrainTimeout is the time within which the drain ends.
	DrainTimeout() time.Duration
	// HandOver moves a group's primary off the named backend server, with
	// writes standing still only while the new primary takes over.
	HandOver(ctx context.Context, group, backendServer string) error
	// MemberView is what the host knows of all entry hosts.
	MemberView() declarer.View
	// Outcome tells what became of the request with an idempotency key. With
	// settle an attempt that hasn't run is kept from ever running.
	Outcome(ctx context.Context, group, key string, settle bool) (recorder.Outcome, error)
}

// Draining is the answer to a drain.
type Draining struct {
	// Within is the declared time in which the host ends.
	Within string `json:"within"`
}

// HandedOver is the answer to a hand-over.
type HandedOver struct {
	DatabaseGroup string `json:"database-group"`
	// From is the backend server that was primary.
	From string `json:"from"`
}

// Outcome is what became of a request.
type Outcome struct {
	DatabaseGroup string           `json:"database-group"`
	Key           string           `json:"key"`
	Outcome       recorder.Outcome `json:"outcome"`
}

var (
	groupParameter  = Parameter{Name: "group", In: "path", Type: "string", Summary: "name of the database group"}
	serverParameter = Parameter{Name: "server", In: "path", Type: "string", Summary: "name of the backend server"}
	keyParameter    = Parameter{Name: "key", In: "path", Type: "string", Summary: "idempotency key of the request"}
	settleParameter = Parameter{Name: "settle", In: "query", Type: "boolean", Summary: "keep an attempt that hasn't run from ever running, so that the answer is final"}
)

// hostRoutes are the operations on the answering host itself.
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

// errNoHost is the cause where the handler serves no entry host.
const errNoHost = errors.ConstError("not offered here")

func (q request) control() (HostControl, error) {
	if q.handler.Host == nil {
		return nil, errors.Annotate(errForbidden, errNoHost.Error())
	}
	return q.handler.Host, nil
}

// drain is for administrators: a host serves all teams.
func (q request) drain() (answer, error) {
	h, err := q.control()
	if err != nil {
		return answer{}, err
	}
	if q.token.Role != authorizer.Administrator {
		return answer{}, errors.Annotatef(errForbidden, "token %s may not drain a host", q.token.Name)
	}
	h.StartDrain()
	return answer{status: http.StatusAccepted, body: Draining{Within: h.DrainTimeout().String()}}, nil
}

// handOver is for administrators and for the operators of the group's team.
func (q request) handOver() (answer, error) {
	h, err := q.control()
	if err != nil {
		return answer{}, err
	}
	g, s := q.PathValue("group"), q.PathValue("server")
	if err := q.mayAsk(g); err != nil {
		return answer{}, err
	}
	if err := h.HandOver(q.Context(), g, s); err != nil {
		return answer{http.StatusConflict, Failure{Error: err.Error()}}, nil
	}
	return ok(HandedOver{DatabaseGroup: g, From: s}), nil
}

func (q request) members() (answer, error) {
	h, err := q.control()
	if err != nil {
		return answer{}, err
	}
	return ok(h.MemberView()), nil
}

func (q request) outcome() (answer, error) {
	h, err := q.control()
	if err != nil {
		return answer{}, err
	}
	k := q.PathValue("key")
	if err := recorder.CheckKey(k); err != nil {
		return answer{}, errors.Annotate(errMalformed, err.Error())
	}
	settle := q.URL.Query().Get("settle") == "true"
	if settle && !q.token.MayChange() {
		return answer{}, errors.Annotatef(errForbidden, "token %s may only read", q.token.Name)
	}
	g := q.PathValue("group")
	if err := q.mayAsk(g); err != nil {
		return answer{}, err
	}
	o, err := h.Outcome(q.Context(), g, k, settle)
	if err != nil {
		// The outcome is told as unknown; a failure would leave the caller guessing why.
		return answer{http.StatusServiceUnavailable, Failure{Error: "outcome unknown: " + err.Error()}}, nil
	}
	return ok(Outcome{DatabaseGroup: g, Key: k, Outcome: o}), nil
}

// mayAsk keeps a team's operator to the groups of its team: settling an attempt
// in another team's group would keep its request from running.
func (q request) mayAsk(group string) error {
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
