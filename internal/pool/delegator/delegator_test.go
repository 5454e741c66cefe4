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

// fakeHosts simulates everything that lends connections, and records the calls.
type fakeHosts struct {
	owners []string
	errs   map[string]error
	calls  []string
}

func (f *fakeHosts) Owners(_ assigner.Server, n int) assigner.Owners {
	var o assigner.Owners
	o.Count = copy(o.Hosts[:n], f.owners)
	return o
}

func (f *fakeHosts) lease(name string) (lessor.Lease, error) {
	f.calls = append(f.calls, name)
	if err := f.errs[name]; err != nil {
		return nil, err
	}
	return &fakeLease{fakeHosts: f, name: name}, nil
}

func (f *fakeHosts) Lease(_ context.Context, p forwarder.Pool, _ lessor.Demand) (lessor.Lease, error) {
	return f.lease(p.Host)
}

func (f *fakeHosts) LeasePipelined(_ context.Context, p forwarder.Pool, _ lessor.Demand) (lessor.Lease, error) {
	return f.lease("pipelined " + p.Host)
}

// fakePool is this host's pool or its direct connections.
type fakePool struct {
	*fakeHosts
	name string
}

func (l fakePool) Lease(context.Context, lessor.Demand) (lessor.Lease, error) { return l.lease(l.name) }

func (l fakePool) Load() gate.Load { return gate.Load{} }

// fakeLease is a lease whose exchange fails with the error that errs has for "exchange" and its name.
type fakeLease struct {
	*fakeHosts
	name string
}

func (l *fakeLease) Exchange(context.Context, lessor.Exchange) (exchanger.Result, error) {
	return exchanger.Result{Tag: l.name}, l.errs["exchange "+l.name]
}

func (l *fakeLease) Parameters() map[string]string { return nil }

func (l *fakeLease) Release(lessor.Return) { l.calls = append(l.calls, "release") }

// Owners crash, are unreachable, or refuse requests. A request must be sent to the next owner exactly
// if nothing of it was sent to a backend server or what was sent has no effect, and must otherwise
// return to its caller: a retry in another case could run it twice.
func TestLeaseHostSelection(t *testing.T) {
	unavailable := forwarder.ErrUnavailable
	full := errors.New("queue full")
	silent := errors.Join(forwarder.ErrSilent, exchanger.ErrLost)
	tests := []struct {
		name   string
		owners []string
		write  bool
		// retryable writes are sent together with the request, large batches aren't.
		retryable, large bool
		errs             map[string]error
		calls            []string
		fails            error
	}{
		{name: "owner is this host", owners: []string{"self", "b"}, write: true, calls: []string{"pool"}},
		{name: "another host owns", owners: []string{"a", "self"}, write: true, calls: []string{"a"}},
		{name: "owner unavailable, this host next", owners: []string{"a", "self"}, write: true, errs: map[string]error{"a": unavailable}, calls: []string{"a", "pool"}},
		{name: "owner unavailable, another next", owners: []string{"a", "b", "c"}, write: true, errs: map[string]error{"a": unavailable}, calls: []string{"a", "b"}},
		{name: "all unavailable", owners: []string{"a", "b", "c"}, write: true, errs: map[string]error{"a": unavailable, "b": unavailable, "c": unavailable}, calls: []string{"a", "b", "c", "direct"}},
		{name: "owner refuses", owners: []string{"a", "b"}, write: true, errs: map[string]error{"a": full}, calls: []string{"a"}, fails: full},
		{name: "no host is live", write: true, calls: []string{"pool"}},
		{name: "read sent together with the request", owners: []string{"a", "b"}, calls: []string{"pipelined a"}},
		{name: "read at an unavailable owner", owners: []string{"a", "b"}, errs: map[string]error{"pipelined a": unavailable, "a": unavailable}, calls: []string{"pipelined a", "a", "b"}},
		{name: "read that the host doesn't accept", owners: []string{"a", "b"}, errs: map[string]error{"exchange pipelined a": unavailable, "a": unavailable}, calls: []string{"pipelined a", "release", "a", "b"}},
		{name: "retryable first exchange", owners: []string{"a", "b"}, write: true, retryable: true, calls: []string{"pipelined a"}},
		{name: "retryable first exchange at a silent owner", owners: []string{"a", "b"}, write: true, retryable: true, errs: map[string]error{"exchange pipelined a": silent, "a": unavailable}, calls: []string{"pipelined a", "release", "a", "b"}},
		{name: "read at a silent owner", owners: []string{"a", "b"}, errs: map[string]error{"exchange pipelined a": silent}, calls: []string{"pipelined a"}, fails: exchanger.ErrLost},
		{name: "large first exchange", owners: []string{"a", "b"}, write: true, retryable: true, large: true, calls: []string{"a"}},
		{name: "large first exchange at an unavailable owner", owners: []string{"a", "b"}, large: true, errs: map[string]error{"a": unavailable}, calls: []string{"a", "b"}},
		{name: "read lost with its owner", owners: []string{"a", "b"}, errs: map[string]error{"exchange pipelined a": exchanger.ErrLost}, calls: []string{"pipelined a"}, fails: exchanger.ErrLost},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := &fakeHosts{owners: tt.owners, errs: tt.errs}
			l := &delegator.Delegator{Self: "self", Owners: f, Peers: f, Pool: fakePool{f, "pool"}, Direct: fakePool{f, "direct"}}
			e, err := l.Lease(t.Context(), lessor.Demand{Write: tt.write, Retryable: tt.retryable})
			if err == nil {
				var b batcher.Batch
				if tt.large {
					b.AddQuery(batcher.Pass, strings.Repeat(" ", forwarder.MaximumQueuedBytes))
				}
				_, err = e.Exchange(t.Context(), lessor.Exchange{Batch: &b})
			}
			if !errors.Is(err, tt.fails) || !slices.Equal(f.calls, tt.calls) {
				t.Errorf("calls %q, error %v; want %q, %v", f.calls, err, tt.calls, tt.fails)
			}
		})
	}
}
