package runner

import (
	"maps"
	"slices"

	"github.com/cuminwick/cuminwick/internal/customer/limiter"
	"github.com/cuminwick/cuminwick/internal/proxy/quotakeeper"
)

// quotaExtraShare is the part of the tolerated operations beyond a limit by which bursts are enlarged.
// The rest is left for operations that were counted by a host that has failed.
const quotaExtraShare = 0.6

func (h *Host) prepareQuotas() {
	h.quotas = quotakeeper.Keeper{
		Self: h.Name, Zone: h.Self.AvailabilityZone, Zones: slices.Sorted(maps.Keys(h.Board.Regions)), Extra: quotaExtraShare * h.QuotaSlack,
		Limit: h.customerLimit, Counters: h.roster.counters, Dial: h.DialQuota, Now: h.Board.Time,
	}
	h.quotas.Start()
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
