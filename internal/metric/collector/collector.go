// Package collector defines and registers the metrics of an entry host.
package collector

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

// Collector holds all metrics of one entry host. Their help texts below and docs/metrics.md describe
// them.
//
// The request path resolves the counters of a vector once, with the vector's With methods, because a
// look-up by label costs more than incrementing the counter.
type Collector struct {
	// Registry gathers all metrics below and those of the Go runtime and the process.
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

// latencyBuckets are the buckets of all histograms, in seconds, from 50 µs to 26 s.
var latencyBuckets = prometheus.ExponentialBuckets(50e-6, 2, 20)

// New returns a Collector whose metrics have a registry of their own, so that several entry hosts can
// run in one process.
func New() *Collector {
	c := &Collector{Registry: prometheus.NewRegistry()}
	c.registerCallerMetrics()
	c.registerBackendMetrics()
	c.registerClusterMetrics()
	c.Registry.MustRegister(collectors.NewGoCollector())
	c.Registry.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return c
}

func (c *Collector) registerCallerMetrics() {
	c.CallerConnections = c.gauge("caller_connections", "Callers that are connected.")
	c.Logins = c.counterVec("logins_total", "Logins of callers, by result: accepted, refused or limited.", "result")
	c.Requests = c.counterVec("requests_total", "Requests of callers, by outcome: ran, not-run or unknown.", "outcome")
	c.Reads = c.counterVec("reads_total", "Reads, by the role of the backend server that served them.", "role")
	c.RoutingDecisions = c.counterVec("routing_decisions_total", "Routing decisions, by reason.", "why")
	c.Retries = c.counterVec("retries_total", "Further attempts of requests, by result: allowed or denied by the retry budget.", "result")
	c.Cancels = c.counterVec("cancels_total", "Cancelled requests, by stage: running, or finished where the caller had no request in progress.", "stage")
	c.RequestSeconds = c.histogram("request_seconds", "Time from a request's arrival to the end of its answer.")
	c.QueueSeconds = c.histogram("queue_seconds", "Time that requests waited for a slot.")
}

func (c *Collector) registerBackendMetrics() {
	c.QueuedRequests = c.gaugeVec("queued_requests", "Requests that wait for a backend server.", "backend_server")
	c.PoolConnections = c.gaugeVec("pool_connections", "Connections to a backend server, by state: idle, working or opening.", "backend_server", "state")
	c.ReplicaLagRecords = c.gaugeVec("replica_lag_records", "Log records by which a replica is behind its primary.", "backend_server")
	c.Promotions = c.counterVec("promotions_total", "Promotions that this host ordered, by result: confirmed or abandoned.", "result")
	c.StatusPolls = c.counterVec("status_polls_total", "Polls of backend servers for their status, by cause.", "cause")
	c.WriteGapSeconds = c.histogram("write_gap_seconds", "Time during which a database group took no writes.")
}

func (c *Collector) registerClusterMetrics() {
	c.Revision = c.gauge("configuration_revision", "Configuration revision in force on this host.")
	c.PlatformCalls = c.counterVec("platform_calls_total", "Calls to the platform, by call and result: done, failed or doubtful.", "call", "result")
	c.Members = c.gaugeVec("members", "Entry hosts as this host sees them, by state.", "state")
	c.PeerForwards = c.counterVec("peer_forwards_total", "Transactions forwarded to other entry hosts, by result: granted, refused or failed.", "result")
	c.PeerBytes = c.counterVec("peer_bytes_total", "Bytes of QUIC packets between entry hosts, by direction: sent or received.", "direction")
	c.DatabaseGroups = c.gaugeVec("database_groups", "Database groups by this host's part in them: serving, standing-in, following or idle.", "part")
	c.FollowQuestions = c.counterVec("follow_questions_total", "Questions to the serving hosts of database groups: all that were asked, and those that failed.", "result")
	c.LogLinesDropped = c.counter("log_lines_dropped_total", "Log lines that found the queue full.")
	c.Draining = c.gauge("draining", "1 while the host finishes its transactions before it stops.")
}

// namespace is the prefix of the names of all metrics.
const namespace = "cuminwick"

func (c *Collector) counter(name, help string) prometheus.Counter {
	m := prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help})
	c.Registry.MustRegister(m)
	return m
}

func (c *Collector) counterVec(name, help string, labels ...string) *prometheus.CounterVec {
	m := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
	c.Registry.MustRegister(m)
	return m
}

func (c *Collector) gauge(name, help string) prometheus.Gauge {
	m := prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
	c.Registry.MustRegister(m)
	return m
}

func (c *Collector) gaugeVec(name, help string, labels ...string) *prometheus.GaugeVec {
	m := prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, labels)
	c.Registry.MustRegister(m)
	return m
}

func (c *Collector) histogram(name, help string) prometheus.Histogram {
	m := prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: latencyBuckets})
	c.Registry.MustRegister(m)
	return m
}
