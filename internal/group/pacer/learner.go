package pacer

import "time"

const (
	// weight is how slowly the usual delay follows what is seen.
	weight = 8
	// probe is the share by which the delay is tried shorter after a first poll that
	// showed what was waited for: whether a sooner one would have isn't known. Too
	// long a delay holds up every commit, too short a one costs polls.
	probe = 32
)

// UpdateDelay returns a server's usual delay after a poll showed what a demand waited
// for. The poll began at shown after the demand came; missed says that one before
// it didn't show it. The delay is kept below most: beyond it a server lags, and
// how long differs each time.
func UpdateDelay(usual, shown time.Duration, missed bool, most time.Duration) time.Duration {
	if !missed {
		usual = min(usual, shown)
		return usual - usual/probe
	}
	return min(most, usual+(shown-usual)/weight)
}
