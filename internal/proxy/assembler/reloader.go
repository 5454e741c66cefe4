package assembler

import (
	"context"
	"reflect"
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/cuminwick/cuminwick/platform"
)

// reloadInterval is how often the settings are read without a request, because their file may
// change without a signal.
const reloadInterval = 5 * time.Second

// reloader reads the settings again. Those that may change while a host runs are put in force at
// once, all or none; the others are logged and take effect at the next start.
type reloader struct {
	// current holds the settings in force, lastRead those that were read last.
	current  platform.Settings
	lastRead platform.Settings
	load     func() (platform.Settings, error)
	requests <-chan struct{}
	// adopt puts settings in force.
	adopt func(platform.Settings)
	log   log.Interface

	// lastError is the error of the last read, empty if there was none.
	lastError string
}

func (r *reloader) run(ctx context.Context) {
	t := time.NewTicker(reloadInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			r.reload(false)
		case _, ok := <-r.requests:
			if !ok {
				return
			}
			r.reload(true)
		}
	}
}

// reload reads the settings. Unless requested, it does not log an error or a difference again.
func (r *reloader) reload(requested bool) {
	s, err := r.load()
	if err != nil {
		if requested || err.Error() != r.lastError {
			r.log.WithError(err).Error("settings not valid, those before stay in force")
		}
		r.lastError = err.Error()
		return
	}
	r.lastError = ""
	if !requested && reflect.DeepEqual(s, r.lastRead) {
		return
	}
	r.lastRead = s
	r.apply(s)
}

func (r *reloader) apply(s platform.Settings) {
	next := r.current.Adopt(s)
	changed, pending := r.current.Differences(next), next.Differences(s)
	if len(changed) > 0 {
		r.current = next
		r.adopt(next)
		r.log.WithField("changed", strings.Join(changed, ",")).Info("settings in force")
	}
	if len(pending) > 0 {
		r.log.WithField("changed", strings.Join(pending, ",")).Warn("settings changed, in force with the next start")
	}
	if len(changed)+len(pending) == 0 {
		r.log.Info("settings unchanged")
	}
}
