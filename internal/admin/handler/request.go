package handler

import (
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/goccy/go-yaml"
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/admin/authorizer"
	"github.com/cuminwick/cuminwick/internal/config/applier"
	"github.com/cuminwick/cuminwick/internal/config/concealer"
	"github.com/cuminwick/cuminwick/internal/config/declarer"
	"github.com/cuminwick/cuminwick/internal/config/defaulter"
	"github.com/cuminwick/cuminwick/internal/config/differ"
	"github.com/cuminwick/cuminwick/internal/config/parser"
	"github.com/cuminwick/cuminwick/internal/config/publisher"
)

// bodyName is the file name that faults of the request's body state.
const bodyName = "request"

// request is one authenticated request.
type request struct {
	*http.Request
	token   authorizer.Token
	handler *Handler
	// operator changes the configuration in the name of the token's holder.
	operator *publisher.Operator
}

func (q request) readConfiguration() (response, error) {
	f, r, err := q.accepted()
	if err != nil {
		return response{}, err
	}
	return configurationResponse(f, r)
}

func (q request) readRevision() (response, error) {
	r, err := q.pathRevision()
	if err != nil {
		return response{}, err
	}
	f, err := q.operator.File(q.Context(), r)
	if err != nil {
		return response{}, err
	}
	return configurationResponse(f, r)
}

// configurationResponse responds with f, which is the file of revision r, with its verifiers
// hidden.
func configurationResponse(f declarer.File, r declarer.Revision) (response, error) {
	b, err := yaml.Marshal(concealer.Hide(f))
	if err != nil {
		return response{}, errors.Annotatef(err, "encode revision %d", r)
	}
	return success(Configuration{Revision: r, File: string(b)}), nil
}

// accepted returns the latest accepted configuration and its revision.
func (q request) accepted() (declarer.File, declarer.Revision, error) {
	h, err := q.operator.Head(q.Context())
	if err != nil {
		return declarer.File{}, 0, err
	}
	f, err := q.operator.File(q.Context(), h.Accepted)
	return f, h.Accepted, err
}

// parseBody parses the file in the request's body. Hidden verifiers are taken from base.
func (q request) parseBody(base declarer.File) (parser.Result, error) {
	b, err := io.ReadAll(q.Body)
	if err != nil {
		return parser.Result{}, errors.Annotate(errMalformed, err.Error())
	}
	return parser.ParseWithBase(bodyName, b, base), nil
}

func (q request) validate() (response, error) {
	base, _, err := q.accepted()
	if err != nil {
		return response{}, err
	}
	p, err := q.parseBody(base)
	if err != nil {
		return response{}, err
	}
	return success(Findings{Faults: p.Faults, Warnings: p.Warnings}), nil
}

func (q request) applyFile() (response, error) {
	base, r, err := q.accepted()
	if err != nil {
		return response{}, err
	}
	p, err := q.parseBody(base)
	if err != nil {
		return response{}, err
	}
	if len(p.Faults) > 0 {
		return response{}, p.Faults
	}
	a := Applied{Warnings: p.Warnings}
	return q.apply(a, base, r, p.File, q.FormValue("note"))
}

func (q request) applyRevision() (response, error) {
	r, err := q.pathRevision()
	if err != nil {
		return response{}, err
	}
	f, err := q.operator.File(q.Context(), r)
	if err != nil {
		return response{}, err
	}
	f.EditedFrom = 0
	base, current, err := q.accepted()
	if err != nil {
		return response{}, err
	}
	n := q.FormValue("note")
	if n == "" {
		n = fmt.Sprintf("revision %d again", r)
	}
	return q.apply(Applied{}, base, current, f, n)
}

// apply puts f in force in place of base, which is the file of revision r. The token's permissions
// are checked against that revision, so f must not come into force in place of any other.
func (q request) apply(a Applied, base declarer.File, r declarer.Revision, f declarer.File, note string) (response, error) {
	from, err := q.baseRevision(f, r)
	if err != nil {
		return response{}, err
	}
	f = defaulter.Fill(f)
	if l := q.token.ForbiddenChanges(base, f); len(l) > 0 {
		return response{}, &forbiddenError{changes: l}
	}
	a.Changes = differ.Diff(base, f)
	if d, _ := strconv.ParseBool(q.FormValue("dry-run")); d {
		a.DryRun = true
		return success(a), nil
	}
	f.EditedFrom = 0
	x, err := q.operator.Apply(q.Context(), f, publisher.Options{From: from, CheckFrom: true, Note: note})
	if err != nil {
		return response{}, err
	}
	return changeResponse(a, x), nil
}

// baseRevision returns the revision that f may replace, which is r. It returns errConflict if f was
// edited from another revision.
func (q request) baseRevision(f declarer.File, r declarer.Revision) (declarer.Revision, error) {
	n := f.EditedFrom
	if s := q.FormValue("from"); s != "" {
		v, err := strconv.ParseUint(s, 10, 64)
		if err != nil {
			return 0, errors.Annotatef(errMalformed, "from %q isn't a revision", s)
		}
		n = declarer.Revision(v)
	}
	if n != 0 && n != r {
		return 0, errors.Annotatef(errConflict, "the file was edited from revision %d, in force is %d", n, r)
	}
	return r, nil
}

// resume requires an administrator, because any operator may have staged the revision.
func (q request) resume() (response, error) {
	return q.changeStaged(func() (applier.Result, error) { return q.operator.Resume(q.Context()) })
}

// withdraw requires an administrator for the same reason as resume.
func (q request) withdraw() (response, error) {
	return q.changeStaged(func() (applier.Result, error) { return q.operator.Withdraw(q.Context()) })
}

// changeStaged runs f, which resumes or withdraws the staged revision, if the token is an
// administrator's.
func (q request) changeStaged(f func() (applier.Result, error)) (response, error) {
	if q.token.Role != authorizer.Administrator {
		return response{}, errors.Annotatef(errForbidden, "token %s isn't an administrator's", q.token.Name)
	}
	x, err := f()
	if err != nil {
		return response{}, err
	}
	return changeResponse(Applied{}, x), nil
}

func (q request) history() (response, error) {
	h, err := q.operator.Head(q.Context())
	if err != nil {
		return response{}, err
	}
	return success(h.History), nil
}

func (q request) status() (response, error) {
	x, err := q.operator.Status(q.Context())
	if err != nil {
		return response{}, err
	}
	s := State{Status: x}
	if q.handler.Status != nil {
		h := q.handler.Status()
		s.Host = &h
	}
	return success(s), nil
}

// pathRevision returns the revision in the request's path.
func (q request) pathRevision() (declarer.Revision, error) {
	n, err := strconv.ParseUint(q.PathValue("revision"), 10, 64)
	if err != nil || n == 0 {
		return 0, errors.Annotatef(errMalformed, "%q isn't a revision", q.PathValue("revision"))
	}
	return declarer.Revision(n), nil
}
