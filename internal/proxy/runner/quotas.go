package runner

import (
	"maps"
	"slices"

	"github.com/cuminwick/cuminwick/internal/customer/limiter"
	"github.com/cuminwick/cuminwick/internal/proxy/quotakeeper"
)

func (h *Host) prepareQuotas() {
	h.quotas = quotakeeper.Keeper{
		Self: h.Name, Zone: h.Self.AvailabilityZone, Zones: slices.Sorted(maps.Keys(h.Board.Regions)), Tolerance: h.Tolerance,
		Limit: h.customerLimit, Counters: h.roster.counters, Dial: h.DialQuota, Now: h.Board.Time, Lost: h.countingHostLost,
	}
	h.quotas.Start()
}

func (h *Host) countingHostLost(host string, err error) {
	h.Log.WithError(err).WithField("host", host).Warn("counting host doesn't answer")
}

// customerLimit returns the limit of a customer in the configuration in force.
func (h *Host) customerLimit(name string) (limiter.Limit, bool) {
	c := h.Board.Configuration()
	if c == nil {
		return limiter.Limit{}, false
	}
	x, ok := c.Customers[name]
	return x.Limit, ok
}
