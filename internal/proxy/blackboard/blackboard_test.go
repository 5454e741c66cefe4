package blackboard

import (
	"testing"

	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

// A host reads the configuration from one place after the other, and one of them is
// behind. A route that was dropped would be served again.
func TestConfigurationNeverGoesBack(t *testing.T) {
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
