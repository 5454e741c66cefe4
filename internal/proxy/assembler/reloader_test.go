package assembler

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/platform"
)

// Guards against a change of the settings file that takes effect in part, or ends a host by
// a typing error: what may change is in force at once, the rest is named, and a file that
// isn't valid changes nothing.
func TestReload(t *testing.T) {
	h := memory.New()
	s := platform.Settings{HostName: "h", Regions: map[string]string{"a": "x"}, Grace: time.Second}
	start := s
	var err error
	var adopted []platform.Settings
	asked := make(chan struct{})
	r := &reloader{
		current: s, seen: s, load: func() (platform.Settings, error) { return s, err }, asked: asked, log: &log.Logger{Handler: h},
		adopt: func(s platform.Settings) { adopted = append(adopted, s) },
	}
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
	s.MemoryBytes, s.Grace = 5, 2*time.Second
	r.look(false)
	r.look(false) // nothing new
	err = errors.New("zone is missing")
	r.look(false)
	r.look(false) // the same fault
	r.look(true)
	err = nil
	s.Grace = 3 * time.Second
	r.look(false)
	var got []string
	for _, e := range h.Entries {
		got = append(got, e.Message)
	}
	want := []string{
		"settings unchanged", "settings unchanged",
		"settings in force", "settings changed, in force with the next start",
		"settings not valid, those before stay in force", "settings not valid, those before stay in force",
		"settings in force", "settings changed, in force with the next start",
	}
	if !slices.Equal(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
	if c := h.Entries[2].Fields.Get("changed"); c != "Grace,MemoryBytes" {
		t.Errorf("in force %q", c)
	}
	if c := h.Entries[3].Fields.Get("changed"); c != "Regions" {
		t.Errorf("named for the next start %q", c)
	}
	if len(adopted) != 2 || adopted[1].Grace != 3*time.Second || adopted[1].Regions["a"] != start.Regions["a"] {
		t.Errorf("adopted %+v", adopted)
	}
}
