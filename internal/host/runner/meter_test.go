package runner

import (
	"testing"
	"time"

	dto "github.com/prometheus/client_model/go"

	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/group/observer"
	"github.com/cuminwick/cuminwick/internal/metric/collector"
)

// Guards against a write gap that users observe but the metric doesn't include: a primary may be
// replaced so quickly that no update shows the group without a confirmed primary.
func TestWriteGap(t *testing.T) {
	const ms = time.Millisecond
	at := func(now time.Duration, confirmed bool, term marker.Term, answered time.Duration) *observer.View {
		s := observer.Server{Name: "a", Observation: observer.Observation{PolledAt: answered}}
		return &observer.View{At: now, Confirmed: confirmed, Term: term, Primary: "a", Servers: []observer.Server{s}}
	}
	tests := []struct {
		name  string
		views []*observer.View
		count uint64
		sum   float64
	}{
		{name: "start", views: []*observer.View{at(0, false, 0, 0), at(50*ms, true, 1, 40*ms)}},
		{name: "well", views: []*observer.View{at(50*ms, true, 1, 40*ms), at(100*ms, true, 1, 90*ms)}},
		{name: "replaced", views: []*observer.View{at(50*ms, true, 1, 40*ms), at(100*ms, false, 1, 40*ms), at(540*ms, true, 2, 530*ms)}, count: 1, sum: 0.5},
		{name: "replaced between two updates", views: []*observer.View{at(50*ms, true, 1, 40*ms), at(340*ms, true, 2, 330*ms)}, count: 1, sum: 0.3},
		{name: "back under the same term", views: []*observer.View{at(50*ms, true, 1, 40*ms), at(100*ms, false, 1, 40*ms), at(240*ms, true, 1, 230*ms)}, count: 1, sum: 0.2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := &writeGap{collector: collector.New()}
			for _, v := range tt.views {
				g.update(v)
			}
			var m dto.Metric
			if err := g.collector.WriteGapSeconds.Write(&m); err != nil {
				t.Fatal(err)
			}
			h := m.GetHistogram()
			if h.GetSampleCount() != tt.count || h.GetSampleSum() != tt.sum {
				t.Errorf("%d gaps of %v s, want %d of %v", h.GetSampleCount(), h.GetSampleSum(), tt.count, tt.sum)
			}
		})
	}
}
