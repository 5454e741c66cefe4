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

// Handle makes a route of a typed function. An error of type *encoder.Refusal
// reaches the other host as it is, any other one as a fault.
func Handle[Q, A any](k encoder.Kind, f func(ctx context.Context, s encoder.Sender, q Q) (A, error)) Route {
	return Route{Kind: k, Serve: typed[Q, A]{f: f}.serve}
}

// typed adapts a typed function.
type typed[Q, A any] struct {
	f func(ctx context.Context, s encoder.Sender, q Q) (A, error)
}

func (t typed[Q, A]) serve(ctx context.Context, s encoder.Sender, body []byte) ([]byte, error) {
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

func (l *Listener) route(k encoder.Kind) (Route, bool) {
	for _, r := range l.Routes {
		if r.Kind == k {
			return r, true
		}
	}
	return Route{}, false
}

// refusal turns any error into what the other host is told.
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
