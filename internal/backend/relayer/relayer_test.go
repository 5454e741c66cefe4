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

// hosts answers for the entry hosts and for this host's own connection.
type hosts struct {
	errs  map[string]error
	asked []string
}

func (h *hosts) Owners(assigner.Server, int) assigner.Owners {
	return assigner.Owners{Hosts: [assigner.MaximumOwners]string{"owner", "next"}, Count: 2}
}

func (h *hosts) answer(host string) (controller.Status, error) {
	h.asked = append(h.asked, host)
	return controller.Status{BackendServer: host}, h.errs[host]
}

func (h *hosts) Control(_ context.Context, host string, _ relayer.Request) (controller.Status, error) {
	return h.answer(host)
}

func (h *hosts) EnsureConnection(string) bool { return true }

func (h *hosts) Status(context.Context) (controller.Status, error) { return h.answer("self") }

func (h *hosts) RaiseTerm(context.Context, marker.Term) (controller.Status, error) {
	return h.answer("self")
}

func (h *hosts) Promote(context.Context, marker.Term) (controller.Status, error) {
	return h.answer("self")
}

func (h *hosts) Follow(context.Context, marker.Term, string, string) (controller.Status, error) {
	return h.answer("self")
}

// An entry host can't reach the owner, or the owner can't reach the backend
// server. Taking the first for the second would have a healthy primary
// replaced; repeating a command whose answer was lost could be refused and
// look like a failure.
func TestWhoIsAsked(t *testing.T) {
	silent := errors.New("no answer")
	unreachable := &encoder.Refusal{Reason: encoder.ReasonUnreachable}
	ended := &encoder.Refusal{Reason: encoder.ReasonNotRunning}
	tests := []struct {
		name    string
		errs    map[string]error
		command bool
		asked   []string
		fails   bool
	}{
		{name: "owner answers", asked: []string{"owner"}},
		{name: "owner silent", errs: map[string]error{"owner": silent}, asked: []string{"owner", "next"}},
		{name: "both silent", errs: map[string]error{"owner": silent, "next": silent}, asked: []string{"owner", "next", "self"}},
		{name: "owner can't reach the server", errs: map[string]error{"owner": unreachable}, asked: []string{"owner", "next"}},
		{name: "neither reaches the server", errs: map[string]error{"owner": unreachable, "next": unreachable}, asked: []string{"owner", "next"}, fails: true},
		{name: "the server has ended", errs: map[string]error{"owner": ended, "next": ended}, asked: []string{"owner", "next"}, fails: true},
		{name: "command to a server that has ended", errs: map[string]error{"owner": ended}, command: true, asked: []string{"owner"}, fails: true},
		{name: "owner can't and next is silent", errs: map[string]error{"owner": unreachable, "next": silent}, asked: []string{"owner", "next"}, fails: true},
		{name: "answer to command lost", errs: map[string]error{"owner": silent}, command: true, asked: []string{"owner"}, fails: true},
		{name: "command not taken on", errs: map[string]error{"owner": &encoder.Refusal{Reason: encoder.ReasonNotOwner}}, command: true, asked: []string{"owner", "next"}},
		{name: "command not sent", errs: map[string]error{"owner": relayer.ErrNotSent, "next": relayer.ErrNotSent}, command: true, asked: []string{"owner", "next", "self"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := &hosts{errs: tt.errs}
			r := &relayer.Relayer{Self: "self", Owners: h, Peers: h, Local: h}
			call := r.Status
			if tt.command {
				call = func(ctx context.Context) (controller.Status, error) { return r.RaiseTerm(ctx, 2) }
			}
			s, err := call(t.Context())
			if (err != nil) != tt.fails || !slices.Equal(h.asked, tt.asked) {
				t.Errorf("asked %v, error %v; want %v", h.asked, err, tt.asked)
			}
			if last := h.asked[len(h.asked)-1]; err == nil && s.BackendServer != last {
				t.Errorf("status of %q, last asked %q", s.BackendServer, last)
			}
		})
	}
}
