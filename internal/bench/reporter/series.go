package reporter

import (
	"time"

	"github.com/cuminwick/cuminwick/internal/bench/checker"
)

// intervalLength is the length of one interval of the plots.
const intervalLength = 250 * time.Millisecond

// Interval holds the measurements of one interval of the run.
type Interval struct {
	From time.Duration
	Ran  int
	// Refused counts all requests that didn't run: refused, cancelled or with an unknown outcome.
	Refused int
	// Writes counts acknowledged writes.
	Writes int
	// P50 and P99 are latency percentiles of the requests that ran and ended in this interval.
	P50, P99 time.Duration
	// PrimaryReads and ReplicaReads count the reads that backend servers executed.
	PrimaryReads, ReplicaReads int64
}

// Sample holds the backend servers' read counters at one time, counted from the start of the run.
type Sample struct {
	At                         time.Duration
	PrimaryReads, ReplicaReads int64
}

// NewSeries divides a run of the given length into intervals.
func NewSeries(l []checker.Request, s []Sample, length time.Duration) ([]Interval, error) {
	n := int(length/intervalLength) + 1
	o := make([]Interval, n)
	latencies := make([][]time.Duration, n)
	for i := range o {
		o[i].From = time.Duration(i) * intervalLength
	}
	for i := range l {
		r := &l[i]
		k := min(max(int(r.End/intervalLength), 0), n-1)
		if r.Outcome != checker.Ran {
			o[k].Refused++
			continue
		}
		o[k].Ran++
		if r.Kind.Writes() {
			o[k].Writes++
		}
		latencies[k] = append(latencies[k], r.End-r.Start)
	}
	for i := range o {
		if err := o[i].setPercentiles(latencies[i]); err != nil {
			return nil, err
		}
	}
	addReads(o, s)
	return o, nil
}

func (o *Interval) setPercentiles(l []time.Duration) error {
	h := NewHistogram()
	for _, d := range l {
		if err := Record(h, d); err != nil {
			return err
		}
	}
	o.P50 = time.Duration(h.ValueAtQuantile(50)) * time.Microsecond
	o.P99 = time.Duration(h.ValueAtQuantile(99)) * time.Microsecond
	return nil
}

// addReads adds the difference between two successive samples to the interval of the later one.
func addReads(o []Interval, s []Sample) {
	for i := 1; i < len(s); i++ {
		k := min(int(s[i].At/intervalLength), len(o)-1)
		o[k].PrimaryReads += s[i].PrimaryReads - s[i-1].PrimaryReads
		o[k].ReplicaReads += s[i].ReplicaReads - s[i-1].ReplicaReads
	}
}
