package driver

import (
	"slices"
	"testing"
)

// Guards against a server of another group that counts towards a majority since it had the
// address before this host's first question.
func TestIdentities(t *testing.T) {
	type told struct {
		server     string
		identifier uint64
	}
	tests := []struct {
		name      string
		told      []told
		strangers []string
	}{
		{name: "all alike", told: []told{{"a", 7}, {"b", 7}, {"c", 7}}},
		{name: "the first is a stranger", told: []told{{"a", 8}, {"b", 7}, {"c", 7}}, strangers: []string{"a"}},
		{name: "the last is a stranger", told: []told{{"a", 7}, {"b", 7}, {"c", 8}}, strangers: []string{"c"}},
		{name: "one against one", told: []told{{"a", 7}, {"c", 8}}, strangers: []string{"a", "c"}},
		{name: "strangers after the group agreed", told: []told{{"a", 7}, {"b", 7}, {"b", 8}, {"c", 8}}, strangers: []string{"b", "c"}},
		{name: "back again", told: []told{{"a", 7}, {"b", 7}, {"c", 8}, {"c", 7}}},
		{name: "none told", told: []told{{"a", 0}, {"b", 0}, {"c", 0}}},
		{name: "one tells none", told: []told{{"a", 7}, {"b", 7}, {"c", 0}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			x := identities{servers: 3}
			for _, o := range tt.told {
				x.note(o.server, o.identifier)
			}
			var got []string
			for _, s := range []string{"a", "b", "c"} {
				if x.stranger(s) {
					got = append(got, s)
				}
			}
			if !slices.Equal(got, tt.strangers) {
				t.Errorf("strangers %q, want %q", got, tt.strangers)
			}
		})
	}
}
