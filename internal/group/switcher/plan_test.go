package switcher

import "testing"

// A host that changes its part too early passes requests to a driver that has not observed the
// servers yet, or to a follower that no serving host answers. A host that changes it too late,
// or not at all, keeps polling the servers needlessly.
func TestDecide(t *testing.T) {
	tests := []struct {
		name string
		x    state
		want plan
	}{
		{name: "serves", x: state{appointed: true, useDriver: true, driverReady: true}, want: plan{runDriver: true, useDriver: true}},
		{name: "follows", x: state{}, want: plan{runFollower: true}},
		{name: "appointed, driver not ready", x: state{appointed: true}, want: plan{runDriver: true, runFollower: true}},
		{name: "appointed, driver ready", x: state{appointed: true, driverReady: true}, want: plan{runDriver: true, runFollower: true, useDriver: true}},
		{name: "no longer appointed, no serving host has answered", x: state{useDriver: true, driverReady: true}, want: plan{runDriver: true, runFollower: true, useDriver: true}},
		{name: "no longer appointed, serving hosts answer", x: state{useDriver: true, driverReady: true, followerStable: true}, want: plan{runFollower: true}},
		{name: "serving hosts unreachable, driver not ready", x: state{hostsUnreachable: true}, want: plan{runDriver: true, runFollower: true}},
		{name: "serving hosts unreachable, driver ready", x: state{hostsUnreachable: true, driverReady: true}, want: plan{runDriver: true, runFollower: true, useDriver: true}},
		{name: "serving hosts reachable again", x: state{useDriver: true, driverReady: true, followerStable: true}, want: plan{runFollower: true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if p := decide(tt.x); p != tt.want {
				t.Errorf("plan %+v, want %+v", p, tt.want)
			}
		})
	}
}
