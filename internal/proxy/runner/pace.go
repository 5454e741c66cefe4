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

func ttl(wait func() time.Duration) func() time.Duration {
	return func() time.Duration { return wait() + watchSlack }
}

func (h *Host) configWait() time.Duration {
	b := h.bounds()
	l := b.ConfigurationLimit
	if b.KeyLimit > 0 {
		l = min(l, b.KeyLimit)
	}
	return l * waitTenths / 10
}

func (h *Host) serversWait() time.Duration { return h.bounds().DrainLimit * waitTenths / 10 }
