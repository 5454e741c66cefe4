// Package reporter summarises the measurements of a bench run and writes them as a table, JSON and an HTML page with plots.
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

// Latency holds latency percentiles of the requests that ran, in milliseconds.
type Latency struct {
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
}

// Outcomes counts requests by the outcome that the caller received. If that is unknown, the outcome of
// the request's idempotency key counts.
type Outcomes struct {
	Ran       int `json:"ran"`
	NotRun    int `json:"not-run"`
	Unknown   int `json:"unknown"`
	Cancelled int `json:"cancelled"`
}

// Result holds the measurements of one run.
type Result struct {
	Scenario   string `json:"scenario"`
	Deployment string `json:"deployment"`
	Policy     string `json:"policy"`
	Seed       uint64 `json:"seed"`
	// LoadPercent is the load as a percentage of the slots' capacity.
	LoadPercent float64 `json:"load-percent"`
	// DurationSeconds is how long the load lasted.
	DurationSeconds float64 `json:"duration-seconds"`
	Requests        int     `json:"requests"`
	// Reads is the number of reads that backend servers executed.
	Reads            int64   `json:"reads"`
	ReplicaReadShare float64 `json:"replica-read-share"`
	// FailoverGapSeconds is the longest time without an acknowledged write in the group that the
	// fault affected, zero without a fault.
	FailoverGapSeconds  float64  `json:"failover-gap-seconds"`
	LatencyMilliseconds Latency  `json:"latency-milliseconds"`
	Outcomes            Outcomes `json:"outcomes"`
	// Codes counts the requests that ended with an error, by SQLSTATE, or by one of this package's
	// own codes if there is no SQLSTATE, as after a lost connection.
	Codes map[string]int `json:"codes"`
	// UnknownCauses counts the unknown outcomes by how the request ended for its caller and by its
	// kind.
	UnknownCauses map[string]int `json:"unknown-causes"`
	// SettledByKey counts, in the same way, the requests whose callers received no outcome and whose
	// idempotency keys have one. They aren't counted as unknown.
	SettledByKey    map[string]int     `json:"settled-by-key"`
	Violations      checker.Violations `json:"violations"`
	RegionLinkBytes int64              `json:"region-link-bytes"`
	StoreCalls      int64              `json:"store-calls"`
	// ControlBytesPerSecond is the control traffic that one entry host sends and receives.
	ControlBytesPerSecond float64 `json:"control-bytes-per-second"`
	ConnectionsOpened     int64   `json:"connections-opened"`
	// FailedConnects counts failed attempts of callers to connect.
	FailedConnects int `json:"failed-connects"`
	// UnsettledGroups is the number of groups whose servers hadn't converged after the run.
	UnsettledGroups int `json:"unsettled-groups"`
	// Applies counts the applies of racing operators by outcome, nil without a race.
	Applies *Applies `json:"applies,omitempty"`
	// Examples describe the first violations.
	Examples []string `json:"examples,omitempty"`
	// Sessions list all requests of the first sessions that were affected by a violation.
	Sessions []string `json:"sessions,omitempty"`
	// Overhead is set only by the overhead scenario.
	Overhead *Overhead `json:"overhead,omitempty"`
	// Series holds the intervals of the run, for the plots of the page.
	Series []Interval `json:"-"`
	// Faults are the events at which a fault was injected or reverted.
	Faults []Event `json:"faults"`
}

// Applies counts the configuration changes by the outcome that their operators received.
type Applies struct {
	InForce  int `json:"in-force"`
	Accepted int `json:"accepted"`
	Refused  int `json:"refused"`
	Unknown  int `json:"unknown"`
}

// Event is a named event of the run, such as a fault. At is the time since the start of the run.
type Event struct {
	At   time.Duration `json:"at-nanoseconds"`
	Name string        `json:"name"`
}

// Overhead compares point reads made directly at a backend server with those through one entry host.
type Overhead struct {
	Direct  Throughput `json:"direct"`
	Through Throughput `json:"through"`
	// AddedMicroseconds is the difference of the two median latencies over one connection.
	AddedMicroseconds float64 `json:"added-microseconds"`
}

// Throughput holds the measurements of one of the two paths that the overhead scenario compares.
type Throughput struct {
	Connections      int     `json:"connections"`
	PerSecond        float64 `json:"per-second"`
	P50Microseconds  float64 `json:"p50-microseconds"`
	P99Microseconds  float64 `json:"p99-microseconds"`
	OneConnectionP50 float64 `json:"one-connection-p50-microseconds"`
}

// Failed reports whether the run violated a guarantee or left a group unsettled.
func (r *Result) Failed() bool {
	return r.Violations.Total() > 0 || r.UnsettledGroups > 0
}

// Keys of Codes for errors without a SQLSTATE.
const (
	// codeConnectionLost counts connections that ended without the caller's doing.
	codeConnectionLost = "connection-lost"
	// codeCallerLeft counts callers that disconnected or timed out, and rollbacks without an error.
	codeCallerLeft = "caller-left"
)

// Bounds of histograms: latencies in microseconds from 1 µs to a minute, with three significant digits.
const (
	minimumLatency    = 1
	maximumLatency    = int64(time.Minute / time.Microsecond)
	significantDigits = 3
)

// NewHistogram returns a histogram of durations in microseconds.
func NewHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minimumLatency, maximumLatency, significantDigits)
}

// Record adds a duration to a histogram, clamped to the histogram's bounds.
func Record(h *hdrhistogram.Histogram, d time.Duration) error {
	return errors.Annotatef(h.RecordValue(min(max(d.Microseconds(), minimumLatency), maximumLatency)), "record %v", d)
}

// Summarise computes the counts and the latency from the requests.
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

// unknownCause returns how a request ended for its caller, and its kind, as a key of UnknownCauses.
func unknownCause(q *checker.Request) string {
	end := "told"
	switch {
	case q.ConnectionLost:
		end = codeConnectionLost
	case q.Code == "":
		end = codeCallerLeft
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
		r.Codes[codeConnectionLost]++
	case q.Outcome != checker.Ran:
		r.Codes[codeCallerLeft]++
	}
}

// CountApplies counts the applies of racing operators by outcome, if there are any.
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

// WriteJSON writes the result as indented JSON.
func (r *Result) WriteJSON(w io.Writer) error {
	return errors.Annotate(writeJSON(w, r), "write result")
}

func writeJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// WriteTable writes the result as a table of names and values.
func (r *Result) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	// A tabwriter returns the first error of its output from Flush.
	row := func(n string, v any) { _, _ = fmt.Fprintf(t, "%s\t%v\n", n, v) }
	row("scenario", r.Scenario)
	row("deployment", r.Deployment)
	row("policy", r.Policy)
	row("seed", r.Seed)
	if r.Overhead != nil {
		r.Overhead.writeRows(row)
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
	r.writeViolations(row)
	return errors.Annotate(t.Flush(), "write result")
}

// writeViolations writes one row for each count, named as in JSON, and the examples and sessions.
func (r *Result) writeViolations(row func(string, any)) {
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

func (o *Overhead) writeRows(row func(string, any)) {
	for _, s := range []struct {
		name string
		t    Throughput
	}{{"direct", o.Direct}, {"through", o.Through}} {
		row(s.name, fmt.Sprintf("%.0f/s over %d connections, p50 %.0f µs, p99 %.0f µs; one connection p50 %.0f µs",
			s.t.PerSecond, s.t.Connections, s.t.P50Microseconds, s.t.P99Microseconds, s.t.OneConnectionP50))
	}
	row("added at p50, one connection", fmt.Sprintf("%.0f µs", o.AddedMicroseconds))
}
