// Package reporter turns what a bench run brought into a table, JSON and a page with plots.
package reporter

import (
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/bench/checker"
)

// Latency holds percentiles of the requests that ran.
type Latency struct {
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
}

// Outcomes counts what callers were told, or what the outcome of the key was said to
// be where they were told nothing or unknown.
type Outcomes struct {
	Ran       int `json:"ran"`
	NotRun    int `json:"not-run"`
	Unknown   int `json:"unknown"`
	Cancelled int `json:"cancelled"`
}

// Result is one run.
type Result struct {
	Scenario   string `json:"scenario"`
	Deployment string `json:"deployment"`
	Policy     string `json:"policy"`
	Seed       uint64 `json:"seed"`
	// LoadPercent is the load in percent of the slots' capacity.
	LoadPercent float64 `json:"load-percent"`
	// DurationSeconds is how long the load lasted.
	DurationSeconds float64 `json:"duration-seconds"`
	Requests        int     `json:"requests"`
	// Reads is how many reads backend servers worked on.
	Reads            int64   `json:"reads"`
	ReplicaReadShare float64 `json:"replica-read-share"`
	// FailoverGapSeconds is the longest time without an acknowledged write in
	// the group that the fault hit, zero without a fault.
	FailoverGapSeconds  float64  `json:"failover-gap-seconds"`
	LatencyMilliseconds Latency  `json:"latency-milliseconds"`
	Outcomes            Outcomes `json:"outcomes"`
	// Codes counts the requests that ended with an error, by SQLSTATE; lost
	// connections have none.
	Codes map[string]int `json:"codes"`
	// UnknownCauses counts the unknown outcomes by how the request ended for its
	// caller and what kind it was.
	UnknownCauses map[string]int `json:"unknown-causes"`
	// SettledByKey counts, in the same way, the requests whose callers weren't told
	// an outcome and whose keys have one; they aren't among the unknown.
	SettledByKey    map[string]int     `json:"settled-by-key"`
	Violations      checker.Violations `json:"violations"`
	RegionLinkBytes int64              `json:"region-link-bytes"`
	StoreCalls      int64              `json:"store-calls"`
	// ControlBytesPerSecond is what one entry host sends and gets for control.
	ControlBytesPerSecond float64 `json:"control-bytes-per-second"`
	ConnectionsOpened     int64   `json:"connections-opened"`
	// FailedConnects counts connections that callers couldn't open.
	FailedConnects int `json:"failed-connects"`
	// UnsettledGroups are groups whose servers didn't agree after the run.
	UnsettledGroups int `json:"unsettled-groups"`
	// Applies counts what racing operators were told, nil without a race.
	Applies *Applies `json:"applies,omitempty"`
	// Examples describe the first violations.
	Examples []string `json:"examples,omitempty"`
	// Sessions tell all requests of the first sessions that were wronged.
	Sessions []string `json:"sessions,omitempty"`
	// Overhead is set by the overhead scenario only.
	Overhead *Overhead `json:"overhead,omitempty"`
	// Series is the run by time, for the page.
	Series []Interval `json:"-"`
	// Faults are the moments at which something went wrong or was mended.
	Faults []Event `json:"faults"`
}

// Applies counts the changes of the configuration by what their operators were told.
type Applies struct {
	InForce  int `json:"in-force"`
	Accepted int `json:"accepted"`
	Refused  int `json:"refused"`
	Unknown  int `json:"unknown"`
}

// Event is a named time of the run.
type Event struct {
	At   time.Duration `json:"at-nanoseconds"`
	Name string        `json:"name"`
}

// Overhead compares point reads directly with those through one entry host.
type Overhead struct {
	Direct  Throughput `json:"direct"`
	Through Throughput `json:"through"`
	// AddedMicroseconds is what the entry host adds at the median.
	AddedMicroseconds float64 `json:"added-microseconds"`
}

// Throughput is one side of the overhead scenario.
type Throughput struct {
	Connections      int     `json:"connections"`
	PerSecond        float64 `json:"per-second"`
	P50Microseconds  float64 `json:"p50-microseconds"`
	P99Microseconds  float64 `json:"p99-microseconds"`
	OneConnectionP50 float64 `json:"one-connection-p50-microseconds"`
}

// Failed reports whether the run broke a promise.
func (r *Result) Failed() bool {
	return r.Violations.Total() > 0 || r.UnsettledGroups > 0
}

// Keys of Codes for errors without a SQLSTATE.
const (
	// codeLost is a connection that ended by itself.
	codeLost = "connection-lost"
	// codeLeft is a caller who left or gave up, or a rollback without an error.
	codeLeft = "caller-left"
)

// Histogram bounds: latencies from 1 µs to a minute with three digits.
const (
	lowest  = 1
	highest = int64(time.Minute / time.Microsecond)
	digits  = 3
)

// NewHistogram returns a histogram of microseconds.
func NewHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowest, highest, digits)
}

// Record adds a duration to a histogram.
func Record(h *hdrhistogram.Histogram, d time.Duration) error {
	return errors.Annotatef(h.RecordValue(min(max(d.Microseconds(), lowest), highest)), "record %v", d)
}

// Summarise fills in what follows from the requests alone.
func (r *Result) Summarise(l []checker.Request) error {
	h := NewHistogram()
	r.Codes = map[string]int{}
	r.UnknownCauses = map[string]int{}
	r.SettledByKey = map[string]int{}
	for i := range l {
		q := &l[i]
		r.Requests++
		r.countCode(q)
		r.countOutcome(q)
		if q.Outcome != checker.Ran {
			continue
		}
		if err := Record(h, q.End-q.Start); err != nil {
			return err
		}
	}
	const perMillisecond = 1000
	r.LatencyMilliseconds = Latency{
		P50: float64(h.ValueAtQuantile(50)) / perMillisecond,
		P99: float64(h.ValueAtQuantile(99)) / perMillisecond,
	}
	return nil
}

func (r *Result) countOutcome(q *checker.Request) {
	o := q.Outcome
	if o == checker.Unknown && q.KeyOutcome != "" {
		o = q.KeyOutcome
		r.SettledByKey[unknownCause(q)]++
	}
	switch o {
	case checker.Ran:
		r.Outcomes.Ran++
	case checker.NotRun:
		r.Outcomes.NotRun++
	case checker.Cancelled:
		r.Outcomes.Cancelled++
	case checker.Unknown:
		r.Outcomes.Unknown++
		r.UnknownCauses[unknownCause(q)]++
	}
}

// unknownCause names how a request ended for its caller and what kind it was.
func unknownCause(q *checker.Request) string {
	end := "told"
	switch {
	case q.ConnectionLost:
		end = codeLost
	case q.Code == "":
		end = codeLeft
	}
	switch {
	case q.Keyed:
		return end + ", write with key"
	case q.Kind.Writes():
		return end + ", write without key"
	default:
		return end + ", read"
	}
}

func (r *Result) countCode(q *checker.Request) {
	switch {
	case q.Code != "":
		r.Codes[q.Code]++
	case q.ConnectionLost:
		r.Codes[codeLost]++
	case q.Outcome != checker.Ran:
		r.Codes[codeLeft]++
	}
}

// CountApplies fills in what racing operators were told, if there were any.
func (r *Result) CountApplies(l []checker.Apply) {
	if len(l) == 0 {
		return
	}
	r.Applies = &Applies{}
	for _, a := range l {
		switch a.Outcome {
		case checker.ApplyInForce:
			r.Applies.InForce++
		case checker.ApplyAccepted:
			r.Applies.Accepted++
		case checker.ApplyRefused:
			r.Applies.Refused++
		case checker.ApplyUnknown:
			r.Applies.Unknown++
		}
	}
}

// WriteJSON writes the result for programs.
func (r *Result) WriteJSON(w io.Writer) error {
	return errors.Annotate(writeJSON(w, r), "write result")
}

func writeJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// WriteTable writes the result for people.
func (r *Result) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	// A tabwriter keeps the first error of its output for Flush.
	row := func(n string, v any) { _, _ = fmt.Fprintf(t, "%s\t%v\n", n, v) }
	row("scenario", r.Scenario)
	row("deployment", r.Deployment)
	row("policy", r.Policy)
	row("seed", r.Seed)
	if r.Overhead != nil {
		r.Overhead.rows(row)
		return errors.Annotate(t.Flush(), "write result")
	}
	row("load", fmt.Sprintf("%.0f %% of slot capacity", r.LoadPercent))
	row("duration", fmt.Sprintf("%.1f s", r.DurationSeconds))
	row("requests", r.Requests)
	row("ran / not-run / unknown / cancelled", fmt.Sprintf("%d / %d / %d / %d", r.Outcomes.Ran, r.Outcomes.NotRun, r.Outcomes.Unknown, r.Outcomes.Cancelled))
	row("unknown by cause", r.UnknownCauses)
	row("settled by key", r.SettledByKey)
	row("errors by code", r.Codes)
	row("reads", r.Reads)
	row("replica read share", fmt.Sprintf("%.1f %%", 100*r.ReplicaReadShare))
	row("failover gap", fmt.Sprintf("%.3f s", r.FailoverGapSeconds))
	row("latency p50 / p99", fmt.Sprintf("%.1f / %.1f ms", r.LatencyMilliseconds.P50, r.LatencyMilliseconds.P99))
	row("region link", fmt.Sprintf("%d bytes", r.RegionLinkBytes))
	row("store calls", r.StoreCalls)
	row("control", fmt.Sprintf("%.0f bytes/s a host", r.ControlBytesPerSecond))
	row("connections opened", r.ConnectionsOpened)
	row("failed connects", r.FailedConnects)
	row("unsettled groups", r.UnsettledGroups)
	if a := r.Applies; a != nil {
		row("applies in-force / accepted / refused / unknown", fmt.Sprintf("%d / %d / %d / %d", a.InForce, a.Accepted, a.Refused, a.Unknown))
	}
	r.violations(row)
	return errors.Annotate(t.Flush(), "write result")
}

// violations writes one row for each count, by the names of the JSON form.
func (r *Result) violations(row func(string, any)) {
	v := reflect.ValueOf(r.Violations)
	for i := range v.NumField() {
		row("violation "+v.Type().Field(i).Tag.Get("json"), v.Field(i).Int())
	}
	for _, e := range r.Examples {
		row("example", e)
	}
	for _, s := range r.Sessions {
		row("session", s)
	}
}

func (o *Overhead) rows(row func(string, any)) {
	for _, s := range []struct {
		name string
		t    Throughput
	}{{"direct", o.Direct}, {"through", o.Through}} {
		row(s.name, fmt.Sprintf("%.0f/s over %d connections, p50 %.0f µs, p99 %.0f µs; one connection p50 %.0f µs",
			s.t.PerSecond, s.t.Connections, s.t.P50Microseconds, s.t.P99Microseconds, s.t.OneConnectionP50))
	}
	row("added at p50, one connection", fmt.Sprintf("%.0f µs", o.AddedMicroseconds))
}
