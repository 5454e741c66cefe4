// Package defaulter sets the defaults of an entry host's settings.
package defaulter

import (
	"time"

	"github.com/cuminwick/cuminwick/internal/group/appointer"
	"github.com/cuminwick/cuminwick/internal/settings/declarer"
)

// Default returns settings with all defaults set. Keys without a default are zero.
func Default() declarer.Settings {
	return declarer.Settings{
		Platform: declarer.Platform{Timeout: 2 * time.Second},
		Peers:    declarer.Peers{ServingHosts: appointer.DefaultHostsPerServer},
		Log:      log(),
		Limits:   limits(),
	}
}

func log() declarer.Log {
	return declarer.Log{
		Level:           declarer.LogInfo,
		SampleDebug:     1,
		SampleDecisions: 1,
		QueueBytes:      4 << 20,
	}
}

func limits() declarer.Limits {
	return declarer.Limits{
		CallerConnections: 4000,
		HandshakeTimeout:  10 * time.Second,
		MessageBytes:      16 << 20,
		WriteTimeout:      30 * time.Second,
		RequestTimeout:    30 * time.Second,
		DrainTimeout:      30 * time.Second,
		QueueLength:       512,
		ConnectTimeout:    3 * time.Second,
		FailedLogins:      30,
		PeerStreams:       1024,
	}
}

// Derive sets the settings that are left out and whose default follows from other settings or from
// now, the time of the start.
func Derive(s *declarer.Settings, now time.Time) {
	if s.Incarnation == 0 {
		s.Incarnation = uint64(now.UnixMilli())
	}
	if s.Peers.AdvertisedAddress == "" {
		s.Peers.AdvertisedAddress = s.Peers.Address
	}
}
