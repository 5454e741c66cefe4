package runner

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/cuminwick/cuminwick/internal/caller/authenticator"
	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/group/observer"
	"github.com/cuminwick/cuminwick/internal/metric/collector"
	"github.com/cuminwick/cuminwick/internal/outcome/recorder"
)

// meterInterval is the time between updates of metrics that are read from elsewhere.
const meterInterval = time.Second

// Label values: results of logins, and whether a cancelled request was still running.
const (
	loginAccepted  = "accepted"
	loginRefused   = "refused"
	loginLimited   = "limited"
	cancelRunning  = "running"
	cancelFinished = "finished"
)

// meter updates the metrics of callers and implements server.Counters.
type meter struct {
	host     *Host
	ran      prometheus.Counter
	notRun   prometheus.Counter
	unknown  prometheus.Counter
	running  prometheus.Counter
	finished prometheus.Counter
	// dropped is the number of dropped log lines that the metric includes.
	dropped uint64
}

func newMeter(h *Host) *meter {
	c := h.collector
	return &meter{
		host:     h,
		ran:      c.Requests.WithLabelValues(string(recorder.Ran)),
		notRun:   c.Requests.WithLabelValues(string(recorder.NotRun)),
		unknown:  c.Requests.WithLabelValues(string(recorder.Unknown)),
		running:  c.Cancels.WithLabelValues(cancelRunning),
		finished: c.Cancels.WithLabelValues(cancelFinished),
	}
}

// Ended implements server.Counters.
func (m *meter) Ended(o recorder.Outcome, took time.Duration) {
	switch o {
	case recorder.Ran:
		m.ran.Inc()
	case recorder.NotRun:
		m.notRun.Inc()
	default:
		m.unknown.Inc()
	}
	m.host.collector.RequestSeconds.Observe(took.Seconds())
}

// Cancelled implements server.Counters.
func (m *meter) Cancelled(inProgress bool) {
	if inProgress {
		m.running.Inc()
		return
	}
	m.finished.Inc()
}

// login counts a login that ended with err.
func (m *meter) login(err error) {
	r := loginAccepted
	switch {
	case errors.Is(err, authenticator.ErrTooManyFailures):
		r = loginLimited
	case err != nil:
		r = loginRefused
	}
	m.host.collector.Logins.WithLabelValues(r).Inc()
}

// loop updates the metrics of values that other components count, until ctx ends.
func (m *meter) loop(ctx context.Context) error {
	t, x := m.host.Clock.Ticks(meterInterval)
	defer x.Cancel()
	for {
		m.update()
		select {
		case <-t:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (m *meter) update() {
	m.host.collector.CallerConnections.Set(float64(m.host.listener.SessionCount()))
	if m.host.LogEncoder == nil {
		return
	}
	n := m.host.LogEncoder.Dropped()
	m.host.collector.LogLinesDropped.Add(float64(n - m.dropped))
	m.dropped = n
}

// writeGap measures how long one group accepted no writes, as observed by this host: from the last
// poll that the previous primary answered to the update at which a primary is confirmed again. A
// change of the primary may take less than the time between two updates, so it is also detected by
// the term.
type writeGap struct {
	collector *collector.Collector
	// term is the term of the last confirmed primary, zero before the first one.
	term marker.Term
	// answeredAt is when the last poll that this primary answered began.
	answeredAt time.Duration
	// open reports that the group has had no confirmed primary since then.
	open bool
}

// update processes the present view of the group.
func (g *writeGap) update(v *observer.View) {
	if !v.Confirmed {
		g.open = g.term != 0
		return
	}
	if g.open || g.term != 0 && v.Term != g.term {
		g.collector.WriteGapSeconds.Observe((v.At - g.answeredAt).Seconds())
	}
	p, _ := v.Server(v.Primary)
	g.term, g.answeredAt, g.open = v.Term, p.PolledAt, false
}
