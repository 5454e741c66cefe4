package director

import (
	"testing"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/group/driver"
)

// Guards against refusals without a retry time: when an availability zone is cut off or a primary
// fails, each caller is refused, and without that time all clients retry at once throughout the
// outage.
func TestRetryAfter(t *testing.T) {
	s := driver.Defaults()
	tests := []struct {
		name       string
		err        error
		noMajority bool
		want       time.Duration
	}{
		{name: "no majority", err: driver.ErrNoMajority, want: s.NoMajorityTimeout},
		{name: "read in a zone that is cut off", err: ErrUnconfirmed, noMajority: true, want: s.NoMajorityTimeout},
		{name: "no server in a zone that is cut off", err: ErrNoServer, noMajority: true, want: s.NoMajorityTimeout},
		{name: "no primary", err: driver.ErrNoPrimary, want: s.Observer.IsolationTimeout},
		{name: "no server covers the mark", err: ErrNoServer, want: s.StatusInterval},
		{name: "retry budget", err: ErrRetryBudget, want: s.StatusInterval},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if d := retryAfter(errors.Trace(tt.err), tt.noMajority, s); d != tt.want || d == 0 {
				t.Errorf("retry after %v, want %v", d, tt.want)
			}
		})
	}
}
