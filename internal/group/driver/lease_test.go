package driver

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/cuminwick/cuminwick/internal/backend/controller"
	"github.com/cuminwick/cuminwick/internal/bench/definer"
	"github.com/cuminwick/cuminwick/internal/group/promoter"
	"github.com/cuminwick/cuminwick/internal/platform/accessor"
)

// leaser is the baseline that BenchmarkLease measures: it renews the primary's lease in the
// platform's store while the primary answers, and promotes another server after the lease has
// expired.
type leaser struct {
	platform accessor.Platform
	controls map[string]controller.Control
	servers  map[string]string
	primary  string
	object   accessor.Object
	renewed  time.Time
}

const (
	leaseTTL           = 10 * time.Second
	leaseRenewInterval = leaseTTL / 3
)

func (l *leaser) loop(ctx context.Context) {
	next := time.Now()
	for ctx.Err() == nil {
		if time.Since(l.renewed) >= leaseTTL {
			l.promote(ctx)
		}
		if !time.Now().Before(next) {
			l.renew(ctx)
			next = time.Now().Add(leaseRenewInterval)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (l *leaser) renew(ctx context.Context) {
	c, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if _, err := l.controls[l.primary].Status(c); err != nil {
		return
	}
	o, err := l.platform.Put(c, accessor.Object{Kind: "lease", Name: "kalkul", Version: l.object.Version, Value: []byte(l.primary)})
	if err == nil {
		l.object = o
		l.renewed = time.Now()
	}
}

func (l *leaser) promote(ctx context.Context) {
	var s []controller.Status
	for _, c := range l.controls {
		if o, err := c.Status(ctx); err == nil {
			s = append(s, o)
		}
	}
	t := s[0].Term
	for _, o := range s {
		t = max(t, o.Term)
	}
	for i, o := range s {
		s[i], _ = l.controls[o.BackendServer].RaiseTerm(ctx, t+1)
	}
	l.primary = promoter.Choose(s, "")
	_, _ = l.controls[l.primary].Promote(ctx, t+1)
	for n, c := range l.controls {
		if n != l.primary {
			_, _ = c.Follow(ctx, t+1, l.primary, l.servers[l.primary])
		}
	}
	l.renewed = time.Now()
}

// BenchmarkLease measures the gap in writes after a crash of the primary with the baseline.
func BenchmarkLease(b *testing.B) {
	for _, p := range definer.Deployments() {
		b.Run(p.Name, func(b *testing.B) {
			r := newRig(b, hosts, p)
			for _, d := range r.drivers {
				d.Settings.Observer.SuspicionTimeout = time.Hour
				d.Settings.Observer.RefusalTimeout = time.Hour
				d.Settings.Observer.NoPrimaryTimeout = time.Hour
			}
			l := &leaser{platform: r.store, controls: r.controls(r.dialer(0)), servers: map[string]string{}, primary: r.primary().Name, renewed: time.Now()}
			for _, s := range r.group.Servers {
				l.servers[s.Name] = s.Addr()
			}
			go l.loop(r.ctx)
			var s []time.Duration
			for range b.N {
				s = append(s, r.gap(failures[0]))
			}
			slices.Sort(s)
			b.ReportMetric(float64(s[len(s)/2].Milliseconds()), "ms-median")
			b.ReportMetric(float64(s[len(s)-1].Milliseconds()), "ms-worst")
			b.ReportMetric(0, "ns/op")
		})
	}
}
