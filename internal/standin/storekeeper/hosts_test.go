package storekeeper_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/cuminwick/cuminwick/internal/platform/accessor"
	"github.com/cuminwick/cuminwick/internal/standin/storekeeper"
)

// The platform's host list shows changes late. Guards against a stand-in that shows an added or
// removed host before or after the lag that is set.
func TestHostListLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &storekeeper.Store{}
		s.SetHostListLag(10 * time.Second)
		s.SetHost(accessor.Host{Name: "a", State: accessor.HostLive})
		expect := func(n int) {
			t.Helper()
			l, err := s.Hosts(t.Context())
			if err != nil || len(l) != n {
				t.Errorf("got hosts %v, error %v, want %d hosts", l, err, n)
			}
		}
		expect(0)
		time.Sleep(10 * time.Second)
		expect(1)
		s.RemoveHost("a")
		expect(1)
		time.Sleep(10 * time.Second)
		expect(0)
	})
}
