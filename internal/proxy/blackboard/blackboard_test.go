package blackboard

import (
	"testing"
	"time"

	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

// Guards against a configuration that reverts to an older version: a host reads it from one
// source after the other, and one of them lags. It would serve a route that was removed.
func TestConfigurationNeverReverts(t *testing.T) {
	b := &Board{}
	for _, s := range []struct {
		version uint64
		want    bool
		now     uint64
	}{{4, true, 4}, {4, false, 4}, {3, false, 4}, {9, true, 9}, {4, false, 9}} {
		if got := b.Configure(&declarer.Configuration{Version: s.version}); got != s.want || b.Configuration().Version != s.now {
			t.Errorf("version %d: taken %v, in force %d; want %v, %d", s.version, got, b.Configuration().Version, s.want, s.now)
		}
	}
}

// Operators must be able to see a host's view of the deployment from outside, and how old it is.
func TestAgesOfState(t *testing.T) {
	now := time.Hour
	b := &Board{Now: func() time.Duration { return now }}
	b.ReplaceServers([]declarer.Server{{ID: "a", Group: "g", Primary: true}, {ID: "b", Group: "h"}})
	if n, d := b.GroupsWithoutPrimary(), b.PositionAge(); n != 1 || d != 0 {
		t.Errorf("%d groups without a primary, age %v", n, d)
	}
	b.Confirm(SectionServers)
	b.RecordLeadership("g", "a", now, marker.Mark{Term: 1, Position: 1})
	now += 3 * time.Second
	b.RecordLeadership("h", "b", now, marker.Mark{Term: 1, Position: 1})
	if d := b.Age(SectionServers); d != 3*time.Second {
		t.Errorf("servers confirmed %v ago", d)
	}
	if n, d := b.GroupsWithoutPrimary(), b.PositionAge(); n != 0 || d != 3*time.Second {
		t.Errorf("%d groups without a primary, age %v", n, d)
	}
}
