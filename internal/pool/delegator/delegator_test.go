package delegator_test

import (
	"context"
	"errors"
	"slices"
	"strings"
	"testing"

	"github.com/cuminwick/cuminwick/internal/limit/gate"
	"github.com/cuminwick/cuminwick/internal/pool/assigner"
	"github.com/cuminwick/cuminwick/internal/pool/delegator"
	"github.com/cuminwick/cuminwick/internal/pool/exchanger"
	"github.com/cuminwick/cuminwick/internal/pool/forwarder"
	"github.com/cuminwick/cuminwick/internal/pool/lessor"
	"github.com/cuminwick/cuminwick/internal/wire/batcher"
)

// fake stands for all that lends connections, and notes who was asked.
type fake struct {
	owners []string
	errs   map[string]error
	asked  []string
}

func (f *fake) Owners(_ assigner.Server, n int) assigner.Owners {
	var o assigner.Owners
	o.Count = copy(o.Hosts[:n], f.owners)
	return o
}

func (f *fake) ask(name string) (lessor.Lease, error) {
	f.asked = append(f.asked, name)
	if err := f.errs[name]; err != nil {
		return nil, err
	}
	return &lent{fake: f, name: name}, nil
}

func (f *fake) Lease(_ context.Context, p forwarder.Pool, _ lessor.Demand) (lessor.Lease, error) {
	return f.ask(p.Host)
}

func (f *fake) LeasePipelined(_ context.Context, p forwarder.Pool, _ lessor.Demand) (lessor.Lease, error) {
	return f.ask("start " + p.Host)
}

// local is the pool of this host or its direct connection.
type local struct {
	*fake
	name string
}

func (l local) Lease(context.Context, lessor.Demand) (lessor.Lease, error) { return l.ask(l.name) }

func (l local) Load() gate.Load { return gate.Load{} }

// lent is a lease whose exchange fails with the error for "exchange" and its name.
type lent struct {
	*fake
	name string
}

func (l *lent) Exchange(context.Context, lessor.Exchange) (exchanger.Result, error) {
	return exchanger.Result{Tag: l.name}, l.errs["exchange "+l.name]
}

func (l *lent) Parameters() map[string]string { return nil }

func (l *lent) Release(lessor.Return) { l.asked = append(l.asked, "release") }

// Owners die, are cut off or refuse. A request must go to the next one exactly
// where nothing of it was sent, and come back to its caller otherwise.
func TestWhoLends(t *testing.T) {
	gone := forwarder.ErrUnavailable
	full := errors.New("queue full")
	silent := errors.Join(forwarder.ErrSilent, exchanger.ErrLost)
	tests := []struct {
		name   string
		owners []string
		write  bool
		// harmless writes go along with the request, and large ones don't.
		harmless, large bool
		errs            map[string]error
		asked           []string
		fails           error
	}{
		{name: "owner is this host", owners: []string{"self", "b"}, write: true, asked: []string{"pool"}},
		{name: "another host owns", owners: []string{"a", "self"}, write: true, asked: []string{"a"}},
		{name: "owner gone, this host next", owners: []string{"a", "self"}, write: true, errs: map[string]error{"a": gone}, asked: []string{"a", "pool"}},
		{name: "owner gone, another next", owners: []string{"a", "b", "c"}, write: true, errs: map[string]error{"a": gone}, asked: []string{"a", "b"}},
		{name: "all gone", owners: []string{"a", "b", "c"}, write: true, errs: map[string]error{"a": gone, "b": gone, "c": gone}, asked: []string{"a", "b", "c", "direct"}},
		{name: "owner refuses", owners: []string{"a", "b"}, write: true, errs: map[string]error{"a": full}, asked: []string{"a"}, fails: full},
		{name: "no host is live", write: true, asked: []string{"pool"}},
		{name: "read goes along with the request", owners: []string{"a", "b"}, asked: []string{"start a"}},
		{name: "read at a gone owner", owners: []string{"a", "b"}, errs: map[string]error{"start a": gone, "a": gone}, asked: []string{"start a", "a", "b"}},
		{name: "read that the host doesn't take on", owners: []string{"a", "b"}, errs: map[string]error{"exchange start a": gone, "a": gone}, asked: []string{"start a", "release", "a", "b"}},
		{name: "harmless first exchange", owners: []string{"a", "b"}, write: true, harmless: true, asked: []string{"start a"}},
		{name: "harmless first exchange at a silent owner", owners: []string{"a", "b"}, write: true, harmless: true, errs: map[string]error{"exchange start a": silent, "a": gone}, asked: []string{"start a", "release", "a", "b"}},
		{name: "read at a silent owner", owners: []string{"a", "b"}, errs: map[string]error{"exchange start a": silent}, asked: []string{"start a"}, fails: exchanger.ErrLost},
		{name: "large first exchange", owners: []string{"a", "b"}, write: true, harmless: true, large: true, asked: []string{"a"}},
		{name: "large first exchange at a gone owner", owners: []string{"a", "b"}, large: true, errs: map[string]error{"a": gone}, asked: []string{"a", "b"}},
		{name: "read lost with its owner", owners: []string{"a", "b"}, errs: map[string]error{"exchange start a": exchanger.ErrLost}, asked: []string{"start a"}, fails: exchanger.ErrLost},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := &fake{owners: tt.owners, errs: tt.errs}
			l := &delegator.Delegator{Self: "self", Owners: f, Peers: f, Pool: local{f, "pool"}, Direct: local{f, "direct"}}
			e, err := l.Lease(t.Context(), lessor.Demand{Write: tt.write, Retryable: tt.harmless})
			if err == nil {
				var b batcher.Batch
				if tt.large {
					b.AddQuery(batcher.Pass, strings.Repeat(" ", forwarder.MaximumQueuedBytes))
				}
				_, err = e.Exchange(t.Context(), lessor.Exchange{Batch: &b})
			}
			if !errors.Is(err, tt.fails) || !slices.Equal(f.asked, tt.asked) {
				t.Errorf("asked %q, error %v; want %q, %v", f.asked, err, tt.asked, tt.fails)
			}
		})
	}
}
