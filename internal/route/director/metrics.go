package director

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/cuminwick/cuminwick/internal/backend/controller"
	"github.com/cuminwick/cuminwick/internal/metric/collector"
	"github.com/cuminwick/cuminwick/internal/route/chooser"
)

// reasonCount is the number of reasons that apply to a decision as a whole, which come first.
const reasonCount = int(chooser.ReasonNoServer) + 1

// Metrics are the director's counters. The methods of a nil *Metrics do nothing.
type Metrics struct {
	primaryReads prometheus.Counter
	replicaReads prometheus.Counter
	allowed      prometheus.Counter
	denied       prometheus.Counter
	decisions    [reasonCount]prometheus.Counter
}

// Resolve looks up the director's counters in c.
func Resolve(c *collector.Collector) *Metrics {
	m := &Metrics{
		primaryReads: c.Reads.WithLabelValues(string(controller.RolePrimary)),
		replicaReads: c.Reads.WithLabelValues(string(controller.RoleReplica)),
		allowed:      c.Retries.WithLabelValues("allowed"),
		denied:       c.Retries.WithLabelValues("denied"),
	}
	for i := range m.decisions {
		m.decisions[i] = c.RoutingDecisions.WithLabelValues(chooser.Reason(i).String())
	}
	return m
}

func (m *Metrics) countRead(primary bool) {
	switch {
	case m == nil:
	case primary:
		m.primaryReads.Inc()
	default:
		m.replicaReads.Inc()
	}
}

func (m *Metrics) countRetry(allowed bool) {
	switch {
	case m == nil:
	case allowed:
		m.allowed.Inc()
	default:
		m.denied.Inc()
	}
}

func (m *Metrics) countDecision(r chooser.Reason) {
	if m != nil {
		m.decisions[r].Inc()
	}
}
