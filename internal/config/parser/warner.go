package parser

import (
	"fmt"
	"slices"
	"strconv"

	"github.com/cuminwick/cuminwick/internal/config/declarer"
)

// minimumBackendServers is the size of the smallest group that still has a majority after
// losing one server.
const minimumBackendServers = 3

func (c *checker) warn() {
	c.warnGroups()
	c.warnTeams()
	c.warnRules()
}

func (c *checker) warnGroups() {
	for i, g := range c.file.DatabaseGroups {
		k := fmt.Sprintf("database-groups[%d].backend-servers", i)
		if n := len(g.BackendServers); n < minimumBackendServers {
			c.addWarning(k, fmt.Sprintf("%d backend servers", n), "3 or more, so that writes go on after losing one")
		}
		for j, b := range g.BackendServers {
			c.warnServer(fmt.Sprintf("%s[%d]", k, j), b)
		}
	}
}

func (c *checker) warnServer(key string, b declarer.BackendServer) {
	if b.Slots > b.Connections {
		c.addWarning(key+".slots", strconv.Itoa(b.Slots), fmt.Sprintf("at most the %d connections", b.Connections))
		return
	}
	if n := b.Slots + b.ReservedConnections; n > b.Connections {
		c.addWarning(key+".reserved-connections", fmt.Sprintf("%d with the slots", n),
			fmt.Sprintf("at most the %d connections", b.Connections))
	}
}

func (c *checker) warnTeams() {
	for i, t := range c.file.Teams {
		n := c.connections(t)
		if t.RequestLimit > n && n > 0 {
			c.addWarning(fmt.Sprintf("teams[%d].request-limit", i), strconv.Itoa(t.RequestLimit),
				fmt.Sprintf("at most the %d connections of the team's backend servers", n))
		}
	}
}

// connections returns the sum of the connections of all backend servers that t may reach.
func (c *checker) connections(t declarer.Team) int {
	n := 0
	for _, g := range t.DatabaseGroups {
		for _, b := range c.group(g).BackendServers {
			n += b.Connections
		}
	}
	return n
}

func (c *checker) warnRules() {
	for i, r := range c.file.RoutingRules {
		k := fmt.Sprintf("routing-rules[%d]", i)
		if reason := c.unmatchableReason(r.Match); reason != "" {
			c.addWarning(k+".match", reason, "a match that some request meets")
			continue
		}
		for _, e := range c.file.RoutingRules[:i] {
			if c.covers(e.Match, r.Match) {
				c.addWarning(k+".match", fmt.Sprintf("all that it matches is matched by the earlier rule %q", e.Name),
					"the narrower rule first")
				break
			}
		}
	}
}

// unmatchableReason returns why no request can match m, empty if one can.
func (c *checker) unmatchableReason(m declarer.Match) string {
	if m.DatabaseGroup != "" && m.Service != "" && c.group(m.DatabaseGroup).Service != m.Service {
		return fmt.Sprintf("database group %q isn't of service %q", m.DatabaseGroup, m.Service)
	}
	if m.Role == "" {
		return ""
	}
	t := c.teamOfRole(m.Role)
	for _, g := range t.DatabaseGroups {
		if c.matchesGroup(m, g) {
			return ""
		}
	}
	return fmt.Sprintf("team %q of role %q may not reach these database groups", t.Name, m.Role)
}

// matchesGroup reports whether requests to database group g can match m.
func (c *checker) matchesGroup(m declarer.Match, g string) bool {
	if m.DatabaseGroup != "" && m.DatabaseGroup != g {
		return false
	}
	return m.Service == "" || c.group(g).Service == m.Service
}

// covers reports whether every request that matches b also matches a.
func (c *checker) covers(a, b declarer.Match) bool {
	return c.coversGroups(a, b) &&
		coversValue(a.Role, b.Role) &&
		coversValue(a.ApplicationName, b.ApplicationName) &&
		coversValue(a.Tag, b.Tag)
}

// coversGroups reports whether all database groups of b are among those of a.
func (c *checker) coversGroups(a, b declarer.Match) bool {
	l := c.matchedGroups(a)
	for _, g := range c.matchedGroups(b) {
		if !slices.Contains(l, g) {
			return false
		}
	}
	return true
}

// matchedGroups returns the names of the database groups whose requests can match m.
func (c *checker) matchedGroups(m declarer.Match) []string {
	var l []string
	for _, g := range c.file.DatabaseGroups {
		if c.matchesGroup(m, g.Name) {
			l = append(l, g.Name)
		}
	}
	return l
}

// coversValue reports whether field a of a match accepts every value that field b accepts;
// an empty field accepts all.
func coversValue(a, b string) bool {
	return a == "" || a == b
}
