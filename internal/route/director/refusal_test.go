package director

import (
	"testing"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/group/driver"
)

// A zone is cut off, or a primary is lost, and each caller is refused. Without a
// time to come back their clients ask again at once, and so all through the outage.
func TestRetryAfter(t *testing.T) {
	s := driver.Defaults()
	tests := []struct {
		name string
		err  error
		cut  bool
		want time.Duration
	}{
		{name: "no majority", err: driver.ErrNoMajority, want: s.NoMajorityTimeout},
		{name: "read in a zone that is cut off", err: ErrUnconfirmed, cut: true, want: s.NoMajorityTimeout},
		{name: "no server in a zone that is cut off", err: ErrNoServer, cut: true, want: s.NoMajorityTimeout},
		{name: "no primary", err: driver.ErrNoPrimary, want: s.Observer.IsolationTimeout},
		{name: "no server reaches the mark", err: ErrNoServer, want: s.StatusInterval},
		{name: "retry budget", err: ErrRetryBudget, want: s.StatusInterval},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if d := retryAfter(errors.Trace(tt.err), tt.cut, s); d != tt.want || d == 0 {
				t.Errorf("retry after %v, want %v", d, tt.want)
			}
		})
	}
}
