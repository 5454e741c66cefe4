package runner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/peer/encoder"
	"github.com/cuminwick/cuminwick/internal/route/director"
)

// observed stands for a source that is at each revision at once.
type observed struct{}

func (observed) Observe(context.Context, uint64) error { return nil }

// A message of a host that is at a later revision must wait until this host
// decides by that revision, and only so long: the caller of the request waits too.
// Where the revision never comes, the message is refused in bounded time.
func TestMessageWaitsForItsRevision(t *testing.T) {
	tests := []struct {
		name     string
		revision uint64
		want     time.Duration
		err      error
	}{
		{name: "in force already", revision: 1},
		{name: "on its way", revision: 2, want: time.Second},
		{name: "never comes", revision: 3, want: ascendTimeout, err: context.DeadlineExceeded},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, stop := context.WithCancel(t.Context())
				defer stop()
				h := new(Host)
				go h.board.Run(c)
				h.update(c, configured{runtime: &director.Runtime{Revision: 1}}.write)
				b := time.Now()
				time.AfterFunc(time.Second, func() {
					h.update(c, configured{runtime: &director.Runtime{Revision: 2}}.write)
				})
				a := &ascender{host: h, observer: observed{}}
				err := a.heard(c, encoder.Sender{Host: "a", Revision: tt.revision})
				if d := time.Since(b); d != tt.want || !errors.Is(err, tt.err) {
					t.Errorf("after %v: %v, want after %v: %v", d, err, tt.want, tt.err)
				}
				time.Sleep(time.Minute)
			})
		})
	}
}
