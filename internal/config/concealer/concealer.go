// Package concealer hides verifiers in configurations that are shown to people.
package concealer

import (
	"slices"

	"github.com/cuminwick/cuminwick/internal/config/declarer"
)

// Hidden replaces a verifier that isn't shown. In a file that is applied it stands for the
// verifier that the role has in the configuration in force.
const Hidden = "hidden"

// Hide returns f with all verifiers replaced by Hidden.
func Hide(f declarer.File) declarer.File {
	return replaceVerifiers(f, func(string, declarer.Role) string { return Hidden })
}

// Restore returns f with hidden verifiers taken from base; those of roles that base doesn't
// have stay hidden.
func Restore(f, base declarer.File) declarer.File {
	return replaceVerifiers(f, func(team string, r declarer.Role) string {
		if r.Verifier != Hidden {
			return r.Verifier
		}
		return findVerifier(base, team, r.Name)
	})
}

// findVerifier returns the verifier of the role in the given team of f, Hidden if there is
// none. It doesn't search other teams, because a team could otherwise take over a role of
// another team with its password.
func findVerifier(f declarer.File, team, role string) string {
	for _, t := range f.Teams {
		for _, r := range t.Roles {
			if t.Name == team && r.Name == role {
				return r.Verifier
			}
		}
	}
	return Hidden
}

// replaceVerifiers returns a copy of f with the verifiers that verifier returns.
func replaceVerifiers(f declarer.File, verifier func(team string, r declarer.Role) string) declarer.File {
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
