package runner

import (
	"time"
)

const (
	// boundShare is the part, in tenths, of the time allowed for a change that one
	// waiting call may last: a watch gone silent is noticed then, and the change is read
	// anew in what is left.
	boundShare = 6
	// hostsWait is how long a call that waits for other entry hosts lasts. One that has
	// gone is found out by asking it.
	hostsWait = 15 * time.Second
	// firstServersRest to longestHostsRest are the pauses after changes. Which server leads
	// matters within a fraction of a second, which hosts there are doesn't.
	firstServersRest   = 50 * time.Millisecond
	longestServersRest = 400 * time.Millisecond
	firstHostsRest     = 500 * time.Millisecond
	longestHostsRest   = 2 * time.Second
)

// CacheTiming says how one kind of object is read from the store.
type CacheTiming struct {
	// Freshness is how long after an answer of the store what was read counts as current: as
	// long as the next waiting call may last.
	Freshness func() time.Duration
	// MinimumPause and MaximumPause bound the pause after changes.
	MinimumPause, MaximumPause time.Duration
}

// ConfigurationCacheTiming is how the configuration is read.
func (h *Host) ConfigurationCacheTiming() CacheTiming {
	return CacheTiming{Freshness: trust(h.configurationWait)}
}

// ServersCacheTiming is how the servers are read.
func (h *Host) ServersCacheTiming() CacheTiming {
	return CacheTiming{Freshness: trust(h.serversWait), MinimumPause: firstServersRest, MaximumPause: longestServersRest}
}

// HostsCacheTiming is how the entry hosts are read.
func (h *Host) HostsCacheTiming() CacheTiming {
	return CacheTiming{Freshness: trust(lasting(hostsWait)), MinimumPause: firstHostsRest, MaximumPause: longestHostsRest}
}

func trust(wait func() time.Duration) func() time.Duration {
	return func() time.Duration { return wait() + watchSlack }
}

func (h *Host) configurationWait() time.Duration {
	return h.bounds().ConfigurationLimit * boundShare / 10
}

func (h *Host) serversWait() time.Duration { return h.bounds().DrainLimit * boundShare / 10 }
