package parser

import (
	"fmt"
	"strconv"
	"time"

	"github.com/cuminwick/cuminwick/internal/config/declarer"
)

func (c *checker) checkGroups() {
	seen := map[string]string{}
	addresses := map[string]string{}
	for i, g := range c.file.DatabaseGroups {
		k := fmt.Sprintf("database-groups[%d]", i)
		c.unique(seen, k+".name", g.Name)
		servers := map[string]string{}
		for j, b := range g.BackendServers {
			kb := fmt.Sprintf("%s.backend-servers[%d]", k, j)
			c.unique(servers, kb+".name", b.Name)
			c.unique(addresses, kb+".address", b.Address)
			c.checkServer(kb, b)
		}
	}
}

func (c *checker) checkServer(key string, b declarer.BackendServer) {
	for _, k := range []string{key + ".slots", key + ".connections"} {
		if !c.set(k) {
			c.fault(k, "nothing", "a whole number, above zero")
		}
	}
	if b.ReservedConnections < 0 {
		c.fault(key+".reserved-connections", strconv.Itoa(b.ReservedConnections), "a whole number of zero or more")
	}
	if b.Connections > 0 && b.ReservedConnections >= b.Connections {
		c.fault(key+".reserved-connections", strconv.Itoa(b.ReservedConnections),
			fmt.Sprintf("fewer than the %d connections", b.Connections))
	}
}

func (c *checker) checkRules() {
	seen := map[string]string{}
	for i, r := range c.file.RoutingRules {
		k := fmt.Sprintf("routing-rules[%d]", i)
		c.unique(seen, k+".name", r.Name)
		if !c.set(k + ".maximum-age") {
			c.fault(k+".maximum-age", "nothing", "a duration such as 500ms, 30s or 5m, or 0s for the latest")
		}
		c.atLeastZero(k+".maximum-age", r.MaximumAge)
		c.checkMatch(k+".match", r.Match)
	}
}

func (c *checker) checkMatch(key string, m declarer.Match) {
	if m.Service != "" && !c.hasService(m.Service) {
		c.fault(key+".service", strconv.Quote(m.Service), "the service of a database group in this file")
	}
	if m.DatabaseGroup != "" && c.group(m.DatabaseGroup) == nil {
		c.fault(key+".database-group", strconv.Quote(m.DatabaseGroup), "a database group in this file")
	}
	if m.Role != "" && c.team(m.Role) == nil {
		c.fault(key+".role", strconv.Quote(m.Role), "a role of a team in this file")
	}
}

func (c *checker) checkTeams() {
	teams := map[string]string{}
	roles := map[string]string{}
	for i, t := range c.file.Teams {
		k := fmt.Sprintf("teams[%d]", i)
		c.unique(teams, k+".name", t.Name)
		c.notNegative(k+".share", t.Share)
		c.notNegative(k+".request-limit", t.RequestLimit)
		for j, g := range t.DatabaseGroups {
			if c.group(g) == nil {
				c.fault(fmt.Sprintf("%s.database-groups[%d]", k, j), strconv.Quote(g), "a database group in this file")
			}
		}
		for j, r := range t.Roles {
			kr := fmt.Sprintf("%s.roles[%d]", k, j)
			c.unique(roles, kr+".name", r.Name)
			if r.Verifier != "" && !isVerifier(r.Verifier) {
				// The value isn't shown: it may be a password put there by mistake.
				c.fault(kr+".verifier", "something else", "SCRAM-SHA-256$iterations:salt$stored-key:server-key")
			}
		}
	}
}

func (c *checker) checkLimits() {
	l := c.file.Limits
	c.notNegative("limits.queue-length", l.QueueLength)
	c.atLeastZero("limits.request-timeout", l.RequestTimeout)
	c.atLeastZero("limits.idle-in-transaction-timeout", l.IdleInTransactionTimeout)
	c.atLeastZero("limits.outcome-retention", l.OutcomeRetention)
	if l.RetryShare < 0 || l.RetryShare > 1 {
		c.fault("limits.retry-share", strconv.FormatFloat(l.RetryShare, 'g', -1, 64), "a number from 0 to 1")
	}
}

func (c *checker) notNegative(key string, n int) {
	if n < 0 {
		c.fault(key, strconv.Itoa(n), "a whole number of zero or more")
	}
}

func (c *checker) atLeastZero(key string, d time.Duration) {
	if d < 0 {
		c.fault(key, d.String(), "a duration of zero or more")
	}
}

func (c *checker) group(name string) *declarer.DatabaseGroup {
	for i := range c.file.DatabaseGroups {
		if c.file.DatabaseGroups[i].Name == name {
			return &c.file.DatabaseGroups[i]
		}
	}
	return nil
}

func (c *checker) hasService(name string) bool {
	for _, g := range c.file.DatabaseGroups {
		if g.Service == name {
			return true
		}
	}
	return false
}

// team returns the team that has the role.
func (c *checker) team(role string) *declarer.Team {
	for i, t := range c.file.Teams {
		for _, r := range t.Roles {
			if r.Name == role {
				return &c.file.Teams[i]
			}
		}
	}
	return nil
}
