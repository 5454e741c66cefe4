package forwarder

import (
	"testing"
	"time"
)

// A host is killed and all requests to it wait for an answer first, or it is
// merely short of processors and its answers take long. Callers notice the first
// by a gap without writes, the second by reads that fail though the host is well.
func TestPatience(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name    string
		answers []time.Duration
		want    time.Duration
	}{
		{name: "nothing known", want: maximumPatience},
		{name: "few quick answers", answers: repeat(5*ms, 10), want: 598 * ms},
		{name: "many quick answers", answers: repeat(5*ms, 200), want: minimumPatience},
		{name: "one slow answer", answers: append(repeat(5*ms, 200), 120*ms), want: 480 * ms},
		{name: "one very slow answer", answers: append(repeat(5*ms, 200), 400*ms), want: maximumPatience},
		{name: "slow answer long ago", answers: append([]time.Duration{400 * ms}, repeat(5*ms, 200)...), want: minimumPatience},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := newPatience()
			for _, d := range tt.answers {
				p.answered(d)
			}
			if d := p.limit().Round(ms); d != tt.want {
				t.Errorf("limit %v, want %v", d, tt.want)
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
