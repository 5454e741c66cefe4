// Package authorizer decides which operations of the administration API a token allows.
package authorizer

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/config/declarer"
	"github.com/cuminwick/cuminwick/internal/config/differ"
	"github.com/cuminwick/cuminwick/internal/settings/decoder"
)

// Role is the set of operations that a token allows.
type Role string

// Roles of a token.
const (
	// Administrator may use every operation and change everything.
	Administrator Role = "administrator"
	// TeamOperator may change only the configuration that belongs to its team alone. It may
	// move primaries and settle requests in all database groups of its team.
	TeamOperator Role = "team-operator"
	// Reader may read but change nothing.
	Reader Role = "reader"
)

// Token is one entry of the tokens file. The file holds only the hashes of tokens, never the tokens
// themselves.
type Token struct {
	// Name identifies the holder of the token in logs and in the history of revisions.
	Name string `yaml:"name" check:"required"`
	Role Role   `yaml:"role" check:"required,oneof=administrator|team-operator|reader"`
	// Team is the name of the TeamOperator's team, empty for the other roles.
	Team string `yaml:"team"`
	// SHA256 is the SHA-256 hash of the token in hex digits. Tokens are long and random, so a
	// plain hash suffices.
	SHA256 string `yaml:"sha256" check:"required"`
}

// Tokens is the content of the tokens file.
type Tokens struct {
	Tokens []Token `yaml:"tokens" check:"required"`
}

// Load reads and checks the tokens file. If its content is invalid, the error is of type
// decoder.Faults. A fault never shows a hash.
func Load(name string) (Tokens, error) {
	b, err := os.ReadFile(name)
	if err != nil {
		return Tokens{}, errors.Annotate(err, "read tokens file")
	}
	var t Tokens
	l, f := decoder.Decode(name, b, &t)
	for i, x := range t.Tokens {
		f = append(f, checkToken(name, l, i, x)...)
	}
	if len(f) > 0 {
		return Tokens{}, f
	}
	return t, nil
}

// checkToken checks the token with index i for what its check tags can't express. All faults state
// the line of the list.
func checkToken(name string, l decoder.Lines, i int, t Token) decoder.Faults {
	var f decoder.Faults
	k := fmt.Sprintf("tokens[%d]", i)
	line := l["tokens"]
	if b, err := hex.DecodeString(t.SHA256); t.SHA256 != "" && (err != nil || len(b) != sha256.Size) {
		f = append(f, decoder.Fault{File: name, Line: line, Key: k + ".sha256", Found: "something else", Expected: "64 hex digits"})
	}
	if (t.Role == TeamOperator) != (t.Team != "") {
		f = append(f, decoder.Fault{File: name, Line: line, Key: k + ".team", Found: "team " + t.Team, Expected: "a team for a team-operator and only there"})
	}
	return f
}

// Find returns the entry of a token that a client has sent, and whether there is one.
func (t Tokens) Find(token string) (Token, bool) {
	s := sha256.Sum256([]byte(token))
	h := []byte(hex.EncodeToString(s[:]))
	for _, x := range t.Tokens {
		if subtle.ConstantTimeCompare(h, []byte(strings.ToLower(x.SHA256))) == 1 {
			return x, true
		}
	}
	return Token{}, false
}

// MayChange reports whether the token allows any change.
func (t Token) MayChange() bool {
	return t.Role == Administrator || t.Role == TeamOperator
}

// ForbiddenChanges returns the changes from a to b that t doesn't allow. What a team owns is read
// from a, so that a change can't extend its own permissions.
func (t Token) ForbiddenChanges(a, b declarer.File) []differ.Change {
	switch t.Role {
	case Administrator:
		return nil
	case TeamOperator:
		o := ownershipOf(a, t.Team)
		return differ.Diff(o.strip(a), o.strip(b))
	}
	return differ.Diff(a, b)
}

// ownership is what belongs to one team alone: its roles, and its database groups that no other
// team has.
type ownership struct {
	team   string
	groups []string
	roles  []string
}

// ownershipOf returns what belongs to the named team alone in f.
func ownershipOf(f declarer.File, team string) ownership {
	o := ownership{team: team}
	teamCounts := map[string]int{}
	for _, t := range f.Teams {
		for _, g := range t.DatabaseGroups {
			teamCounts[g]++
		}
	}
	for _, t := range f.Teams {
		if t.Name != team {
			continue
		}
		for _, r := range t.Roles {
			o.roles = append(o.roles, r.Name)
		}
		for _, g := range t.DatabaseGroups {
			if teamCounts[g] == 1 {
				o.groups = append(o.groups, g)
			}
		}
	}
	return o
}

// strip returns f without what the team may change. Differences between two stripped files are
// changes that the team may not make.
func (o ownership) strip(f declarer.File) declarer.File {
	f.DatabaseGroups = slices.Clone(f.DatabaseGroups)
	for i, g := range f.DatabaseGroups {
		if slices.Contains(o.groups, g.Name) {
			// The team may not remove its group or change the group's name, service or teams.
			f.DatabaseGroups[i] = declarer.DatabaseGroup{Name: g.Name, Service: g.Service}
		}
	}
	f.RoutingRules = slices.DeleteFunc(slices.Clone(f.RoutingRules), func(r declarer.RoutingRule) bool {
		return slices.Contains(o.groups, r.Match.DatabaseGroup) || slices.Contains(o.roles, r.Match.Role)
	})
	f.Teams = slices.Clone(f.Teams)
	for i := range f.Teams {
		if f.Teams[i].Name == o.team {
			f.Teams[i].Roles = nil
			f.Teams[i].RequestLimit = 0
		}
	}
	return f
}
