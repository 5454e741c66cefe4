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

// bodyName stands for the request's body in faults.
const bodyName = "request"

// request is one request with whose it is.
type request struct {
	*http.Request
	token    authorizer.Token
	handler  *Handler
	operator *publisher.Operator
}

func (q request) readConfiguration() (answer, error) {
	f, r, err := q.accepted()
	if err != nil {
		return answer{}, err
	}
	return configuration(f, r)
}

func (q request) readRevision() (answer, error) {
	r, err := q.revision()
	if err != nil {
		return answer{}, err
	}
	f, err := q.operator.File(q.Context(), r)
	if err != nil {
		return answer{}, err
	}
	return configuration(f, r)
}

func configuration(f declarer.File, r declarer.Revision) (answer, error) {
	b, err := yaml.Marshal(concealer.Hide(f))
	if err != nil {
		return answer{}, errors.Annotatef(err, "encode revision %d", r)
	}
	return ok(Configuration{Revision: r, File: string(b)}), nil
}

// accepted returns the configuration in force.
func (q request) accepted() (declarer.File, declarer.Revision, error) {
	h, err := q.operator.Head(q.Context())
	if err != nil {
		return declarer.File{}, 0, err
	}
	f, err := q.operator.File(q.Context(), h.Accepted)
	return f, h.Accepted, err
}

// body parses the file in the request's body over base.
func (q request) body(base declarer.File) (parser.Result, error) {
	b, err := io.ReadAll(q.Body)
	if err != nil {
		return parser.Result{}, errors.Annotate(errMalformed, err.Error())
	}
	return parser.ParseWithBase(bodyName, b, base), nil
}

func (q request) validate() (answer, error) {
	base, _, err := q.accepted()
	if err != nil {
		return answer{}, err
	}
	p, err := q.body(base)
	if err != nil {
		return answer{}, err
	}
	return ok(Findings{Faults: p.Faults, Warnings: p.Warnings}), nil
}

func (q request) applyFile() (answer, error) {
	base, r, err := q.accepted()
	if err != nil {
		return answer{}, err
	}
	p, err := q.body(base)
	if err != nil {
		return answer{}, err
	}
	if len(p.Faults) > 0 {
		return answer{}, p.Faults
	}
	a := Applied{Warnings: p.Warnings}
	return q.apply(a, base, r, p.File, q.FormValue("note"))
}

func (q request) applyRevision() (answer, error) {
	r, err := q.revision()
	if err != nil {
		return answer{}, err
	}
	f, err := q.operator.File(q.Context(), r)
	if err != nil {
		return answer{}, err
	}
	f.EditedFrom = 0
	base, in, err := q.accepted()
	if err != nil {
		return answer{}, err
	}
	n := q.FormValue("note")
	if n == "" {
		n = fmt.Sprintf("revision %d again", r)
	}
	return q.apply(Applied{}, base, in, f, n)
}

// apply puts f in force on base, which is revision r. What the token allows was
// judged against that revision, so f must not come into force on any other.
func (q request) apply(a Applied, base declarer.File, r declarer.Revision, f declarer.File, note string) (answer, error) {
	from, err := q.from(f, r)
	if err != nil {
		return answer{}, err
	}
	f = defaulter.Fill(f)
	if l := q.token.ForbiddenChanges(base, f); len(l) > 0 {
		return answer{}, &forbiddenError{changes: l}
	}
	a.Changes = differ.Diff(base, f)
	if d, _ := strconv.ParseBool(q.FormValue("dry-run")); d {
		a.DryRun = true
		return ok(a), nil
	}
	f.EditedFrom = 0
	x, err := q.operator.Apply(q.Context(), f, publisher.Options{From: from, CheckFrom: true, Note: note})
	if err != nil {
		return answer{}, err
	}
	return applied(a, x), nil
}

// from returns the revision on which f may come into force.
func (q request) from(f declarer.File, r declarer.Revision) (declarer.Revision, error) {
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

// resume and withdraw concern what anybody may have staged, so they are for
// administrators.
func (q request) resume() (answer, error) {
	return q.staged(func() (applier.Result, error) { return q.operator.Resume(q.Context()) })
}

func (q request) withdraw() (answer, error) {
	return q.staged(func() (applier.Result, error) { return q.operator.Withdraw(q.Context()) })
}

func (q request) staged(f func() (applier.Result, error)) (answer, error) {
	if q.token.Role != authorizer.Administrator {
		return answer{}, errors.Annotatef(errForbidden, "token %s isn't an administrator's", q.token.Name)
	}
	x, err := f()
	if err != nil {
		return answer{}, err
	}
	return applied(Applied{}, x), nil
}

func (q request) history() (answer, error) {
	h, err := q.operator.Head(q.Context())
	if err != nil {
		return answer{}, err
	}
	return ok(h.History), nil
}

func (q request) status() (answer, error) {
	x, err := q.operator.Status(q.Context())
	if err != nil {
		return answer{}, err
	}
	s := State{Status: x}
	if q.handler.Status != nil {
		h := q.handler.Status()
		s.Host = &h
	}
	return ok(s), nil
}

func (q request) revision() (declarer.Revision, error) {
	n, err := strconv.ParseUint(q.PathValue("revision"), 10, 64)
	if err != nil || n == 0 {
		return 0, errors.Annotatef(errMalformed, "%q isn't a revision", q.PathValue("revision"))
	}
	return declarer.Revision(n), nil
}
