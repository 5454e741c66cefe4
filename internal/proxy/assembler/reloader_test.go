package assembler

import (
	"context"
	"slices"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/platform"
)

// An operator changes a host's settings file and says so by a signal. Whether they are valid
// and what they change must show in the log; a host that took over a part of them, or ended
// by a typing error, would be worse than one that goes on as it is.
func TestReloadSaysWhatChanges(t *testing.T) {
	h := memory.New()
	s := platform.Settings{HostName: "h", Regions: map[string]string{"a": "x"}}
	var err error
	asked := make(chan struct{})
	r := &reloader{current: s, load: func() (platform.Settings, error) { return s, err }, asked: asked, log: &log.Logger{Handler: h}}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.run(ctx)
	}()
	asked <- struct{}{}
	asked <- struct{}{}
	close(asked)
	<-done
	s.Regions = map[string]string{"a": "y"}
	s.MemoryBytes = 5
	r.look()
	err = errors.New("zone is missing")
	r.look()
	var got []string
	for _, e := range h.Entries {
		got = append(got, e.Message)
	}
	want := []string{"settings unchanged", "settings unchanged", "settings changed, in force with the next start", "settings not valid, those of the start stay in force"}
	if !slices.Equal(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
	if c := h.Entries[2].Fields.Get("changed"); c != "MemoryBytes,Regions" {
		t.Errorf("changed %q", c)
	}
}
