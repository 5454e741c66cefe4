package runner

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/clock/scheduler"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

const (
	// seedTimeout bounds the read of the seed list at a start.
	seedTimeout = 300 * time.Millisecond
	// upstreamStartTimeout bounds the wait until a seed accepts connections. After a loss of power
	// of all hosts, they start within 0.3 s of each other.
	upstreamStartTimeout = 350 * time.Millisecond
	// upstreamProbeTimeout bounds one connection attempt to a seed: a host without power does not
	// even refuse the connection.
	upstreamProbeTimeout = 100 * time.Millisecond
	// upstreamProbeInterval is the pause before seeds that refused are tried again.
	upstreamProbeInterval = 20 * time.Millisecond
	// regionSeeds is the number of hosts of the whole region in a seed list, and spareSeeds how many
	// hosts of the zone it has beyond its upstream hosts.
	regionSeeds = 3
	spareSeeds  = 2
	// seedWriteInterval is how often the seed lists are compared with the listed hosts, and
	// seedWriteTimeout bounds a write.
	seedWriteInterval = 2 * time.Second
	seedWriteTimeout  = 700 * time.Millisecond
)

// ErrNoSeeds is returned if an availability zone has no seed list.
const ErrNoSeeds = errors.ConstError("no seed list")

// SeedStore keeps a seed list for each availability zone in the platform's store.
type SeedStore interface {
	// Seeds returns the seed list of the zone, or ErrNoSeeds.
	Seeds(ctx context.Context, zone string) (declarer.Seeds, error)
	// PutSeeds replaces the seed list of the zone.
	PutSeeds(ctx context.Context, zone string, s declarer.Seeds) error
}

// starter finds the hosts through which a restarted host reads the platform, before the host has the
// list of all hosts. That list grows with the deployment: after a loss of power of all hosts, the
// links would be busy with the lists of all of them when nobody can serve yet.
type starter struct {
	host *Host
	// seeded is closed once the seed list was used or could not be, upstreamsKnown once it was used
	// or all hosts are listed.
	seeded, upstreamsKnown chan struct{}
}

func newStarter(h *Host) *starter {
	return &starter{host: h, seeded: make(chan struct{}), upstreamsKnown: make(chan struct{})}
}

func (s *starter) run(ctx context.Context) {
	defer close(s.upstreamsKnown)
	ok := s.seed(ctx)
	close(s.seeded)
	if ok {
		return
	}
	select {
	case <-s.host.hosts.firstListed:
	case <-ctx.Done():
	}
}

// seed reads the seed list and waits for one of its hosts. It reports whether there is a list.
func (s *starter) seed(ctx context.Context) bool {
	h := s.host
	c, cancel := context.WithTimeout(ctx, seedTimeout)
	defer cancel()
	l, err := h.Seeds.Seeds(c, h.Self.AvailabilityZone)
	if err != nil {
		if !errors.Is(err, ErrNoSeeds) {
			h.Log.WithError(err).Warn("seed list not read")
		}
		return false
	}
	h.roster.seed(l)
	s.awaitUpstream(ctx)
	return true
}

// awaitUpstream waits until one of the hosts through which this host may read accepts connections,
// and has those before it skipped. A host that has few such hosts reads the store rather than wait
// for them, as others wait for it.
func (s *starter) awaitUpstream(ctx context.Context) {
	l := s.host.roster.seedUpstreams()
	for end := time.Now().Add(upstreamStartTimeout); time.Now().Before(end); {
		for i, x := range l {
			if s.reach(ctx, x) {
				s.skip(l[:i])
				return
			}
		}
		if len(l) < regionSeeds {
			s.skip(l)
			return
		}
		if scheduler.Pause(ctx, upstreamProbeInterval) != nil {
			return
		}
	}
}

func (s *starter) reach(ctx context.Context, x declarer.Host) bool {
	c, cancel := context.WithTimeout(ctx, upstreamProbeTimeout)
	defer cancel()
	return s.host.ReachHost(c, x.Address) == nil
}

func (s *starter) skip(l []declarer.Host) {
	for _, x := range l {
		s.host.roster.skip(x.Name)
	}
}

// seed uses the hosts of a seed list as upstream hosts until the hosts are listed. Another writer may
// have put any number into the list.
func (r *roster) seed(s declarer.Seeds) {
	l := slices.Clone(s.Hosts)
	orderUpstreams(l)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.upstreams = candidates(l, r.self, max(1, s.ZoneUpstreams))
}

// seedUpstreams returns the hosts through which this host may read, each once.
func (r *roster) seedUpstreams() []declarer.Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	var l []declarer.Host
	for _, h := range r.upstreams {
		if !slices.Contains(l, h) {
			l = append(l, h)
		}
	}
	return l
}

// seeds returns the seed lists of the availability zones of this host's region.
func (r *roster) seeds() map[string]declarer.Seeds {
	r.mu.Lock()
	defer r.mu.Unlock()
	zones := make(map[string][]declarer.Host)
	region := slices.Clone(r.region)
	for i := range region {
		// A strength may change each few seconds, and readers of the list don't need it.
		region[i].Strength = 0
		h := region[i]
		zones[h.AvailabilityZone] = append(zones[h.AvailabilityZone], h)
	}
	m := make(map[string]declarer.Seeds, len(zones))
	for z, l := range zones {
		n := zoneUpstreams(len(l))
		s := declarer.Seeds{ZoneUpstreams: n, Hosts: slices.Clone(region[:min(regionSeeds, len(region))])}
		for _, h := range l[:min(n+spareSeeds, len(l))] {
			if !slices.Contains(s.Hosts, h) {
				s.Hosts = append(s.Hosts, h)
			}
		}
		m[z] = s
	}
	return m
}

// writesSeeds reports whether this host keeps the seed lists of its region: it reads the store for the
// region and is one of the region's first hosts. Any other host that reads the store does so because it
// has lost the hosts before it.
func (r *roster) writesSeeds() bool {
	if _, ok := r.upstream(""); ok {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.region[:min(regionSeeds, len(r.region))], func(h declarer.Host) bool {
		h.Strength = r.self.Strength // the host may have declared a reduced one
		return h == r.self
	})
}

// seedWriter keeps the seed lists of a region as the hosts are listed.
type seedWriter struct {
	host    *Host
	written map[string]declarer.Seeds
}

func (w *seedWriter) run(ctx context.Context) {
	w.written = make(map[string]declarer.Seeds)
	for scheduler.Pause(ctx, seedWriteInterval) == nil {
		if !w.host.roster.writesSeeds() {
			clear(w.written)
			continue
		}
		w.write(ctx)
	}
}

// write writes the lists that have changed.
func (w *seedWriter) write(ctx context.Context) {
	for z, s := range w.host.roster.seeds() {
		if o, ok := w.written[z]; ok && o.ZoneUpstreams == s.ZoneUpstreams && slices.Equal(o.Hosts, s.Hosts) {
			continue
		}
		c, cancel := context.WithTimeout(ctx, seedWriteTimeout)
		err := w.host.Seeds.PutSeeds(c, z, s)
		cancel()
		if err != nil {
			w.host.Log.WithError(err).WithField("zone", z).Warn("seed list not written")
			return
		}
		w.written[z] = s
	}
}
