package reporter

import (
	"time"

	"github.com/cuminwick/cuminwick/internal/bench/checker"
)

// intervalLength is the width of one step of the plots.
const intervalLength = 250 * time.Millisecond

// Interval is what happened in one step of the run.
type Interval struct {
	From    time.Duration
	Ran     int
	Refused int
	// Writes are acknowledged ones.
	Writes int
	// P50 and P99 are of the requests that ended here and ran.
	P50, P99 time.Duration
	// PrimaryReads and ReplicaReads are what backend servers worked on.
	PrimaryReads, ReplicaReads int64
}

// Sample is a sight of the backend servers' counters.
type Sample struct {
	At                         time.Duration
	PrimaryReads, ReplicaReads int64
}

// NewSeries cuts a run into intervals.
func NewSeries(l []checker.Request, s []Sample, length time.Duration) ([]Interval, error) {
	n := int(length/intervalLength) + 1
	o := make([]Interval, n)
	byStep := make([][]time.Duration, n)
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
		byStep[k] = append(byStep[k], r.End-r.Start)
	}
	for i := range o {
		if err := o[i].percentiles(byStep[i]); err != nil {
			return nil, err
		}
	}
	addReads(o, s)
	return o, nil
}

func (o *Interval) percentiles(l []time.Duration) error {
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

// addReads spreads the growth between two samples onto the interval where it ended.
func addReads(o []Interval, s []Sample) {
	for i := 1; i < len(s); i++ {
		k := min(int(s[i].At/intervalLength), len(o)-1)
		o[k].PrimaryReads += s[i].PrimaryReads - s[i-1].PrimaryReads
		o[k].ReplicaReads += s[i].ReplicaReads - s[i-1].ReplicaReads
	}
}
