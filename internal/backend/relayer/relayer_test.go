package relayer_test

import (
	"context"
	"errors"
	"slices"
	"testing"

	"github.com/cuminwick/cuminwick/internal/backend/controller"
	"github.com/cuminwick/cuminwick/internal/backend/relayer"
	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/peer/encoder"
	"github.com/cuminwick/cuminwick/internal/pool/assigner"
)

// fakeHosts stands for the other entry hosts and for this host's own connection to the server.
type fakeHosts struct {
	errs   map[string]error
	called []string
}

func (h *fakeHosts) Owners(assigner.Server, int) assigner.Owners {
	return assigner.Owners{Hosts: [assigner.MaximumOwners]string{"owner", "next"}, Count: 2}
}

func (h *fakeHosts) answer(host string) (controller.Status, error) {
	h.called = append(h.called, host)
	return controller.Status{BackendServer: host}, h.errs[host]
}

func (h *fakeHosts) Control(_ context.Context, host string, _ relayer.Request) (controller.Status, error) {
	return h.answer(host)
}

func (h *fakeHosts) EnsureConnection(string) bool { return true }

func (h *fakeHosts) Status(context.Context) (controller.Status, error) { return h.answer("self") }

func (h *fakeHosts) RaiseTerm(context.Context, marker.Term) (controller.Status, error) {
	return h.answer("self")
}

func (h *fakeHosts) Promote(context.Context, marker.Term) (controller.Status, error) {
	return h.answer("self")
}

func (h *fakeHosts) Follow(context.Context, marker.Term, string, string) (controller.Status, error) {
	return h.answer("self")
}

// An entry host can't reach the pool owner, or the pool owner can't reach the backend server. If
// the first were mistaken for the second, a healthy primary would be replaced. If a command whose
// answer was lost were repeated, the second one could be refused and be reported as a failure.
func TestHostsCalled(t *testing.T) {
	noAnswer := errors.New("no answer")
	unreachable := &encoder.Refusal{Reason: encoder.ReasonUnreachable}
	ended := &encoder.Refusal{Reason: encoder.ReasonNotRunning}
	tests := []struct {
		name    string
		errs    map[string]error
		command bool
		called  []string
		fails   bool
	}{
		{name: "owner answers", called: []string{"owner"}},
		{name: "owner doesn't respond", errs: map[string]error{"owner": noAnswer}, called: []string{"owner", "next"}},
		{name: "neither responds", errs: map[string]error{"owner": noAnswer, "next": noAnswer}, called: []string{"owner", "next", "self"}},
		{name: "owner can't reach the server", errs: map[string]error{"owner": unreachable}, called: []string{"owner", "next"}},
		{name: "neither reaches the server", errs: map[string]error{"owner": unreachable, "next": unreachable}, called: []string{"owner", "next"}, fails: true},
		{name: "the server has ended", errs: map[string]error{"owner": ended, "next": ended}, called: []string{"owner", "next"}, fails: true},
		{name: "command to a server that has ended", errs: map[string]error{"owner": ended}, command: true, called: []string{"owner"}, fails: true},
		{name: "owner can't reach the server and next doesn't respond", errs: map[string]error{"owner": unreachable, "next": noAnswer}, called: []string{"owner", "next"}, fails: true},
		{name: "answer to command lost", errs: map[string]error{"owner": noAnswer}, command: true, called: []string{"owner"}, fails: true},
		{name: "command refused by a host that isn't the owner", errs: map[string]error{"owner": &encoder.Refusal{Reason: encoder.ReasonNotOwner}}, command: true, called: []string{"owner", "next"}},
		{name: "command not sent", errs: map[string]error{"owner": relayer.ErrNotSent, "next": relayer.ErrNotSent}, command: true, called: []string{"owner", "next", "self"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := &fakeHosts{errs: tt.errs}
			r := &relayer.Relayer{Self: "self", Owners: h, Peers: h, Local: h}
			call := r.Status
			if tt.command {
				call = func(ctx context.Context) (controller.Status, error) { return r.RaiseTerm(ctx, 2) }
			}
			s, err := call(t.Context())
			if (err != nil) != tt.fails || !slices.Equal(h.called, tt.called) {
				t.Errorf("called %v, error %v; want %v", h.called, err, tt.called)
			}
			if last := h.called[len(h.called)-1]; err == nil && s.BackendServer != last {
				t.Errorf("status of %q, last called %q", s.BackendServer, last)
			}
		})
	}
}
