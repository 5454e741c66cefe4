// Package concealer keeps verifiers out of what people read of a configuration.
package concealer

import (
	"slices"

	"github.com/cuminwick/cuminwick/internal/config/declarer"
)

// Hidden stands for a verifier that isn't shown. In a file that is applied it
// means the verifier that the role has already.
const Hidden = "hidden"

// Hide returns f with all verifiers hidden.
func Hide(f declarer.File) declarer.File {
	return replace(f, func(string, declarer.Role) string { return Hidden })
}

// Restore returns f with hidden verifiers taken from base; those that base
// doesn't have stay hidden.
func Restore(f, base declarer.File) declarer.File {
	return replace(f, func(team string, r declarer.Role) string {
		if r.Verifier != Hidden {
			return r.Verifier
		}
		return find(base, team, r.Name)
	})
}

// find returns the verifier of a role of the same team. Were it looked for in
// all teams, a team could take over another one's role with its password.
func find(f declarer.File, team, role string) string {
	for _, t := range f.Teams {
		for _, r := range t.Roles {
			if t.Name == team && r.Name == role {
				return r.Verifier
			}
		}
	}
	return Hidden
}

func replace(f declarer.File, verifier func(team string, r declarer.Role) string) declarer.File {
	f.Teams = slices.Clone(f.Teams)
	for i := range f.Teams {
		t := &f.Teams[i]
		t.Roles = slices.Clone(t.Roles)
		for j := range t.Roles {
			t.Roles[j].Verifier = verifier(t.Name, t.Roles[j])
		}
	}
	return f
}
