package forwarder

import "time"

const (
	// minimumPatience covers a round trip to the other region many times over.
	minimumPatience = 300 * time.Millisecond
	// maximumPatience is the time that an attempt to connect may take.
	maximumPatience = 700 * time.Millisecond
	// patienceFactor is how many times longer than its slowest answer of late a
	// host may take.
	patienceFactor = 4
	// decay is the part of the slowest answer that is forgotten with each answer.
	decay = 64
)

// patience decides how long a host may take to answer before it counts as gone.
//
// One time for all hosts is wrong either way: a long one has all callers wait
// when a host is killed, a short one takes a host that is short of processors for
// gone, and reads that it was given fail. So a host that has answered slowly of
// late, or hasn't answered often yet, gets more time.
type patience struct {
	slowest time.Duration
}

// newPatience returns that of a host of which nothing is known.
func newPatience() *patience {
	return &patience{slowest: maximumPatience / patienceFactor}
}

// limit returns how long to wait for the next answer.
func (p *patience) limit() time.Duration {
	return min(max(minimumPatience, patienceFactor*p.slowest), maximumPatience)
}

// answered notes an answer that took d.
func (p *patience) answered(d time.Duration) {
	p.slowest -= p.slowest / decay
	p.slowest = max(p.slowest, d)
}
