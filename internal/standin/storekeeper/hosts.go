package storekeeper

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cuminwick/cuminwick/internal/platform/accessor"
)

// hostChange is one change of the host list that becomes visible after the lag.
type hostChange struct {
	at      time.Time
	host    accessor.Host
	removed bool
}

// hostList keeps the changes that aren't visible yet and the visible hosts.
type hostList struct {
	pending []hostChange
	visible map[string]accessor.Host
}

// applyUntil makes the changes up to t visible.
func (h *hostList) applyUntil(t time.Time) {
	if h.visible == nil {
		h.visible = map[string]accessor.Host{}
	}
	for len(h.pending) > 0 && !h.pending[0].at.After(t) {
		c := h.pending[0]
		h.pending = h.pending[1:]
		if c.removed {
			delete(h.visible, c.host.Name)
			continue
		}
		h.visible[c.host.Name] = c.host
	}
}

// SetHost adds or changes a host; the list shows it after the lag.
func (s *Store) SetHost(h accessor.Host) {
	s.changeHost(hostChange{host: h})
}

// RemoveHost takes the named host off; the list shows it until the lag is over.
func (s *Store) RemoveHost(name string) {
	s.changeHost(hostChange{host: accessor.Host{Name: name}, removed: true})
}

func (s *Store) changeHost(c hostChange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.at = time.Now()
	s.hosts.pending = append(s.hosts.pending, c)
}

// Hosts returns the host list as it was one lag ago, ordered by name.
func (s *Store) Hosts(ctx context.Context) ([]accessor.Host, error) {
	if err := s.startCall(ctx, func(c *Calls) { c.Hosts++ }); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts.applyUntil(time.Now().Add(-s.faults.HostListLag))
	l := make([]accessor.Host, 0, len(s.hosts.visible))
	for _, h := range s.hosts.visible {
		l = append(l, h)
	}
	slices.SortFunc(l, func(a, b accessor.Host) int { return cmp.Compare(a.Name, b.Name) })
	return l, nil
}
