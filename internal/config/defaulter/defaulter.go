// Package defaulter fills the keys that an operator's file leaves out.
package defaulter

import (
	"slices"
	"time"

	"github.com/cuminwick/cuminwick/internal/config/declarer"
)

// Defaults of an applied file.
const (
	ReservedConnections      = 2
	QueueLength              = 200
	RequestTimeout           = 30 * time.Second
	IdleInTransactionTimeout = time.Minute
	OutcomeRetention         = 24 * time.Hour
	RetryShare               = 0.1
	Share                    = 1
)

// Fill returns f with all defaults set. It is done once, before a file is
// stored: were each host to fill in its own, hosts of two versions of cuminwick
// could decide differently under one revision.
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
		set(&f.RoutingRules[i].WhenUnconfirmed, declarer.Refuse)
	}
	f.Teams = slices.Clone(f.Teams)
	for i := range f.Teams {
		set(&f.Teams[i].Share, Share)
	}
	fillLimits(&f.Limits)
	return f
}

// fillServer reserves connections only where the server has some to spare.
func fillServer(b *declarer.BackendServer) {
	n := min(ReservedConnections, b.Connections-b.Slots)
	set(&b.ReservedConnections, max(n, 0))
}

func fillLimits(l *declarer.Limits) {
	set(&l.QueueLength, QueueLength)
	set(&l.RequestTimeout, RequestTimeout)
	set(&l.IdleInTransactionTimeout, IdleInTransactionTimeout)
	set(&l.OutcomeRetention, OutcomeRetention)
	set(&l.RetryShare, RetryShare)
}

func set[T comparable](p *T, v T) {
	var zero T
	if *p == zero {
		*p = v
	}
}
