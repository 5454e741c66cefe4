// Package previewer compares two configurations and describes what changes for customers, routes, backend
// servers and entry hosts when one takes the place of the other.
package previewer

import (
	"cmp"
	"slices"

	"github.com/cuminwick/cuminwick/internal/customer/apportioner"
	"github.com/cuminwick/cuminwick/internal/limit/admitter"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

// Preview describes the effect of a configuration.
type Preview struct {
	// RunningVersion and Version are the versions of the two configurations. Hosts put a configuration
	// into force only if its version is above the running one.
	RunningVersion uint64 `json:"running-version"`
	Version        uint64 `json:"version"`
	RankedBefore   bool   `json:"ranked-before"`
	Ranked         bool   `json:"ranked"`
	// EqualSharesBefore and EqualShares report that customers have no shares of their own.
	EqualSharesBefore bool               `json:"equal-shares-before"`
	EqualShares       bool               `json:"equal-shares"`
	Importance        []ImportanceChange `json:"importance"`
	Shares            []ShareChange      `json:"shares"`
	Operations        []OperationChange  `json:"operations"`
	// Unmatched holds the names in the operators' requests that match no customer or route. Backend
	// servers and entry hosts aren't part of a configuration, so that their names can't be checked.
	Unmatched []UnmatchedName `json:"unmatched"`
}

// ImportanceChange is a change of the importance of requests on a route.
type ImportanceChange struct {
	Route string `json:"route"`
	// Before and After are nil where one of the configurations lacks the route or the customers.
	Before *admitter.Importance `json:"before"`
	After  *admitter.Importance `json:"after"`
	// Customers are those that the change applies to. The empty name stands for callers without a
	// customer.
	Customers []string `json:"customers"`
	// All is set if it applies to all callers of the route.
	All bool `json:"all"`
}

// ShareChange is a change of a share of slot time.
type ShareChange struct {
	// Kind is KindCustomer, or KindDatabase for the callers of a database without a customer.
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Before and After are zero where there is no share, or where all shares are equal.
	Before int `json:"before"`
	After  int `json:"after"`
}

// UnmatchedName is a name in the operators' requests that matches nothing.
type UnmatchedName struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
}

// Kinds of names.
const (
	KindCustomer = "customer"
	KindRoute    = "route"
	KindServer   = "server"
	KindHost     = "host"
	KindDatabase = "database"
)

// Compare describes what changes when next takes the place of running.
func Compare(running, next *declarer.Configuration) *Preview {
	p := &Preview{
		RunningVersion: running.Version, Version: next.Version,
		RankedBefore: running.Ranked, Ranked: next.Ranked,
		Importance: []ImportanceChange{}, Shares: []ShareChange{},
		Operations: CompareOperations(&running.Operations, &next.Operations),
		Unmatched:  unmatched(next),
	}
	if running.Ranked || next.Ranked {
		p.Importance = append(p.Importance, compareImportance(running, next)...)
	}
	before, after := apportioner.Shares(running), apportioner.Shares(next)
	p.EqualSharesBefore, p.EqualShares = before == nil, after == nil
	for _, n := range unionOfKeys(before, after) {
		c := ShareChange{Kind: KindCustomer, Name: n, Before: before[n].Share, After: after[n].Share}
		if !isCustomer(running, n) && !isCustomer(next, n) {
			c.Kind = KindDatabase
		}
		if c.Before != c.After && (c.Kind == KindCustomer || servesWithoutCustomer(running, n) || servesWithoutCustomer(next, n)) {
			p.Shares = append(p.Shares, c)
		}
	}
	slices.SortStableFunc(p.Shares, func(a, b ShareChange) int { return cmp.Compare(a.Kind, b.Kind) })
	return p
}

func isCustomer(c *declarer.Configuration, name string) bool {
	_, ok := c.Customers[name]
	return ok
}

// servesWithoutCustomer reports whether the database has callers without a customer.
func servesWithoutCustomer(c *declarer.Configuration, database string) bool {
	r, ok := c.Routes[database]
	return ok && (c.Customers == nil || r.Anonymous)
}

// unmatched returns the names of customers and routes in the operators' requests that match nothing.
func unmatched(c *declarer.Configuration) []UnmatchedName {
	customers, routes := make(map[string]bool), make(map[string]bool)
	for n := range c.Customers {
		customers[n] = true
	}
	for _, r := range c.Routes {
		routes[r.Name] = true
	}
	l := []UnmatchedName{}
	for _, n := range unionOfKeys(c.Operations.HeldCustomers, nil) {
		if !customers[n] {
			l = append(l, UnmatchedName{KindCustomer, n})
		}
	}
	for _, n := range unionOfKeys(c.Operations.ShareFactors, nil) {
		if !customers[n] && !c.Operations.HeldCustomers[n] {
			l = append(l, UnmatchedName{KindCustomer, n})
		}
	}
	for _, n := range unionOfKeys(c.Operations.HeldRoutes, nil) {
		if !routes[n] {
			l = append(l, UnmatchedName{KindRoute, n})
		}
	}
	return l
}

// unionOfKeys returns the keys of both maps, sorted.
func unionOfKeys[V any](a, b map[string]V) []string {
	l := make([]string, 0, len(a)+len(b))
	for k := range a {
		l = append(l, k)
	}
	for k := range b {
		l = append(l, k)
	}
	slices.Sort(l)
	return slices.Compact(l)
}
