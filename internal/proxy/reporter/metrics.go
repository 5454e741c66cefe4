package reporter

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/cuminwick/cuminwick/internal/proxy/blackboard"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
	"github.com/cuminwick/cuminwick/internal/proxy/executor"
)

// Metrics holds the metrics of an entry host on the platform.
type Metrics struct {
	// Registry contains all of them.
	Registry *prometheus.Registry

	statements *prometheus.CounterVec
	seconds    *prometheus.HistogramVec
	waits      prometheus.Histogram
	reads      *prometheus.CounterVec
	attempts   prometheus.Counter
	customers  *prometheus.CounterVec
	ends       *prometheus.CounterVec
	ranked     rankedMetrics
	held       *prometheus.CounterVec
	promotions *prometheus.CounterVec
	losses     *prometheus.CounterVec
	invalid    *prometheus.CounterVec
	unadmitted *prometheus.CounterVec
	mismatches *prometheus.CounterVec
	calls      *prometheus.CounterVec
	phases     *prometheus.HistogramVec
	received   *prometheus.CounterVec
	sent       *prometheus.CounterVec
	transfers  *prometheus.HistogramVec
	labels     nameLabels
	// routeLabels bounds the names of held routes.
	routeLabels nameLabels
}

// buckets are the bounds of latency histograms, from 0.5 ms to 8 s.
var buckets = prometheus.ExponentialBuckets(500e-6, 2, 15)

const namespace = "cuminwick"

// Gauges are functions that return values kept elsewhere. They are called at each scrape.
type Gauges struct {
	// Sessions returns the number of sessions being served.
	Sessions func() int
	// Configuration returns the version of the configuration in force.
	Configuration func() uint64
	// DroppedLogLines returns the number of log lines dropped because the queue was full.
	DroppedLogLines func() uint64
	// Age returns how long ago a section of the board was last confirmed by the platform, directly
	// or through another host.
	Age func(blackboard.Section) time.Duration
	// PositionAge returns the age of the oldest of the primaries' latest confirmed positions.
	PositionAge func() time.Duration
	// GroupsWithoutPrimary returns the number of database groups without a known primary.
	GroupsWithoutPrimary func() int
	// Strength returns the number of slots that the host declares it can own, and OwnedSlots the
	// number that it owns.
	Strength, OwnedSlots func() int
	// TimerDelay returns how late the host's timers fire.
	TimerDelay func() time.Duration
}

// NewMetrics returns metrics in a registry of their own.
func NewMetrics(g Gauges) *Metrics {
	m := &Metrics{Registry: prometheus.NewRegistry()}
	m.statements = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "statements_total", Help: "Statements of callers, by operation, outcome and code."}, []string{"operation", "outcome", "code"})
	m.seconds = prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: "statement_seconds", Help: "Time from a statement's arrival to its answer, by operation.", Buckets: buckets}, []string{"operation"})
	m.waits = prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: namespace, Name: "connection_wait_seconds", Help: "Time that statements waited for a connection.", Buckets: buckets})
	m.reads = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "reads_total", Help: "Reads that ran, by the role of the server."}, []string{"role"})
	m.attempts = prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "attempts_total", Help: "Statements sent to servers, repeated ones included."})
	m.customers = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "customer_statements_total", Help: "Statements by customer and outcome. Customers beyond the first 200 that sent statements are counted as one, named other."}, []string{"customer", "outcome"})
	m.ends = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "session_ends_total", Help: "Sessions of callers that have ended, by cause: bye, closed, cut (in the middle of a message), malformed, too-long, unread (the answer could not be sent), refused, no-startup or stopped."}, []string{"cause"})
	m.ranked = newRankedMetrics(m.Registry)
	m.held = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "held_statements_total", Help: "Statements refused as held by operators, by kind (customer, route) and name of what is held. Names beyond the first 200 are counted as one, named other."}, []string{"kind", "name"})
	m.promotions = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "promotions_total", Help: "Promotions that this host ordered, by reason and result: done, refused or unconfirmed."}, []string{"reason", "result"})
	m.losses = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "platform_losses_total", Help: "Times that the platform stopped answering, by kind of object."}, []string{"kind"})
	m.invalid = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "invalid_objects_total", Help: "Invalid objects of the platform that were read, by effect: skipped, or partial if the object is used without its invalid entries."}, []string{"effect"})
	m.calls = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "platform_calls_total", Help: "Calls to the platform, by method, kind of object and result: answered, conflict, unavailable or failed."}, []string{"method", "kind", "result"})
	m.phases = prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: "failover_phase_seconds", Help: "Phases of promotions that this host ordered: from the need to the order, and from the order to the lead.", Buckets: buckets}, []string{"phase"})
	m.received = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "platform_received_bytes_total", Help: "Bytes of answers about the platform's objects, by source (store, host), kind of object and result: whole, or cut if the answer was given up."}, []string{"source", "kind", "result"})
	m.sent = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "platform_sent_bytes_total", Help: "Bytes of answers to other entry hosts, by kind of object and result: whole or cut."}, []string{"kind", "result"})
	m.transfers = prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: "platform_transfer_seconds", Help: "Time from an answer's first byte to its last, by direction (received, sent) and kind of object.", Buckets: buckets}, []string{"direction", "kind"})
	m.unadmitted = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "not_admitted_total", Help: "Requests that were refused without a round trip, as the owner of the server's connections would have refused them, by the priority of the route."}, []string{"priority"})
	m.mismatches = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "mismatched_answers_total", Help: "Answers of backend servers, and parts of answers, that were not those of the statements that they came for, by reason."}, []string{"reason"})
	m.Registry.MustRegister(m.mismatches, m.received, m.sent, m.transfers, m.customers, m.unadmitted, m.held, m.ends)
	m.Registry.MustRegister(m.calls, m.phases, m.statements, m.seconds, m.waits, m.reads, m.attempts, m.promotions, m.losses, m.invalid)
	m.gauge("sessions", "Sessions that are served.", func() float64 { return float64(g.Sessions()) })
	m.gauge("configuration_version", "Version of the configuration in force.", func() float64 { return float64(g.Configuration()) })
	m.gauge("configuration_age_seconds", "Time since the configuration was last confirmed.", func() float64 { return g.Age(blackboard.SectionConfiguration).Seconds() })
	m.gauge("servers_age_seconds", "Time since the list of servers was last confirmed.", func() float64 { return g.Age(blackboard.SectionServers).Seconds() })
	m.gauge("hosts_age_seconds", "Time since the list of entry hosts was last confirmed.", func() float64 { return g.Age(blackboard.SectionHosts).Seconds() })
	m.gauge("primary_position_age_seconds", "Time since the primary whose position is oldest proved it.", func() float64 { return g.PositionAge().Seconds() })
	m.gauge("groups_without_primary", "Database groups without a known primary.", func() float64 { return float64(g.GroupsWithoutPrimary()) })
	m.gauge("host_strength", "Slots of backend servers whose connections the host declares it can own, 0 if unknown.", func() float64 { return float64(g.Strength()) })
	m.gauge("owned_slots", "Slots of the backend servers whose connections the host owns.", func() float64 { return float64(g.OwnedSlots()) })
	m.gauge("timer_delay_seconds", "Smoothed delay of the host's timers.", func() float64 { return g.TimerDelay().Seconds() })
	m.gauge("log_lines_dropped", "Log lines that found their queue full.", func() float64 { return float64(g.DroppedLogLines()) })
	return m
}

func (m *Metrics) gauge(name, help string, f func() float64) {
	m.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, f))
}

func (m *Metrics) statement(r *executor.Report, k outcome) {
	op := operationOf(r)
	m.statements.WithLabelValues(op, k.name, k.code).Inc()
	m.seconds.WithLabelValues(op).Observe(r.Elapsed.Seconds())
	m.waits.Observe(r.Wait.Seconds())
	m.attempts.Add(float64(r.Attempts))
	if r.Customer != "" {
		m.customers.WithLabelValues(m.labels.label(r.Customer), k.name).Inc()
	}
	if r.Ranked {
		m.ranked.statement(r, k)
	}
	switch r.Held.Kind {
	case executor.HoldCustomer:
		m.held.WithLabelValues(r.Held.Kind.String(), m.labels.label(r.Held.Name)).Inc()
	case executor.HoldRoute:
		m.held.WithLabelValues(r.Held.Kind.String(), m.routeLabels.label(r.Held.Name)).Inc()
	}
	if op == "read" && k.name == "ran" {
		m.reads.WithLabelValues(role(r)).Inc()
	}
}

// Promotion counts a promotion that this host ordered.
func (m *Metrics) Promotion(reason, result string) {
	m.promotions.WithLabelValues(reason, result).Inc()
}

// PlatformLost counts a loss of contact with the platform while reading a kind of object.
func (m *Metrics) PlatformLost(kind string) {
	m.losses.WithLabelValues(kind).Inc()
}

// NotAdmitted counts a request that was refused without a round trip.
func (m *Metrics) NotAdmitted(priority uint8) {
	m.unadmitted.WithLabelValues(priorities[priority]).Inc()
}

// Mismatch counts an answer that wasn't that of the statement that it came for.
func (m *Metrics) Mismatch(r declarer.MismatchReason) {
	m.mismatches.WithLabelValues(r.String()).Inc()
}

// PlatformCall counts a call to the platform.
func (m *Metrics) PlatformCall(method, kind, result string) {
	m.calls.WithLabelValues(method, kind, result).Inc()
}

// Phase records the duration of a phase of a promotion.
func (m *Metrics) Phase(phase string, d time.Duration) {
	m.phases.WithLabelValues(phase).Observe(d.Seconds())
}

// Received records an answer from the store or another host.
func (m *Metrics) Received(t declarer.Transfer) {
	m.received.WithLabelValues(t.Source.String(), t.Kind, completeness(t)).Add(float64(t.Bytes))
	m.transfers.WithLabelValues("received", t.Kind).Observe(t.Took.Seconds())
}

// Sent records an answer to another host.
func (m *Metrics) Sent(t declarer.Transfer) {
	m.sent.WithLabelValues(t.Kind, completeness(t)).Add(float64(t.Bytes))
	m.transfers.WithLabelValues("sent", t.Kind).Observe(t.Took.Seconds())
}

// completeness returns the value of the result label: whether the whole answer was transferred.
func completeness(t declarer.Transfer) string {
	if t.Err != nil {
		return "cut"
	}
	return "whole"
}
