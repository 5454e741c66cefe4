// Package apportioner computes the shares of slot time of customers from the operator's configuration.
package apportioner

import (
	"math"
	"slices"

	"github.com/cuminwick/cuminwick/internal/limit/admitter"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

const (
	// highestShare is the share of the customer with the highest entitlement, before its factor. It
	// keeps rounding errors below 0.1% of it.
	highestShare = 1000
	// minimumShare is the smallest share that a queue accepts.
	minimumShare = 1
)

// Shares returns the share of each team under the configuration, nil if it is neither ranked nor has
// share factors, or declares no customers: all databases have equal shares then, and as a server runs the
// requests of a few of them, none is entitled to a part of its slots. Teams are the customers and, for callers
// without a customer, the databases of routes that serve such callers.
//
// Under a ranked configuration a customer is entitled to its declared share, or else its rate,
// relative to those of the others. Customers that declare neither, and databases, are entitled to the
// median. Otherwise all are entitled to the same.
func Shares(c *declarer.Configuration) map[string]admitter.TeamLimit {
	if c == nil || c.Customers == nil || !c.Ranked && len(c.Operations.ShareFactors) == 0 {
		return nil
	}
	a := newApportioner(c)
	m := make(map[string]admitter.TeamLimit, len(c.Routes)+len(c.Customers))
	for d, r := range c.Routes {
		// The other routes serve no caller without a customer. With a share, each of them would reduce
		// what the customers are entitled to.
		if r.Anonymous {
			m[d] = admitter.TeamLimit{Share: a.share(0, 1)}
		}
	}
	for n, x := range c.Customers {
		f, ok := c.Operations.ShareFactors[n]
		if !ok {
			f = 1
		}
		m[n] = admitter.TeamLimit{Share: a.share(entitlement(x), f)}
	}
	return m
}

// apportioner holds what the entitlements of one configuration are relative to.
type apportioner struct {
	// equal is set if all teams are entitled to the same.
	equal bool
	// highest and median are those of the declared entitlements.
	highest, median float64
}

func newApportioner(c *declarer.Configuration) apportioner {
	var l []float64
	for _, x := range c.Customers {
		if e := entitlement(x); e > 0 {
			l = append(l, e)
		}
	}
	if !c.Ranked || len(l) == 0 {
		return apportioner{equal: true}
	}
	slices.Sort(l)
	return apportioner{highest: l[len(l)-1], median: median(l)}
}

// share returns the share of a team that is entitled to e, zero if it declares nothing, multiplied by
// factor.
func (a apportioner) share(e, factor float64) int {
	part := 1.0
	switch {
	case a.equal:
	case e > 0:
		part = e / a.highest
	default:
		part = a.median / a.highest
	}
	return max(minimumShare, int(highestShare*part*factor+0.5))
}

// entitlement returns what the customer declares: its share, or else its rate. It returns zero if it
// declares neither or an invalid one.
func entitlement(x declarer.Customer) float64 {
	for _, e := range []float64{x.Share, x.Limit.Rate} {
		if e > 0 && !math.IsInf(e, 0) {
			return e
		}
	}
	return 0
}

// median returns the median of a sorted list that isn't empty.
func median(l []float64) float64 {
	n := len(l)
	return l[(n-1)/2]/2 + l[n/2]/2
}
