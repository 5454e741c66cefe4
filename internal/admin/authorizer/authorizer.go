// Package authorizer decides what the holder of a token may do through the administration API.
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

// Role is what a token allows.
type Role string

// Roles of a token.
const (
	// Administrator may do everything.
	Administrator Role = "administrator"
	// TeamOperator may change what belongs to its team alone.
	TeamOperator Role = "team-operator"
	// Reader may only read.
	Reader Role = "reader"
)

// Token is one line of the tokens file. The file holds no token itself, only
// what a token hashes to.
type Token struct {
	Name string `yaml:"name" check:"required"`
	Role Role   `yaml:"role" check:"required,oneof=administrator|team-operator|reader"`
	// Team is the team of a team operator.
	Team string `yaml:"team"`
	// SHA256 is the hash of the token in hex digits. Tokens are long and random,
	// so that a plain hash suffices.
	SHA256 string `yaml:"sha256" check:"required"`
}

// Tokens is the tokens file.
type Tokens struct {
	Tokens []Token `yaml:"tokens" check:"required"`
}

// Load reads the tokens file; a fault never shows a hash.
func Load(name string) (Tokens, error) {
	b, err := os.ReadFile(name)
	if err != nil {
		return Tokens{}, errors.Annotate(err, "read tokens file")
	}
	var t Tokens
	l, f := decoder.Decode(name, b, &t)
	for i, x := range t.Tokens {
		f = append(f, check(name, l, i, x)...)
	}
	if len(f) > 0 {
		return Tokens{}, f
	}
	return t, nil
}

func check(name string, l decoder.Lines, i int, t Token) decoder.Faults {
	var f decoder.Faults
	k := fmt.Sprintf("tokens[%d]", i)
	at := l["tokens"]
	if b, err := hex.DecodeString(t.SHA256); t.SHA256 != "" && (err != nil || len(b) != sha256.Size) {
		f = append(f, decoder.Fault{File: name, Line: at, Key: k + ".sha256", Found: "something else", Expected: "64 hex digits"})
	}
	if (t.Role == TeamOperator) != (t.Team != "") {
		f = append(f, decoder.Fault{File: name, Line: at, Key: k + ".team", Found: "team " + t.Team, Expected: "a team for a team-operator and only there"})
	}
	return f
}

// Find returns the entry of a token that a client has shown.
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

// MayChange reports whether the token allows changes at all.
func (t Token) MayChange() bool {
	return t.Role == Administrator || t.Role == TeamOperator
}

// ForbiddenChanges returns what changes from a to b that t doesn't allow. What a team
// owns is read from a, so that no change can widen its own bounds.
func (t Token) ForbiddenChanges(a, b declarer.File) []differ.Change {
	switch t.Role {
	case Administrator:
		return nil
	case TeamOperator:
		o := owned(a, t.Team)
		return differ.Diff(o.strip(a), o.strip(b))
	}
	return differ.Diff(a, b)
}

// ownership is what belongs to one team alone.
type ownership struct {
	team   string
	groups []string
	roles  []string
}

func owned(f declarer.File, team string) ownership {
	o := ownership{team: team}
	shared := map[string]int{}
	for _, t := range f.Teams {
		for _, g := range t.DatabaseGroups {
			shared[g]++
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
			if shared[g] == 1 {
				o.groups = append(o.groups, g)
			}
		}
	}
	return o
}

// strip returns f without what the team may change.
func (o ownership) strip(f declarer.File) declarer.File {
	f.DatabaseGroups = slices.Clone(f.DatabaseGroups)
	for i, g := range f.DatabaseGroups {
		if slices.Contains(o.groups, g.Name) {
			// The group stays, and with it its name, service and owner.
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
