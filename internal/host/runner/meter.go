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

// meterInterval is the time between two readings of what isn't counted as it happens.
const meterInterval = time.Second

// Results of logins, and stages of cancels, as labels.
const (
	loginAccepted  = "accepted"
	loginRefused   = "refused"
	loginLimited   = "limited"
	cancelRunning  = "running"
	cancelFinished = "finished"
)

// meter counts what callers do, and implements server.Counters.
type meter struct {
	host     *Host
	ran      prometheus.Counter
	notRun   prometheus.Counter
	unknown  prometheus.Counter
	running  prometheus.Counter
	finished prometheus.Counter
	dropped  uint64
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

// loop reads now and then what others count.
func (m *meter) loop(ctx context.Context) error {
	t, x := m.host.Clock.Ticks(meterInterval)
	defer x.Cancel()
	for {
		m.read()
		select {
		case <-t:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (m *meter) read() {
	m.host.collector.CallerConnections.Set(float64(m.host.listener.SessionCount()))
	if m.host.LogEncoder == nil {
		return
	}
	n := m.host.LogEncoder.Dropped()
	m.host.collector.LogLinesDropped.Add(float64(n - m.dropped))
	m.dropped = n
}

// gap measures how long one group took no writes, as this host saw it: from the
// primary's last answer before to the look at which the group takes writes again.
// A change of primary may be over between two looks, so it is told by the term.
type gap struct {
	collector *collector.Collector
	// term is that of the primary when the group last took writes, zero before.
	term marker.Term
	// answered is when the primary was asked for its last answer then.
	answered time.Duration
	// open says that the group has been seen without a confirmed primary since.
	open bool
}

// step takes in what the driver sees.
func (g *gap) step(v *observer.View) {
	if !v.Confirmed {
		g.open = g.term != 0
		return
	}
	if g.open || g.term != 0 && v.Term != g.term {
		g.collector.WriteGapSeconds.Observe((v.At - g.answered).Seconds())
	}
	p, _ := v.Server(v.Primary)
	g.term, g.answered, g.open = v.Term, p.PolledAt, false
}
