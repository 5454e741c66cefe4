package forwarder

import (
	"testing"
	"time"
)

// A timeout that is too long stops writes for a while when a host is killed, because all requests
// wait for its answer. A timeout that is too short makes reads fail although the host is merely
// short of CPU and answers slowly.
func TestTimeoutEstimator(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name    string
		answers []time.Duration
		want    time.Duration
	}{
		{name: "no answers", want: maximumAcceptTimeout},
		{name: "few fast answers", answers: repeat(5*ms, 10), want: 598 * ms},
		{name: "many fast answers", answers: repeat(5*ms, 200), want: minimumAcceptTimeout},
		{name: "one slow answer", answers: append(repeat(5*ms, 200), 120*ms), want: 480 * ms},
		{name: "one very slow answer", answers: append(repeat(5*ms, 200), 400*ms), want: maximumAcceptTimeout},
		{name: "slow answer long ago", answers: append([]time.Duration{400 * ms}, repeat(5*ms, 200)...), want: minimumAcceptTimeout},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := newTimeoutEstimator()
			for _, d := range tt.answers {
				p.observe(d)
			}
			if d := p.timeout().Round(ms); d != tt.want {
				t.Errorf("timeout %v, want %v", d, tt.want)
			}
		})
	}
}

func repeat(d time.Duration, n int) []time.Duration {
	l := make([]time.Duration, n)
	for i := range l {
		l[i] = d
	}
	return l
}
