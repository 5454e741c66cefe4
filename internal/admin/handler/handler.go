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
	// DefaultTimeout is how long a change may take before it is withdrawn.
	DefaultTimeout   = 60 * time.Second
	maximumBodyBytes = 8 << 20
)

// maximumTokensAge is how long tokens are cached before their file is read again.
const maximumTokensAge = 10 * time.Second

// Handler serves the requests of operators.
type Handler struct {
	// Platform stores the configuration.
	Platform accessor.Platform
	// TokensFile is the name of the file with the hashes of tokens. Without it every request is
	// refused.
	TokensFile string
	// Status returns the state of this host's own configuration; it may be nil.
	Status func() follower.Status
	// Host controls the entry host that serves the API. If it is nil, requests about the host are
	// refused.
	Host HostControl
	// Failures limits the wrong tokens from each address; nil disables the limit.
	Failures *authenticator.FailureLimiter
	// Timeout bounds each request, DefaultTimeout if unset. A change that isn't accepted by then is
	// withdrawn.
	Timeout time.Duration
	Log     log.Interface

	once sync.Once
	mux  *http.ServeMux

	// mu guards tokens and tokensReadAt, the time at which they were read from TokensFile.
	mu           sync.Mutex
	tokens       authorizer.Tokens
	tokensReadAt time.Time
}

// ServeHTTP serves one request.
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

// endpoint serves one route of a handler.
type endpoint struct {
	handler *Handler
	route   Route
}

// ServeHTTP authenticates the request, runs the route and logs the operator and the outcome.
func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	t, err := e.handler.authenticate(r, time.Now())
	if err == nil && e.route.Mutates && !t.MayChange() {
		err = errors.Annotatef(errForbidden, "token %s may only read", t.Name)
	}
	r.Body = http.MaxBytesReader(w, r.Body, maximumBodyBytes)
	var a response
	if err == nil {
		a, err = e.call(r, t)
	}
	if err != nil {
		a = errorResponse(err)
	}
	e.handler.logRequest(r, t, a, err)
	a.write(w)
}

// call runs the route with the handler's timeout.
func (e *endpoint) call(r *http.Request, t authorizer.Token) (response, error) {
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

// logRequest writes one line for each request. The token itself is never logged.
func (h *Handler) logRequest(r *http.Request, t authorizer.Token, a response, err error) {
	l := h.Log.WithFields(log.Fields{
		"operator": t.Name, "method": r.Method, "path": r.URL.Path, "peer": r.RemoteAddr, "status": a.status,
	})
	if err != nil {
		l.WithError(err).Warn("administration request refused")
		return
	}
	l.Info("administration request answered")
}

// authenticate returns the entry of the token that a request carries. An unknown or missing token
// counts as a failure of the client's address.
func (h *Handler) authenticate(r *http.Request, now time.Time) (authorizer.Token, error) {
	if h.Failures != nil && !h.Failures.Allow(r.RemoteAddr, now) {
		return authorizer.Token{}, errors.Annotatef(authenticator.ErrTooManyFailures, "peer %s", r.RemoteAddr)
	}
	l, err := h.loadTokens(now)
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

// loadTokens returns the tokens. It reads the file again once they are older than maximumTokensAge,
// so that a token can be revoked without a restart.
func (h *Handler) loadTokens(now time.Time) (authorizer.Tokens, error) {
	if h.TokensFile == "" {
		return authorizer.Tokens{}, errors.Annotate(errForbidden, "no tokens file is set")
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.tokensReadAt.IsZero() && now.Sub(h.tokensReadAt) < maximumTokensAge {
		return h.tokens, nil
	}
	t, err := authorizer.Load(h.TokensFile)
	if err != nil {
		// An unreadable file must not keep a revoked token valid.
		h.Log.WithError(err).Error("tokens file isn't usable")
		return authorizer.Tokens{}, errors.Annotate(errForbidden, "the tokens file isn't usable")
	}
	h.tokens = t
	h.tokensReadAt = now
	return t, nil
}
