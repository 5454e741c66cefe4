package runner

import (
	"time"
)

const (
	// waitTenths is the part, in tenths, of the time allowed for a change that one
	// waiting call may last: a watch gone silent is noticed then, and the change is read
	// anew in what is left.
	waitTenths = 6
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

// ReadTiming says how one kind of object is read from the store.
type ReadTiming struct {
	// Lifetime is how long after an answer of the store what was read counts as current: as
	// long as the next waiting call may last.
	Lifetime func() time.Duration
	// MinimumPause and MaximumPause bound the pause after changes.
	MinimumPause, MaximumPause time.Duration
}

// ConfigurationTiming is how the configuration is read.
func (h *Host) ConfigurationTiming() ReadTiming { return ReadTiming{Lifetime: lifetime(h.configWait)} }

// ServersTiming is how the servers are read.
func (h *Host) ServersTiming() ReadTiming {
	return ReadTiming{Lifetime: lifetime(h.serversWait), MinimumPause: firstServersRest, MaximumPause: longestServersRest}
}

// HostsTiming is how the entry hosts are read.
func (h *Host) HostsTiming() ReadTiming {
	return ReadTiming{Lifetime: lifetime(lasting(hostsWait)), MinimumPause: firstHostsRest, MaximumPause: longestHostsRest}
}

func lifetime(wait func() time.Duration) func() time.Duration {
	return func() time.Duration { return wait() + watchSlack }
}

func (h *Host) configWait() time.Duration { return h.bounds().ConfigurationLimit * waitTenths / 10 }

func (h *Host) serversWait() time.Duration { return h.bounds().DrainLimit * waitTenths / 10 }
