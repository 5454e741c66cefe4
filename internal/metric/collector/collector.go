// Package collector holds the metrics of an entry host.
package collector

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

// Collector is every metric of one entry host; docs/metrics.md describes them.
//
// The request path uses counters that are resolved once, with the With methods
// of the vectors, as a look-up by label costs more than the count itself.
type Collector struct {
	// Registry gathers all metrics below.
	Registry *prometheus.Registry

	CallerConnections prometheus.Gauge
	Logins            *prometheus.CounterVec
	Requests          *prometheus.CounterVec
	Reads             *prometheus.CounterVec
	RoutingDecisions  *prometheus.CounterVec
	Retries           *prometheus.CounterVec
	Cancels           *prometheus.CounterVec
	RequestSeconds    prometheus.Histogram
	QueueSeconds      prometheus.Histogram
	QueuedRequests    *prometheus.GaugeVec
	PoolConnections   *prometheus.GaugeVec
	ReplicaLagRecords *prometheus.GaugeVec
	Promotions        *prometheus.CounterVec
	StatusPolls       *prometheus.CounterVec
	WriteGapSeconds   prometheus.Histogram
	Revision          prometheus.Gauge
	PlatformCalls     *prometheus.CounterVec
	Members           *prometheus.GaugeVec
	PeerForwards      *prometheus.CounterVec
	PeerBytes         *prometheus.CounterVec
	DatabaseGroups    *prometheus.GaugeVec
	FollowQuestions   *prometheus.CounterVec
	LogLinesDropped   prometheus.Counter
	Draining          prometheus.Gauge
}

// seconds are the buckets of latencies, from 50 µs to 26 s.
var seconds = prometheus.ExponentialBuckets(50e-6, 2, 20)

// New returns metrics that are registered in a registry of their own, so that
// several entry hosts can run in one process.
func New() *Collector {
	c := &Collector{Registry: prometheus.NewRegistry()}
	c.callers()
	c.backends()
	c.cluster()
	c.Registry.MustRegister(collectors.NewGoCollector())
	c.Registry.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return c
}

func (c *Collector) callers() {
	c.CallerConnections = c.gauge("caller_connections", "Callers that are connected.")
	c.Logins = c.counters("logins_total", "Logins of callers, by result: accepted, refused or limited.", "result")
	c.Requests = c.counters("requests_total", "Requests of callers, by outcome: ran, not-run or unknown.", "outcome")
	c.Reads = c.counters("reads_total", "Reads, by the role of the backend server that served them.", "role")
	c.RoutingDecisions = c.counters("routing_decisions_total", "Routing decisions, by reason.", "why")
	c.Retries = c.counters("retries_total", "Further attempts of requests, by result: allowed or denied by the retry budget.", "result")
	c.Cancels = c.counters("cancels_total", "Cancelled requests, by stage: running, or finished where the caller had no request in progress.", "stage")
	c.RequestSeconds = c.histogram("request_seconds", "Time from a request's arrival to the end of its answer.")
	c.QueueSeconds = c.histogram("queue_seconds", "Time that requests waited for a slot.")
}

func (c *Collector) backends() {
	c.QueuedRequests = c.gauges("queued_requests", "Requests that wait for a backend server.", "backend_server")
	c.PoolConnections = c.gauges("pool_connections", "Connections to a backend server, by state: idle, working or opening.", "backend_server", "state")
	c.ReplicaLagRecords = c.gauges("replica_lag_records", "Log records by which a replica is behind its primary.", "backend_server")
	c.Promotions = c.counters("promotions_total", "Promotions that this host ordered, by result: confirmed or abandoned.", "result")
	c.StatusPolls = c.counters("status_polls_total", "Polls of backend servers for their status, by cause.", "cause")
	c.WriteGapSeconds = c.histogram("write_gap_seconds", "Time during which a database group took no writes.")
}

func (c *Collector) cluster() {
	c.Revision = c.gauge("configuration_revision", "Configuration revision in force on this host.")
	c.PlatformCalls = c.counters("platform_calls_total", "Calls to the platform, by call and result: done, failed or doubtful.", "call", "result")
	c.Members = c.gauges("members", "Entry hosts as this host sees them, by state.", "state")
	c.PeerForwards = c.counters("peer_forwards_total", "Transactions forwarded to other entry hosts, by result: granted, refused or failed.", "result")
	c.PeerBytes = c.counters("peer_bytes_total", "Bytes of QUIC packets between entry hosts, by direction: sent or received.", "direction")
	c.DatabaseGroups = c.gauges("database_groups", "Database groups by this host's part in them: serving, standing-in, following or idle.", "part")
	c.FollowQuestions = c.counters("follow_questions_total", "Questions to the serving hosts of database groups: all that were asked, and those that failed.", "result")
	c.LogLinesDropped = c.counter("log_lines_dropped_total", "Log lines that found the queue full.")
	c.Draining = c.gauge("draining", "1 while the host finishes its transactions before it stops.")
}

// namespace starts the name of every metric.
const namespace = "cuminwick"

func (c *Collector) counter(name, help string) prometheus.Counter {
	m := prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help})
	c.Registry.MustRegister(m)
	return m
}

func (c *Collector) counters(name, help string, labels ...string) *prometheus.CounterVec {
	m := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
	c.Registry.MustRegister(m)
	return m
}

func (c *Collector) gauge(name, help string) prometheus.Gauge {
	m := prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
	c.Registry.MustRegister(m)
	return m
}

func (c *Collector) gauges(name, help string, labels ...string) *prometheus.GaugeVec {
	m := prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, labels)
	c.Registry.MustRegister(m)
	return m
}

func (c *Collector) histogram(name, help string) prometheus.Histogram {
	m := prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: seconds})
	c.Registry.MustRegister(m)
	return m
}
