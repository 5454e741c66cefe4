// Package appraiser decides how many slots of backend servers an entry host can own.
package appraiser

import "math"

const (
	// slotsPerCore is how many slots a core of an entry host carries: the statements of a slot take
	// about 20 ms of processor time a second.
	slotsPerCore = 50
	// slotsPerMegabit is how many slots a megabit per second of the host's link carries.
	slotsPerMegabit = 2
	// roundingMargin keeps products such as 0.58 cores × 50 from falling below a whole number.
	roundingMargin = 1e-9
	// MaximumStrength bounds the strength of a host. It is far above that of any machine, and low
	// enough for sums and products of strengths.
	MaximumStrength = 1_000_000
)

// Strength returns the number of slots that a host with the cores and the bandwidth, in bits per second,
// can own. It is zero, which means unknown, if the number of cores is unknown. A bandwidth of zero is
// unknown and limits nothing.
func Strength(cores float64, bandwidth int64) int {
	if cores <= 0 {
		return 0
	}
	n := cores * slotsPerCore
	if bandwidth > 0 {
		n = min(n, float64(bandwidth)/1e6*slotsPerMegabit)
	}
	return int(min(max(1, math.Floor(n+roundingMargin)), MaximumStrength))
}
