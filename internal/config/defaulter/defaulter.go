// Package defaulter fills in defaults for the keys that a configuration file omits.
package defaulter

import (
	"slices"
	"time"

	"github.com/cuminwick/cuminwick/internal/config/declarer"
)

// Defaults of the settings of the same names in package declarer.
const (
	ReservedConnections      = 2
	QueueLength              = 200
	RequestTimeout           = 30 * time.Second
	IdleInTransactionTimeout = time.Minute
	OutcomeRetention         = 24 * time.Hour
	RetryShare               = 0.1
	Share                    = 1
)

// Fill returns f with all defaults set; it doesn't modify f. It is called once, before a
// file is stored: if each host filled in its own defaults, hosts of different versions of
// cuminwick could decide differently under one revision.
func Fill(f declarer.File) declarer.File {
	f.DatabaseGroups = slices.Clone(f.DatabaseGroups)
	for i := range f.DatabaseGroups {
		g := &f.DatabaseGroups[i]
		g.BackendServers = slices.Clone(g.BackendServers)
		for j := range g.BackendServers {
			fillServer(&g.BackendServers[j])
		}
	}
	f.RoutingRules = slices.Clone(f.RoutingRules)
	for i := range f.RoutingRules {
		setIfZero(&f.RoutingRules[i].WhenUnconfirmed, declarer.Refuse)
	}
	f.Teams = slices.Clone(f.Teams)
	for i := range f.Teams {
		setIfZero(&f.Teams[i].Share, Share)
	}
	fillLimits(&f.Limits)
	return f
}

// fillServer reserves only connections that the server has beyond its slots.
func fillServer(b *declarer.BackendServer) {
	n := min(ReservedConnections, b.Connections-b.Slots)
	setIfZero(&b.ReservedConnections, max(n, 0))
}

func fillLimits(l *declarer.Limits) {
	setIfZero(&l.QueueLength, QueueLength)
	setIfZero(&l.RequestTimeout, RequestTimeout)
	setIfZero(&l.IdleInTransactionTimeout, IdleInTransactionTimeout)
	setIfZero(&l.OutcomeRetention, OutcomeRetention)
	setIfZero(&l.RetryShare, RetryShare)
}

// setIfZero sets *p to v if *p is the zero value.
func setIfZero[T comparable](p *T, v T) {
	var zero T
	if *p == zero {
		*p = v
	}
}
