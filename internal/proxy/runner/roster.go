package runner

import (
	"context"
	"sync"
	"time"

	"github.com/cuminwick/cuminwick/internal/clock/scheduler"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

// Registrar enters this host into the platform's store, where the others find it.
type Registrar interface {
	Register(ctx context.Context, h declarer.Host) error
	Leave(ctx context.Context, name string) error
}

// roster holds the entry hosts that the platform lists. One that was lost without a
// word stays listed; whoever asks it finds out.
type roster struct {
	self string

	mu    sync.Mutex
	hosts map[string]declarer.Host
}

func (r *roster) reset(l []declarer.Host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hosts = make(map[string]declarer.Host, len(l))
	for _, h := range l {
		r.hosts[h.Name] = h
	}
}

func (r *roster) apply(l []Change[declarer.Host]) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range l {
		if c.Removed {
			delete(r.hosts, c.Name)
			continue
		}
		r.hosts[c.Name] = c.Value
	}
}

// others returns all but this host.
func (r *roster) others() []declarer.Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := make([]declarer.Host, 0, len(r.hosts))
	for _, h := range r.hosts {
		if h.Name != r.self {
			l = append(l, h)
		}
	}
	return l
}

// registration enters this host into the store.
type registration struct {
	host *Host
}

// run tries until the store has taken the entry.
func (r *registration) run(ctx context.Context) {
	h := r.host
	pause := firstBackoff
	for ctx.Err() == nil {
		c, cancel := context.WithTimeout(ctx, listTimeout)
		err := h.Registrar.Register(c, h.Self)
		cancel()
		if err == nil {
			return
		}
		h.Log.WithError(err).Warn("host not entered into the store yet")
		_ = scheduler.Pause(ctx, pause)
		pause = min(2*pause, longestBackoff)
	}
}

// leave takes the host's entry out of the store. An entry that stays costs the others
// an attempt now and then.
func (h *Host) leave() {
	c, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := h.Registrar.Leave(c, h.Name); err != nil {
		h.Log.WithError(err).Warn("host not taken out of the store")
	}
}

// leaveTimeout bounds the call; the host is about to stop.
const leaveTimeout = 300 * time.Millisecond
