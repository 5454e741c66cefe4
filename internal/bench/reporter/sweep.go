package reporter

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"github.com/juju/errors"
)

// Spread holds the median and the worst value of a measurement over several seeds.
type Spread struct {
	Median float64 `json:"median"`
	Worst  float64 `json:"worst"`
}

// Sweep holds the runs of one scenario with several seeds.
type Sweep struct {
	Scenario           string `json:"scenario"`
	Deployment         string `json:"deployment"`
	Policy             string `json:"policy"`
	Seeds              int    `json:"seeds"`
	FailoverGapSeconds Spread `json:"failover-gap-seconds"`
	ReplicaReadShare   Spread `json:"replica-read-share"`
	// Violations is the total number of violations in all runs.
	Violations      int64     `json:"violations"`
	UnsettledGroups int       `json:"unsettled-groups"`
	Runs            []*Result `json:"runs"`
}

// NewSweep summarises the runs of one scenario. l must not be empty.
func NewSweep(l []*Result) *Sweep {
	s := &Sweep{Scenario: l[0].Scenario, Deployment: l[0].Deployment, Policy: l[0].Policy, Seeds: len(l), Runs: l}
	var gaps, shares []float64
	for _, r := range l {
		gaps = append(gaps, r.FailoverGapSeconds)
		shares = append(shares, r.ReplicaReadShare)
		s.Violations += r.Violations.Total()
		s.UnsettledGroups += r.UnsettledGroups
	}
	s.FailoverGapSeconds = Spread{Median: median(gaps), Worst: slices.Max(gaps)}
	s.ReplicaReadShare = Spread{Median: median(shares), Worst: slices.Min(shares)}
	return s
}

func median(l []float64) float64 {
	l = slices.Sorted(slices.Values(l))
	m := len(l) / 2
	if len(l)%2 == 1 {
		return l[m]
	}
	return (l[m-1] + l[m]) / 2
}

// Failed reports whether any run violated a guarantee or left a group unsettled.
func (s *Sweep) Failed() bool {
	return s.Violations > 0 || s.UnsettledGroups > 0
}

// WriteJSON writes the sweep as indented JSON.
func (s *Sweep) WriteJSON(w io.Writer) error {
	return errors.Annotate(writeJSON(w, s), "write sweep")
}

// WriteTable writes the sweep as a table with one row per seed.
func (s *Sweep) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	row := func(format string, args ...any) { _, _ = fmt.Fprintf(t, format, args...) }
	row("SEED\tREQUESTS\tRAN\tGAP S\tREPLICA READS\tP50 MS\tP99 MS\tVIOLATIONS\tUNSETTLED\n")
	for _, r := range s.Runs {
		row("%d\t%d\t%d\t%.3f\t%.1f %%\t%.1f\t%.1f\t%d\t%d\n", r.Seed, r.Requests, r.Outcomes.Ran, r.FailoverGapSeconds,
			100*r.ReplicaReadShare, r.LatencyMilliseconds.P50, r.LatencyMilliseconds.P99, r.Violations.Total(), r.UnsettledGroups)
	}
	row("median\t\t\t%.3f\t%.1f %%\t\t\t%d\t%d\n", s.FailoverGapSeconds.Median, 100*s.ReplicaReadShare.Median, s.Violations, s.UnsettledGroups)
	row("worst\t\t\t%.3f\t%.1f %%\n", s.FailoverGapSeconds.Worst, 100*s.ReplicaReadShare.Worst)
	for _, r := range s.Runs {
		for _, e := range r.Examples {
			row("seed %d\t%s\n", r.Seed, e)
		}
	}
	return errors.Annotate(t.Flush(), "write sweep")
}
