package runner

import (
	"time"
)

const (
	// waitTenths is the part, in tenths, of the time allowed for a change that one watch call
	// lasts. A stalled watch is detected at its end, and the change is read again in the
	// remaining time.
	waitTenths = 6
	// hostsWait is how long a watch call for entry hosts waits. It may be long, as a lost host is
	// detected by requests to it.
	hostsWait = 15 * time.Second
	// The pauses after changes. A change of a primary must be known within a fraction of a
	// second, a change of the entry hosts need not.
	minimumServersPause = 50 * time.Millisecond
	maximumServersPause = 400 * time.Millisecond
	minimumHostsPause   = 500 * time.Millisecond
	maximumHostsPause   = 2 * time.Second
)

// ReadTiming holds the times of reading one kind of object from the store.
type ReadTiming struct {
	// TTL returns how long after an answer of the store its data counts as current, which is
	// as long as the next watch call may last.
	TTL func() time.Duration
	// MinimumPause and MaximumPause bound the pause between a change and the next watch call.
	MinimumPause, MaximumPause time.Duration
}

// ConfigurationTiming returns the times of reading the configuration.
func (h *Host) ConfigurationTiming() ReadTiming { return ReadTiming{TTL: ttl(h.configWait)} }

// ServersTiming returns the times of reading the servers.
func (h *Host) ServersTiming() ReadTiming {
	return ReadTiming{TTL: ttl(h.serversWait), MinimumPause: minimumServersPause, MaximumPause: maximumServersPause}
}

// HostsTiming returns the times of reading the entry hosts.
func (h *Host) HostsTiming() ReadTiming {
	return ReadTiming{TTL: ttl(constant(hostsWait)), MinimumPause: minimumHostsPause, MaximumPause: maximumHostsPause}
}

// CheckInterval returns the time between two calls to a store that doesn't answer: half of the tightest limit of a
// change. The other half is for the hosts that are asked before the store, the answer, and putting it in force.
func (h *Host) CheckInterval() time.Duration {
	b := h.bounds()
	return min(h.configurationLimit(), b.DrainLimit) / 2
}

func ttl(wait func() time.Duration) func() time.Duration {
	return func() time.Duration { return wait() + watchSlack }
}

func (h *Host) configWait() time.Duration { return h.configurationLimit() * waitTenths / 10 }

// configurationLimit returns the time within which a change of the configuration, customers' keys included, must be
// in force.
func (h *Host) configurationLimit() time.Duration {
	b := h.bounds()
	if b.KeyLimit > 0 {
		return min(b.ConfigurationLimit, b.KeyLimit)
	}
	return b.ConfigurationLimit
}

func (h *Host) serversWait() time.Duration { return h.bounds().DrainLimit * waitTenths / 10 }
