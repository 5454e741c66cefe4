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
		c.checkUnique(seen, k+".name", g.Name)
		servers := map[string]string{}
		for j, b := range g.BackendServers {
			kb := fmt.Sprintf("%s.backend-servers[%d]", k, j)
			c.checkUnique(servers, kb+".name", b.Name)
			c.checkUnique(addresses, kb+".address", b.Address)
			c.checkServer(kb, b)
		}
	}
}

func (c *checker) checkServer(key string, b declarer.BackendServer) {
	for _, k := range []string{key + ".slots", key + ".connections"} {
		if !c.isSet(k) {
			c.addFault(k, "nothing", "a whole number, above zero")
		}
	}
	if b.ReservedConnections < 0 {
		c.addFault(key+".reserved-connections", strconv.Itoa(b.ReservedConnections), "a whole number of zero or more")
	}
	if b.Connections > 0 && b.ReservedConnections >= b.Connections {
		c.addFault(key+".reserved-connections", strconv.Itoa(b.ReservedConnections),
			fmt.Sprintf("fewer than the %d connections", b.Connections))
	}
}

func (c *checker) checkRules() {
	seen := map[string]string{}
	for i, r := range c.file.RoutingRules {
		k := fmt.Sprintf("routing-rules[%d]", i)
		c.checkUnique(seen, k+".name", r.Name)
		if !c.isSet(k + ".maximum-age") {
			c.addFault(k+".maximum-age", "nothing", "a duration such as 500ms, 30s or 5m, or 0s for the latest")
		}
		c.checkDurationNotNegative(k+".maximum-age", r.MaximumAge)
		c.checkMatch(k+".match", r.Match)
	}
}

func (c *checker) checkMatch(key string, m declarer.Match) {
	if m.Service != "" && !c.hasService(m.Service) {
		c.addFault(key+".service", strconv.Quote(m.Service), "the service of a database group in this file")
	}
	if m.DatabaseGroup != "" && c.group(m.DatabaseGroup) == nil {
		c.addFault(key+".database-group", strconv.Quote(m.DatabaseGroup), "a database group in this file")
	}
	if m.Role != "" && c.teamOfRole(m.Role) == nil {
		c.addFault(key+".role", strconv.Quote(m.Role), "a role of a team in this file")
	}
}

func (c *checker) checkTeams() {
	teams := map[string]string{}
	roles := map[string]string{}
	for i, t := range c.file.Teams {
		k := fmt.Sprintf("teams[%d]", i)
		c.checkUnique(teams, k+".name", t.Name)
		c.checkNotNegative(k+".share", t.Share)
		c.checkNotNegative(k+".request-limit", t.RequestLimit)
		for j, g := range t.DatabaseGroups {
			if c.group(g) == nil {
				c.addFault(fmt.Sprintf("%s.database-groups[%d]", k, j), strconv.Quote(g), "a database group in this file")
			}
		}
		for j, r := range t.Roles {
			kr := fmt.Sprintf("%s.roles[%d]", k, j)
			c.checkUnique(roles, kr+".name", r.Name)
			if r.Verifier != "" && !isVerifier(r.Verifier) {
				// The fault doesn't show the value: it may be a password entered by mistake.
				c.addFault(kr+".verifier", "something else", "SCRAM-SHA-256$iterations:salt$stored-key:server-key")
			}
		}
	}
}

func (c *checker) checkLimits() {
	l := c.file.Limits
	c.checkNotNegative("limits.queue-length", l.QueueLength)
	c.checkDurationNotNegative("limits.request-timeout", l.RequestTimeout)
	c.checkDurationNotNegative("limits.idle-in-transaction-timeout", l.IdleInTransactionTimeout)
	c.checkDurationNotNegative("limits.outcome-retention", l.OutcomeRetention)
	if l.RetryShare < 0 || l.RetryShare > 1 {
		c.addFault("limits.retry-share", strconv.FormatFloat(l.RetryShare, 'g', -1, 64), "a number from 0 to 1")
	}
}

func (c *checker) checkNotNegative(key string, n int) {
	if n < 0 {
		c.addFault(key, strconv.Itoa(n), "a whole number of zero or more")
	}
}

func (c *checker) checkDurationNotNegative(key string, d time.Duration) {
	if d < 0 {
		c.addFault(key, d.String(), "a duration of zero or more")
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

// teamOfRole returns the team that has the role, nil if none does.
func (c *checker) teamOfRole(role string) *declarer.Team {
	for i, t := range c.file.Teams {
		for _, r := range t.Roles {
			if r.Name == role {
				return &c.file.Teams[i]
			}
		}
	}
	return nil
}
