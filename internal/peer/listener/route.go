package listener

import (
	"context"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/peer/encoder"
)

// Route serves one kind of request.
type Route struct {
	Kind encoder.Kind
	// Serve decodes a request's body and returns the encoded answer.
	Serve func(ctx context.Context, s encoder.Sender, body []byte) ([]byte, error)
}

// Handle returns a route that serves requests of kind k by f. If f returns an error of type
// *encoder.Refusal, it is sent to the peer unchanged. Any other error is sent as
// encoder.ReasonMalformed or encoder.ReasonFault.
func Handle[Q, A any](k encoder.Kind, f func(ctx context.Context, s encoder.Sender, q Q) (A, error)) Route {
	return Route{Kind: k, Serve: typedHandler[Q, A]{f: f}.serve}
}

// typedHandler adapts a function on decoded messages to Route.Serve.
type typedHandler[Q, A any] struct {
	f func(ctx context.Context, s encoder.Sender, q Q) (A, error)
}

func (t typedHandler[Q, A]) serve(ctx context.Context, s encoder.Sender, body []byte) ([]byte, error) {
	var q Q
	if err := encoder.Unmarshal(body, &q); err != nil {
		return nil, err
	}
	a, err := t.f(ctx, s, q)
	if err != nil {
		return nil, err
	}
	return encoder.Marshal(a)
}

// findRoute returns the route for requests of kind k, and whether there is one.
func (l *Listener) findRoute(k encoder.Kind) (Route, bool) {
	for _, r := range l.Routes {
		if r.Kind == k {
			return r, true
		}
	}
	return Route{}, false
}

// refusal returns err as the refusal that is sent to the peer.
func refusal(err error) *encoder.Refusal {
	var r *encoder.Refusal
	switch {
	case errors.As(err, &r):
		return r
	case errors.Is(err, encoder.ErrMalformed), errors.Is(err, encoder.ErrTooLarge):
		return &encoder.Refusal{Reason: encoder.ReasonMalformed, Detail: err.Error()}
	}
	return &encoder.Refusal{Reason: encoder.ReasonFault, Detail: err.Error()}
}
