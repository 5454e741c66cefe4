package assembler

import (
	"context"
	"strings"

	"github.com/apex/log"

	"github.com/cuminwick/cuminwick/platform"
)

// reloader reads the settings anew when it is asked, and says what would change. Each of
// them is bound to sockets, pools or limits that the host has at its start, so they come
// into force together with the next start: none changes while callers are served by others.
type reloader struct {
	current platform.Settings
	load    func() (platform.Settings, error)
	asked   <-chan struct{}
	log     log.Interface
}

func (r *reloader) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case _, ok := <-r.asked:
			if !ok {
				return
			}
			r.look()
		}
	}
}

func (r *reloader) look() {
	s, err := r.load()
	if err != nil {
		r.log.WithError(err).Error("settings not valid, those of the start stay in force")
		return
	}
	l := r.current.Differences(s)
	if len(l) == 0 {
		r.log.Info("settings unchanged")
		return
	}
	r.log.WithField("changed", strings.Join(l, ",")).Warn("settings changed, in force with the next start")
}
