package matcher

import (
	"testing"
	"time"

	"github.com/cuminwick/cuminwick/internal/config/declarer"
)

func TestMatch(t *testing.T) {
	m := Compile(declarer.File{
		DatabaseGroups: []declarer.DatabaseGroup{
			{Name: "kalkul-1", Service: "kalkul-db"},
			{Name: "records-1", Service: "helpline-records"},
		},
		RoutingRules: []declarer.RoutingRule{
			{Name: "report", Match: declarer.Match{Tag: "report"}},
			{Name: "partner", Match: declarer.Match{Service: "kalkul-db", Role: "partner", ApplicationName: "query"}},
			{Name: "group", Match: declarer.Match{DatabaseGroup: "kalkul-1", Role: "reviewer"}},
			{Name: "service", Match: declarer.Match{Service: "helpline-records"}},
		},
	})
	tests := []struct {
		name string
		q    Request
		want string
	}{
		{name: "by tag before later rules", q: Request{DatabaseGroup: "records-1", Tag: "report"}, want: "report"},
		{name: "all fields must match", q: Request{DatabaseGroup: "kalkul-1", Role: "partner"}},
		{name: "by role and application name", q: Request{DatabaseGroup: "kalkul-1", Role: "partner", ApplicationName: "query"}, want: "partner"},
		{name: "by group", q: Request{DatabaseGroup: "kalkul-1", Role: "reviewer"}, want: "group"},
		{name: "by service", q: Request{DatabaseGroup: "records-1", Role: "reviewer"}, want: "service"},
		{name: "unknown group", q: Request{DatabaseGroup: "other", Tag: "report"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := ""
			if r := m.Match(tt.q); r != nil {
				got = r.Name
			}
			if got != tt.want {
				t.Errorf("rule %q, want %q", got, tt.want)
			}
		})
	}
}

func TestAllowedAge(t *testing.T) {
	r := &declarer.RoutingRule{MaximumAge: 5 * time.Second}
	tests := []struct {
		name        string
		r           *declarer.RoutingRule
		requested   time.Duration
		isRequested bool
		want        time.Duration
	}{
		{name: "no rule", requested: time.Hour, isRequested: true},
		{name: "rule alone", r: r, want: 5 * time.Second},
		{name: "caller requests a lower age", r: r, requested: time.Second, isRequested: true, want: time.Second},
		{name: "caller requests a higher age", r: r, requested: time.Hour, isRequested: true, want: 5 * time.Second},
		{name: "caller requests the latest data", r: r, isRequested: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, ok := AllowedAge(tt.r, tt.requested, tt.isRequested)
			if got != tt.want || ok != (tt.want > 0) {
				t.Errorf("age %v, %t, want %v", got, ok, tt.want)
			}
		})
	}
}
