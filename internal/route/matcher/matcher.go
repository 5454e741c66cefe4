// Package matcher finds the routing rule that applies to a request.
package matcher

import (
	"time"

	"github.com/cuminwick/cuminwick/internal/config/declarer"
)

// Request holds the properties of a request that routing rules match on.
type Request struct {
	DatabaseGroup   string
	Role            string
	ApplicationName string
	Tag             string
}

// Matcher holds the routing rules of one configuration by database group. It is immutable after Compile
// and safe for concurrent use.
type Matcher struct {
	groups map[string][]*declarer.RoutingRule
}

// Compile returns a Matcher for the routing rules of f. It assigns to each database group the rules
// that can match it by group and service, so that Match checks only those.
func Compile(f declarer.File) *Matcher {
	m := &Matcher{groups: make(map[string][]*declarer.RoutingRule, len(f.DatabaseGroups))}
	for _, g := range f.DatabaseGroups {
		for i := range f.RoutingRules {
			r := &f.RoutingRules[i]
			if matches(r.Match.Service, g.Service) && matches(r.Match.DatabaseGroup, g.Name) {
				m.groups[g.Name] = append(m.groups[g.Name], r)
			}
		}
	}
	return m
}

// Match returns the first rule that matches q, nil if none does.
func (m *Matcher) Match(q Request) *declarer.RoutingRule {
	for _, r := range m.groups[q.DatabaseGroup] {
		k := &r.Match
		if matches(k.Role, q.Role) && matches(k.ApplicationName, q.ApplicationName) && matches(k.Tag, q.Tag) {
			return r
		}
	}
	return nil
}

// matches reports whether have matches want; an empty want matches any value.
func matches(want, have string) bool {
	return want == "" || want == have
}

// AllowedAge returns the maximum age of the data under rule r, which may be nil, and false if no stale
// data is allowed. requested is the caller's own maximum-age, valid if isRequested is set. It can only
// lower the limit of the rule, as operators decide which data may be stale.
func AllowedAge(r *declarer.RoutingRule, requested time.Duration, isRequested bool) (time.Duration, bool) {
	if r == nil {
		return 0, false
	}
	a := r.MaximumAge
	if isRequested {
		a = min(a, requested)
	}
	return a, a > 0
}
