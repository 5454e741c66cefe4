package runner

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/cuminwick/cuminwick/internal/group/pacer"
	"github.com/cuminwick/cuminwick/internal/group/switcher"
	"github.com/cuminwick/cuminwick/internal/metric/collector"
)

// polls takes a group's counts of status polls and of questions to serving hosts
// over into the metrics.
type polls struct {
	switcher      *switcher.Switcher
	counters      [pacer.CauseCount]prometheus.Counter
	asked, failed prometheus.Counter
	last          switcher.Counts
}

func newPolls(s *switcher.Switcher, c *collector.Collector) *polls {
	p := &polls{switcher: s}
	for i := range p.counters {
		p.counters[i] = c.StatusPolls.WithLabelValues(pacer.Cause(i).String())
	}
	p.asked = c.FollowQuestions.WithLabelValues("asked")
	p.failed = c.FollowQuestions.WithLabelValues("failed")
	return p
}

func (p *polls) step() {
	n := p.switcher.Counts()
	for i := range p.counters {
		p.counters[i].Add(float64(n.Polls[i] - p.last.Polls[i]))
	}
	p.asked.Add(float64(n.QuestionsSent - p.last.QuestionsSent))
	p.failed.Add(float64(n.QuestionsFailed - p.last.QuestionsFailed))
	p.last = n
}
