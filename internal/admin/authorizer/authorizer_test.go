package authorizer_test

import (
	"crypto/sha256"
	"encoding/hex"
	"os"
	"path/filepath"
	"testing"

	"github.com/cuminwick/cuminwick/internal/admin/authorizer"
	"github.com/cuminwick/cuminwick/internal/config/declarer"
)

// twoTeams returns a configuration with one database group for each of two teams and one that they
// share.
func twoTeams() declarer.File {
	return declarer.File{
		DatabaseGroups: []declarer.DatabaseGroup{
			{Name: "a", Service: "s", BackendServers: []declarer.BackendServer{{Name: "a1", Slots: 2}}},
			{Name: "b", Service: "s"},
			{Name: "shared", Service: "s"},
		},
		RoutingRules: []declarer.RoutingRule{
			{Name: "ra", Match: declarer.Match{DatabaseGroup: "a"}},
			{Name: "rb", Match: declarer.Match{DatabaseGroup: "b"}},
		},
		Limits: declarer.Limits{QueueLength: 10},
		Teams: []declarer.Team{
			{Name: "ta", Share: 1, DatabaseGroups: []string{"a", "shared"}, Roles: []declarer.Role{{Name: "ua"}}},
			{Name: "tb", Share: 1, DatabaseGroups: []string{"b", "shared"}, Roles: []declarer.Role{{Name: "ub"}}},
		},
	}
}

// The operator of a team must not be able to change what other teams depend on. A check of the new
// file alone would allow it: a change may also extend the team's ownership, such as by a claim of
// another group.
func TestForbiddenChanges(t *testing.T) {
	for _, c := range []struct {
		name    string
		change  func(*declarer.File)
		allowed bool
	}{
		{"nothing", func(*declarer.File) {}, true},
		{"own group", func(f *declarer.File) { f.DatabaseGroups[0].BackendServers[0].Slots = 3 }, true},
		{"own rule", func(f *declarer.File) { f.RoutingRules[0].MaximumAge = 5 }, true},
		{"new rule for own role", func(f *declarer.File) {
			f.RoutingRules = append(f.RoutingRules, declarer.RoutingRule{Name: "n", Match: declarer.Match{Role: "ua"}})
		}, true},
		{"own limit and role", func(f *declarer.File) {
			f.Teams[0].RequestLimit = 9
			f.Teams[0].Roles[0].Verifier = "v"
		}, true},
		{"other group", func(f *declarer.File) { f.DatabaseGroups[1].Service = "x" }, false},
		{"shared group", func(f *declarer.File) { f.DatabaseGroups[2].BackendServers = []declarer.BackendServer{{Name: "x"}} }, false},
		{"removal of own group", func(f *declarer.File) { f.DatabaseGroups = f.DatabaseGroups[1:] }, false},
		{"other rule", func(f *declarer.File) { f.RoutingRules[1].MaximumAge = 5 }, false},
		{"own rule widened to all", func(f *declarer.File) { f.RoutingRules[0].Match = declarer.Match{} }, false},
		{"other team's rule taken over", func(f *declarer.File) { f.RoutingRules[1].Match.DatabaseGroup = "a" }, false},
		{"own share", func(f *declarer.File) { f.Teams[0].Share = 9 }, false},
		{"claim of another group", func(f *declarer.File) { f.Teams[0].DatabaseGroups = []string{"a", "b"} }, false},
		{"limits of all teams", func(f *declarer.File) { f.Limits.QueueLength = 1 }, false},
		{"other team's role", func(f *declarer.File) { f.Teams[1].Roles[0].Verifier = "v" }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := twoTeams()
			c.change(&f)
			l := authorizer.Token{Role: authorizer.TeamOperator, Team: "ta"}.ForbiddenChanges(twoTeams(), f)
			if (len(l) == 0) != c.allowed {
				t.Errorf("forbidden: %v", l)
			}
			if l := (authorizer.Token{Role: authorizer.Administrator}).ForbiddenChanges(twoTeams(), f); len(l) > 0 {
				t.Errorf("forbidden to an administrator: %v", l)
			}
			if l := (authorizer.Token{Role: authorizer.Reader}).ForbiddenChanges(twoTeams(), f); (len(l) == 0) != (c.name == "nothing") {
				t.Errorf("forbidden to a reader: %v", l)
			}
		})
	}
}

// A tokens file may hold a plain token instead of its hash, or a team operator without a team, by
// mistake. Such a file must be refused, and only a listed token may be found.
func TestTokens(t *testing.T) {
	s := sha256.Sum256([]byte("the-token"))
	name := filepath.Join(t.TempDir(), "tokens.yaml")
	write := func(text string) {
		if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("tokens:\n  - name: anna\n    role: team-operator\n    team: ta\n    sha256: " + hex.EncodeToString(s[:]) + "\n")
	l, err := authorizer.Load(name)
	if err != nil {
		t.Fatal(err)
	}
	if x, ok := l.Find("the-token"); !ok || x.Name != "anna" {
		t.Errorf("got %+v, %t", x, ok)
	}
	if _, ok := l.Find("another"); ok {
		t.Error("found a token that isn't in the file")
	}
	if _, ok := l.Find(""); ok {
		t.Error("found an entry for an empty token")
	}
	write("tokens:\n  - name: anna\n    role: team-operator\n    sha256: the-token\n")
	if _, err := authorizer.Load(name); err == nil {
		t.Error("a file with a plain token and without a team was accepted")
	}
}
