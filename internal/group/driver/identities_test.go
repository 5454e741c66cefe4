package driver

import (
	"slices"
	"testing"
)

// Guards against counting a server of another group towards a majority because it had an instance's
// address before this host's first poll.
func TestIdentities(t *testing.T) {
	type report struct {
		server     string
		identifier uint64
	}
	tests := []struct {
		name       string
		reports    []report
		mismatched []string
	}{
		{name: "all equal", reports: []report{{"a", 7}, {"b", 7}, {"c", 7}}},
		{name: "the first differs", reports: []report{{"a", 8}, {"b", 7}, {"c", 7}}, mismatched: []string{"a"}},
		{name: "the last differs", reports: []report{{"a", 7}, {"b", 7}, {"c", 8}}, mismatched: []string{"c"}},
		{name: "one against one", reports: []report{{"a", 7}, {"c", 8}}, mismatched: []string{"a", "c"}},
		{name: "two differ after a majority has agreed", reports: []report{{"a", 7}, {"b", 7}, {"b", 8}, {"c", 8}}, mismatched: []string{"b", "c"}},
		{name: "the right server is back", reports: []report{{"a", 7}, {"b", 7}, {"c", 8}, {"c", 7}}},
		{name: "none reports an identifier", reports: []report{{"a", 0}, {"b", 0}, {"c", 0}}},
		{name: "one reports no identifier", reports: []report{{"a", 7}, {"b", 7}, {"c", 0}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			x := identities{servers: 3}
			for _, o := range tt.reports {
				x.record(o.server, o.identifier)
			}
			var got []string
			for _, s := range []string{"a", "b", "c"} {
				if x.mismatched(s) {
					got = append(got, s)
				}
			}
			if !slices.Equal(got, tt.mismatched) {
				t.Errorf("mismatched %q, want %q", got, tt.mismatched)
			}
		})
	}
}
