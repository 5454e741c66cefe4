package runner

import (
	"maps"
	"slices"

	"github.com/apex/log"

	"github.com/cuminwick/cuminwick/internal/customer/limiter"
	"github.com/cuminwick/cuminwick/internal/proxy/quotakeeper"
)

func (h *Host) prepareQuotas() {
	h.quotas = quotakeeper.Keeper{
		Self: h.Name, Zone: h.Self.AvailabilityZone, Zones: slices.Sorted(maps.Keys(h.Board.Regions)), Tolerance: h.Tolerance,
		Limit: h.customerLimit, Counters: h.roster.counters, Precedes: h.roster.precedes, Dial: h.DialQuota, Now: h.Board.Time,
		Lost: h.countingHostLost, Moved: h.countingHostMoved,
	}
	h.quotas.Start()
}

func (h *Host) countingHostLost(host string, err error) {
	h.Log.WithError(err).WithField("host", host).Warn("counting host doesn't answer")
}

// countingHostMoved logs the hosts of the zone that this host knows in the order in which they count: two
// hosts with different lists may count at the same time.
func (h *Host) countingHostMoved(customer, from, to string) {
	var names []string
	for _, x := range h.roster.counters(h.Self.AvailabilityZone, customer) {
		names = append(names, x.Name)
	}
	names = names[:min(len(names), maximumNamedHosts)]
	h.Log.WithFields(log.Fields{"customer": customer, "from": from, "to": to, "order": names}).Info("counting host of a customer changes")
}

// maximumNamedHosts is how many hosts a line of the log names.
const maximumNamedHosts = 4

// customerLimit returns the limit of a customer in the configuration in force.
func (h *Host) customerLimit(name string) (limiter.Limit, bool) {
	c := h.Board.Configuration()
	if c == nil {
		return limiter.Limit{}, false
	}
	x, ok := c.Customers[name]
	return x.Limit, ok
}
