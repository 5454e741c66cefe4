package assembler

import (
	"context"
	"reflect"
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/cuminwick/cuminwick/platform"
)

// reloadInterval is how often the settings are read without being asked: their file may
// change without a signal.
const reloadInterval = 5 * time.Second

// reloader reads the settings anew. What may change while a host runs comes into force at
// once, all of it or nothing; the rest is named in the log and waits for the next start.
type reloader struct {
	// current are those in force, seen those that were read last.
	current platform.Settings
	seen    platform.Settings
	load    func() (platform.Settings, error)
	asked   <-chan struct{}
	// adopt takes settings into force.
	adopt func(platform.Settings)
	log   log.Interface

	// fault is that of the last reading, empty if there was none.
	fault string
}

func (r *reloader) run(ctx context.Context) {
	t := time.NewTicker(reloadInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			r.look(false)
		case _, ok := <-r.asked:
			if !ok {
				return
			}
			r.look(true)
		}
	}
}

// look reads the settings. Unless it was asked for, what was said before isn't said again.
func (r *reloader) look(asked bool) {
	s, err := r.load()
	if err != nil {
		if asked || err.Error() != r.fault {
			r.log.WithError(err).Error("settings not valid, those before stay in force")
		}
		r.fault = err.Error()
		return
	}
	r.fault = ""
	if !asked && reflect.DeepEqual(s, r.seen) {
		return
	}
	r.seen = s
	r.take(s)
}

func (r *reloader) take(s platform.Settings) {
	next := r.current.Adopt(s)
	changed, waiting := r.current.Differences(next), next.Differences(s)
	if len(changed) > 0 {
		r.current = next
		r.adopt(next)
		r.log.WithField("changed", strings.Join(changed, ",")).Info("settings in force")
	}
	if len(waiting) > 0 {
		r.log.WithField("changed", strings.Join(waiting, ",")).Warn("settings changed, in force with the next start")
	}
	if len(changed)+len(waiting) == 0 {
		r.log.Info("settings unchanged")
	}
}
