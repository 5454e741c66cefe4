package director

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/cuminwick/cuminwick/internal/backend/controller"
	"github.com/cuminwick/cuminwick/internal/metric/collector"
	"github.com/cuminwick/cuminwick/internal/route/chooser"
)

// reasonCount is above all reasons of a decision as a whole.
const reasonCount = int(chooser.ReasonNoServer) + 1

// Metrics are the director's counters, resolved once. A nil one counts nothing.
type Metrics struct {
	primaryReads prometheus.Counter
	replicaReads prometheus.Counter
	allowed      prometheus.Counter
	denied       prometheus.Counter
	decisions    [reasonCount]prometheus.Counter
}

// Resolve returns the director's counters of c.
func Resolve(c *collector.Collector) *Metrics {
	m := &Metrics{
		primaryReads: c.Reads.WithLabelValues(string(controller.RolePrimary)),
		replicaReads: c.Reads.WithLabelValues(string(controller.RoleReplica)),
		allowed:      c.Retries.WithLabelValues("allowed"),
		denied:       c.Retries.WithLabelValues("denied"),
	}
	for i := range m.decisions {
		m.decisions[i] = c.Routings.WithLabelValues(chooser.Reason(i).String())
	}
	return m
}

func (m *Metrics) read(primary bool) {
	switch {
	case m == nil:
	case primary:
		m.primaryReads.Inc()
	default:
		m.replicaReads.Inc()
	}
}

func (m *Metrics) retry(allowed bool) {
	switch {
	case m == nil:
	case allowed:
		m.allowed.Inc()
	default:
		m.denied.Inc()
	}
}

func (m *Metrics) decided(r chooser.Reason) {
	if m != nil {
		m.decisions[r].Inc()
	}
}
