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

// immediateObserver is a RevisionObserver that reaches each revision immediately.
type immediateObserver struct{}

func (immediateObserver) AwaitRevision(context.Context, uint64) error { return nil }

// Guards against handling a message under an older revision than that of its sender, so that one
// request is processed under two configurations. A message must wait until the revision is in force
// at this host, and then be handled at once, since the caller of the request waits too. If the revision never
// comes into force, the message must be refused in bounded time.
func TestMessageWaitsForItsRevision(t *testing.T) {
	tests := []struct {
		name     string
		revision uint64
		want     time.Duration
		err      error
	}{
		{name: "in force already", revision: 1},
		{name: "on its way", revision: 2, want: time.Second},
		{name: "never comes", revision: 3, want: revisionTimeout, err: context.DeadlineExceeded},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, stop := context.WithCancel(t.Context())
				defer stop()
				h := new(Host)
				go h.board.Run(c)
				h.update(c, configurationWrite{runtime: &director.Runtime{Revision: 1}}.write)
				b := time.Now()
				time.AfterFunc(time.Second, func() {
					h.update(c, configurationWrite{runtime: &director.Runtime{Revision: 2}}.write)
				})
				a := &revisionWaiter{host: h, observer: immediateObserver{}}
				err := a.awaitRevision(c, encoder.Sender{Host: "a", Revision: tt.revision})
				if d := time.Since(b); d != tt.want || !errors.Is(err, tt.err) {
					t.Errorf("after %v: %v, want after %v: %v", d, err, tt.want, tt.err)
				}
				time.Sleep(time.Minute)
			})
		})
	}
}
