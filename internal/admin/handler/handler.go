// Package handler serves the administration API over HTTP and JSON.
package handler

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/admin/authorizer"
	"github.com/cuminwick/cuminwick/internal/caller/authenticator"
	"github.com/cuminwick/cuminwick/internal/config/follower"
	"github.com/cuminwick/cuminwick/internal/config/publisher"
	"github.com/cuminwick/cuminwick/internal/platform/accessor"
)

// Bounds of a request.
const (
	// DefaultTimeout is how long a change may take until it is withdrawn.
	DefaultTimeout   = 60 * time.Second
	maximumBodyBytes = 8 << 20
)

// tokensMaximumAge is how long tokens are kept before their file is read again.
const tokensMaximumAge = 10 * time.Second

// Handler answers the requests of operators.
type Handler struct {
	Platform accessor.Platform
	// TokensFile holds the hashes of tokens; without it nothing is allowed.
	TokensFile string
	// Status is what this host says of its own configuration; it may be nil.
	Status func() follower.Status
	// Host is the entry host that answers; it may be nil.
	Host HostControl
	// Failures bounds wrong tokens, unless it is nil.
	Failures *authenticator.FailureLimiter
	// Timeout is how long a change may take, DefaultTimeout if unset.
	Timeout time.Duration
	Log     log.Interface

	once sync.Once
	mux  *http.ServeMux

	mu     sync.Mutex
	tokens authorizer.Tokens
	readAt time.Time
}

// ServeHTTP answers one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.once.Do(h.init)
	h.mux.ServeHTTP(w, r)
}

func (h *Handler) init() {
	h.mux = http.NewServeMux()
	for _, x := range Routes() {
		h.mux.Handle(x.Method+" "+x.Path, &endpoint{handler: h, route: x})
	}
}

// endpoint is one route of one handler.
type endpoint struct {
	handler *Handler
	route   Route
}

// ServeHTTP checks the token, calls the route and logs who did what.
func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	t, err := e.handler.authenticate(r, time.Now())
	if err == nil && e.route.Mutates && !t.MayChange() {
		err = errors.Annotatef(errForbidden, "token %s may only read", t.Name)
	}
	r.Body = http.MaxBytesReader(w, r.Body, maximumBodyBytes)
	var a answer
	if err == nil {
		a, err = e.call(r, t)
	}
	if err != nil {
		a = failure(err)
	}
	e.handler.log(r, t, a, err)
	a.write(w)
}

// call runs the route with a bound on the time that a change may take.
func (e *endpoint) call(r *http.Request, t authorizer.Token) (answer, error) {
	d := e.handler.Timeout
	if d <= 0 {
		d = DefaultTimeout
	}
	ctx, cancel := context.WithTimeout(r.Context(), d)
	defer cancel()
	q := request{
		Request:  r.WithContext(ctx),
		token:    t,
		handler:  e.handler,
		operator: &publisher.Operator{Platform: e.handler.Platform, Name: t.Name},
	}
	return e.route.serve(q)
}

// log writes one line for each request; the token itself never appears.
func (h *Handler) log(r *http.Request, t authorizer.Token, a answer, err error) {
	l := h.Log.WithFields(log.Fields{
		"operator": t.Name, "method": r.Method, "path": r.URL.Path, "peer": r.RemoteAddr, "status": a.status,
	})
	if err != nil {
		l.WithError(err).Warn("administration request refused")
		return
	}
	l.Info("administration request answered")
}

// authenticate finds the token of a request.
func (h *Handler) authenticate(r *http.Request, now time.Time) (authorizer.Token, error) {
	if h.Failures != nil && !h.Failures.Allow(r.RemoteAddr, now) {
		return authorizer.Token{}, errors.Annotatef(authenticator.ErrTooManyFailures, "peer %s", r.RemoteAddr)
	}
	l, err := h.load(now)
	if err != nil {
		return authorizer.Token{}, err
	}
	s, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if ok {
		var t authorizer.Token
		if t, ok = l.Find(s); ok {
			return t, nil
		}
	}
	if h.Failures != nil {
		h.Failures.RecordFailure(r.RemoteAddr, now)
	}
	return authorizer.Token{}, errors.Annotatef(errUnauthorized, "peer %s", r.RemoteAddr)
}

// load returns the tokens, read again now and then so that one can be revoked
// without a restart.
func (h *Handler) load(now time.Time) (authorizer.Tokens, error) {
	if h.TokensFile == "" {
		return authorizer.Tokens{}, errors.Annotate(errForbidden, "no tokens file is set")
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.readAt.IsZero() && now.Sub(h.readAt) < tokensMaximumAge {
		return h.tokens, nil
	}
	t, err := authorizer.Load(h.TokensFile)
	if err != nil {
		// An unreadable file must not keep a revoked token valid.
		h.Log.WithError(err).Error("tokens file isn't usable")
		return authorizer.Tokens{}, errors.Annotate(errForbidden, "the tokens file isn't usable")
	}
	h.tokens = t
	h.readAt = now
	return t, nil
}
