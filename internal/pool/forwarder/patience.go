package forwarder

import "time"

const (
	// minimumAcceptTimeout is many times a round trip to the other region.
	minimumAcceptTimeout = 300 * time.Millisecond
	// maximumAcceptTimeout is as long as an attempt to connect may take.
	maximumAcceptTimeout = 700 * time.Millisecond
	// timeoutFactor is the ratio of a host's timeout to its slowest recent answer.
	timeoutFactor = 4
	// slowestDecayDivisor is the divisor of the slowest recent answer that gives its decay per
	// answer.
	slowestDecayDivisor = 64
)

// timeoutEstimator estimates how long a host may take to answer before it is considered
// unavailable.
//
// One timeout for all hosts doesn't work. With a long one, all callers wait when a host is killed.
// With a short one, a host that is short of CPU is considered unavailable, and the reads that were
// sent to it fail. So a host that recently answered slowly, or hasn't answered often yet, gets a
// longer timeout.
type timeoutEstimator struct {
	// slowest is the decaying maximum of the response times.
	slowest time.Duration
}

// newTimeoutEstimator returns an estimator without answers. Its timeout is maximumAcceptTimeout.
func newTimeoutEstimator() *timeoutEstimator {
	return &timeoutEstimator{slowest: maximumAcceptTimeout / timeoutFactor}
}

// timeout returns the timeout for the next answer.
func (p *timeoutEstimator) timeout() time.Duration {
	return min(max(minimumAcceptTimeout, timeoutFactor*p.slowest), maximumAcceptTimeout)
}

// observe records an answer that took d.
func (p *timeoutEstimator) observe(d time.Duration) {
	p.slowest -= p.slowest / slowestDecayDivisor
	p.slowest = max(p.slowest, d)
}
