package runner

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cuminwick/cuminwick/internal/clock/scheduler"
	"github.com/cuminwick/cuminwick/internal/pool/assigner"
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
	// own is this host as it enters the store.
	own declarer.Host
	// regions tells where the availability zones are.
	regions map[string]string

	mu       sync.Mutex
	hosts    map[string]declarer.Host
	assigner *assigner.Assigner
	// readers are the hosts of this host's region in the order in which they are read from.
	readers []declarer.Host
	// silent is until when a host isn't read from.
	silent map[silence]time.Time
}

func (r *roster) reset(l []declarer.Host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hosts = make(map[string]declarer.Host, len(l))
	for _, h := range l {
		r.hosts[h.Name] = h
	}
	r.compile()
}

// compile ranks the hosts anew. The mutex is held.
func (r *roster) compile() {
	var l []assigner.Host
	for _, h := range r.hosts {
		l = append(l, assigner.Host{Name: h.Name, AvailabilityZone: h.AvailabilityZone, Region: r.regions[h.AvailabilityZone]})
	}
	r.assigner = assigner.Compile(l)
	r.rankReaders()
}

// count returns how many hosts are listed.
func (r *roster) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.hosts)
}

// owners returns the hosts that own the server's connections, the first that can.
func (r *roster) owners(s declarer.Server) []declarer.Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.assigner == nil {
		return nil
	}
	o := r.assigner.Owners(assigner.Server{DatabaseGroup: s.Group, Name: s.ID, AvailabilityZone: s.AvailabilityZone, Region: r.regions[s.AvailabilityZone]}, assigner.MaximumOwners)
	l := make([]declarer.Host, 0, o.Count)
	for _, n := range o.Hosts[:o.Count] {
		l = append(l, r.hosts[n])
	}
	return l
}

const (
	// watchers is how many hosts look after a group at full rate.
	watchers = 12
	// claimants is how many of them may claim a group that nobody has, one after the other.
	claimants = 3
)

// Watches reports whether this host is among those that look after the group.
func (r *roster) Watches(group string) bool { return r.rank(group) < watchers }

// MayClaim reports whether it is among those that may claim it first.
func (r *roster) MayClaim(group string) bool { return r.rank(group) < claimants }

// rank returns how many hosts go before this one for the group.
func (r *roster) rank(group string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	own := xxhash.Sum64String(r.own.Name + "/" + group)
	before := 0
	for n := range r.hosts {
		if xxhash.Sum64String(n+"/"+group) < own {
			before++
		}
	}
	return before
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
	r.compile()
}

// others returns all but this host.
func (r *roster) others() []declarer.Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := make([]declarer.Host, 0, len(r.hosts))
	for _, h := range r.hosts {
		if h.Name != r.own.Name {
			l = append(l, h)
		}
	}
	return l
}

// knows reports whether the host is listed as it is.
func (r *roster) knows(h declarer.Host) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hosts[h.Name] == h
}

// startSpread is within which all hosts of a deployment start that starts for the first
// time, with what it takes each to enter the store.
const startSpread = 400 * time.Millisecond

// registration enters this host into the store.
type registration struct {
	host *Host
}

// run enters the host once the hosts are listed: until then the store doesn't answer, and a
// host that was killed may find its entry still there. At the first start of a deployment
// it goes before the list, so that this has all hosts.
func (r *registration) run(ctx context.Context) {
	h := r.host
	if h.FirstStart {
		r.enter(ctx)
		_ = scheduler.Pause(ctx, startSpread)
		close(h.entered)
		return
	}
	select {
	case <-h.hosts.first:
	case <-ctx.Done():
		return
	}
	if !h.roster.knows(h.Self) {
		r.enter(ctx)
	}
}

// enter tries until the store has taken the entry.
func (r *registration) enter(ctx context.Context) {
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
