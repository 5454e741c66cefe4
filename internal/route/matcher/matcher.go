// Package matcher finds the routing rule for a request.
package matcher

import (
	"time"

	"github.com/cuminwick/cuminwick/internal/config/declarer"
)

// Request is what routing rules look at.
type Request struct {
	DatabaseGroup   string
	Role            string
	ApplicationName string
	Tag             string
}

// Matcher holds the rules of one configuration, sorted out by database group.
// It isn't changed after Compile and may be used by many goroutines.
type Matcher struct {
	groups map[string][]*declarer.RoutingRule
}

// Compile prepares the rules of f. The service of a group is known from f, so
// only the rules that can match a group are looked at for its requests.
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

func matches(want, have string) bool {
	return want == "" || want == have
}

// AllowedAge returns how old the data may be under rule r, nil for none, and
// false if it must be the latest. A caller's own maximum-age only tightens the
// rule: what may be stale is the operators' choice.
func AllowedAge(r *declarer.RoutingRule, asked time.Duration, isAsked bool) (time.Duration, bool) {
	if r == nil {
		return 0, false
	}
	a := r.MaximumAge
	if isAsked {
		a = min(a, asked)
	}
	return a, a > 0
}
