package reporter

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/cuminwick/cuminwick/internal/limit/admitter"
	"github.com/cuminwick/cuminwick/internal/proxy/executor"
)

// priorities holds the label of each priority of a route.
var priorities = [admitter.LevelCount]string{"0", "1", "2", "3", "4", "5", "6", "7"}

// rankedMetrics counts the statements that a ranked configuration admitted. They have no values under a
// configuration that ranks nothing.
type rankedMetrics struct {
	statements *prometheus.CounterVec
	waits      *prometheus.HistogramVec
}

func newRankedMetrics(r *prometheus.Registry) rankedMetrics {
	m := rankedMetrics{
		statements: prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: "ranked_statements_total", Help: "Statements under a configuration that ranks them, by the priority of their route and outcome."}, []string{"priority", "outcome"}),
		waits:      prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: "ranked_wait_seconds", Help: "Time that statements waited for a connection, by the priority of their route.", Buckets: buckets}, []string{"priority"}),
	}
	r.MustRegister(m.statements, m.waits)
	return m
}

func (m *rankedMetrics) statement(r *executor.Report, k outcome) {
	p := priorities[r.Importance.Level()]
	m.statements.WithLabelValues(p, k.name).Inc()
	m.waits.WithLabelValues(p).Observe(r.Wait.Seconds())
}
