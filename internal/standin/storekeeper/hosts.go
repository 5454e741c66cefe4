package storekeeper

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cuminwick/cuminwick/internal/platform/accessor"
)

// hostChange is one change of the hosts, made at a time, that becomes visible after the host list lag.
type hostChange struct {
	at      time.Time
	host    accessor.Host
	removed bool
}

// hostList holds the visible hosts by name and, in order of time, the changes that are not visible yet.
type hostList struct {
	pending []hostChange
	visible map[string]accessor.Host
}

// applyUntil makes the changes made up to t visible.
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

// SetHost adds or replaces a host; the host list shows the change after the lag.
func (s *Store) SetHost(h accessor.Host) {
	s.changeHost(hostChange{host: h})
}

// RemoveHost removes the named host; the host list shows it until the lag has passed.
func (s *Store) RemoveHost(name string) {
	s.changeHost(hostChange{host: accessor.Host{Name: name}, removed: true})
}

// changeHost records a change made now.
func (s *Store) changeHost(c hostChange) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	c.at = time.Now()
	s.hosts.pending = append(s.hosts.pending, c)
}

// Hosts returns the host list as it was HostListLag ago, ordered by name.
func (s *Store) Hosts(ctx context.Context) ([]accessor.Host, error) {
	if err := s.startCall(ctx, func(c *Calls) { c.Hosts++ }); err != nil {
		return nil, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.hosts.applyUntil(time.Now().Add(-s.faults.HostListLag))
	l := make([]accessor.Host, 0, len(s.hosts.visible))
	for _, h := range s.hosts.visible {
		l = append(l, h)
	}
	slices.SortFunc(l, func(a, b accessor.Host) int { return cmp.Compare(a.Name, b.Name) })
	return l, nil
}
