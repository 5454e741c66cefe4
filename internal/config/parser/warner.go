package parser

import (
	"fmt"
	"slices"
	"strconv"

	"github.com/cuminwick/cuminwick/internal/config/declarer"
)

// minimumServers is the smallest group that can lose a server and still
// gather a majority.
const minimumServers = 3

func (c *checker) warn() {
	c.warnGroups()
	c.warnTeams()
	c.warnRules()
}

func (c *checker) warnGroups() {
	for i, g := range c.file.DatabaseGroups {
		k := fmt.Sprintf("database-groups[%d].backend-servers", i)
		if n := len(g.BackendServers); n < minimumServers {
			c.warning(k, fmt.Sprintf("%d backend servers", n), "3 or more, so that writes go on after losing one")
		}
		for j, b := range g.BackendServers {
			c.warnServer(fmt.Sprintf("%s[%d]", k, j), b)
		}
	}
}

func (c *checker) warnServer(key string, b declarer.BackendServer) {
	if b.Slots > b.Connections {
		c.warning(key+".slots", strconv.Itoa(b.Slots), fmt.Sprintf("at most the %d connections", b.Connections))
		return
	}
	if n := b.Slots + b.ReservedConnections; n > b.Connections {
		c.warning(key+".reserved-connections", fmt.Sprintf("%d with the slots", n),
			fmt.Sprintf("at most the %d connections", b.Connections))
	}
}

func (c *checker) warnTeams() {
	for i, t := range c.file.Teams {
		n := c.connections(t)
		if t.RequestLimit > n && n > 0 {
			c.warning(fmt.Sprintf("teams[%d].request-limit", i), strconv.Itoa(t.RequestLimit),
				fmt.Sprintf("at most the %d connections of the team's backend servers", n))
		}
	}
}

// connections adds up the connections of all backend servers that t may reach.
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
		if why := c.matchesNothing(r.Match); why != "" {
			c.warning(k+".match", why, "a match that some request meets")
			continue
		}
		for _, e := range c.file.RoutingRules[:i] {
			if c.shadows(e.Match, r.Match) {
				c.warning(k+".match", fmt.Sprintf("all that it matches is matched by the earlier rule %q", e.Name),
					"the narrower rule first")
				break
			}
		}
	}
}

// matchesNothing says why no request can meet m, empty if one can.
func (c *checker) matchesNothing(m declarer.Match) string {
	if m.DatabaseGroup != "" && m.Service != "" && c.group(m.DatabaseGroup).Service != m.Service {
		return fmt.Sprintf("database group %q isn't of service %q", m.DatabaseGroup, m.Service)
	}
	if m.Role == "" {
		return ""
	}
	t := c.team(m.Role)
	for _, g := range t.DatabaseGroups {
		if c.reaches(m, g) {
			return ""
		}
	}
	return fmt.Sprintf("team %q of role %q may not reach these database groups", t.Name, m.Role)
}

// reaches reports whether m leaves room for requests to database group g.
func (c *checker) reaches(m declarer.Match, g string) bool {
	if m.DatabaseGroup != "" && m.DatabaseGroup != g {
		return false
	}
	return m.Service == "" || c.group(g).Service == m.Service
}

// shadows reports whether every request that meets b also meets a.
func (c *checker) shadows(a, b declarer.Match) bool {
	return c.groupsWithin(a, b) &&
		within(a.Role, b.Role) &&
		within(a.ApplicationName, b.ApplicationName) &&
		within(a.Tag, b.Tag)
}

// groupsWithin reports whether all database groups of b are among those of a.
func (c *checker) groupsWithin(a, b declarer.Match) bool {
	l := c.groups(a)
	for _, g := range c.groups(b) {
		if !slices.Contains(l, g) {
			return false
		}
	}
	return true
}

func (c *checker) groups(m declarer.Match) []string {
	var l []string
	for _, g := range c.file.DatabaseGroups {
		if c.reaches(m, g.Name) {
			l = append(l, g.Name)
		}
	}
	return l
}

func within(a, b string) bool {
	return a == "" || a == b
}
