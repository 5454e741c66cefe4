package runner

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/cuminwick/cuminwick/internal/group/pacer"
	"github.com/cuminwick/cuminwick/internal/group/switcher"
	"github.com/cuminwick/cuminwick/internal/metric/collector"
)

// pollMetrics adds a group's counts of status polls and of questions to serving hosts to the
// metrics.
type pollMetrics struct {
	switcher      *switcher.Switcher
	counters      [pacer.CauseCount]prometheus.Counter
	asked, failed prometheus.Counter
	// last holds the counts that the metrics include.
	last switcher.Counts
}

func newPollMetrics(s *switcher.Switcher, c *collector.Collector) *pollMetrics {
	p := &pollMetrics{switcher: s}
	for i := range p.counters {
		p.counters[i] = c.StatusPolls.WithLabelValues(pacer.Cause(i).String())
	}
	p.asked = c.FollowQuestions.WithLabelValues("asked")
	p.failed = c.FollowQuestions.WithLabelValues("failed")
	return p
}

func (p *pollMetrics) update() {
	n := p.switcher.Counts()
	for i := range p.counters {
		p.counters[i].Add(float64(n.Polls[i] - p.last.Polls[i]))
	}
	p.asked.Add(float64(n.QuestionsSent - p.last.QuestionsSent))
	p.failed.Add(float64(n.QuestionsFailed - p.last.QuestionsFailed))
	p.last = n
}
