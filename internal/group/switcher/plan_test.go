package switcher

import "testing"

// A host that changes its part too early leaves requests to a driver that has seen
// nothing or to a follower that nobody answers; too late or never, it polls in vain
// for as long as it runs.
func TestDecide(t *testing.T) {
	tests := []struct {
		name string
		x    situation
		want plan
	}{
		{name: "serves", x: situation{appointed: true, driving: true, ready: true}, want: plan{drive: true, driving: true}},
		{name: "follows", x: situation{}, want: plan{follow: true}},
		{name: "appointed, driver not ready", x: situation{appointed: true}, want: plan{drive: true, follow: true}},
		{name: "appointed, driver ready", x: situation{appointed: true, ready: true}, want: plan{drive: true, follow: true, driving: true}},
		{name: "no longer appointed, nobody has answered", x: situation{driving: true, ready: true}, want: plan{drive: true, follow: true, driving: true}},
		{name: "no longer appointed, others answer", x: situation{driving: true, ready: true, steady: true}, want: plan{follow: true}},
		{name: "deserted, driver not ready", x: situation{lost: true}, want: plan{drive: true, follow: true}},
		{name: "deserted, driver ready", x: situation{lost: true, ready: true}, want: plan{drive: true, follow: true, driving: true}},
		{name: "deserted until now", x: situation{driving: true, ready: true, steady: true}, want: plan{follow: true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if p := decide(tt.x); p != tt.want {
				t.Errorf("plan %+v, want %+v", p, tt.want)
			}
		})
	}
}
