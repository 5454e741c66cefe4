package driver

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cuminwick/cuminwick/internal/bench/definer"
	"github.com/cuminwick/cuminwick/internal/standin/responder"
)

// hosts is the number of entry hosts in the benchmarks.
const hosts = 6

// BenchmarkGap measures the time from the last acknowledged write before a loss of the primary to the
// first one after it, in all deployments. Each operation is one loss. Run it with -benchtime=20x.
func BenchmarkGap(b *testing.B) {
	for _, p := range definer.Deployments() {
		for _, k := range append(failures, failure{name: "planned"}) {
			for _, outage := range []bool{false, true} {
				b.Run(fmt.Sprintf("%s/%s/outage=%t", p.Name, k.name, outage), func(b *testing.B) {
					measure(b, p, k, outage)
				})
			}
		}
	}
}

func measure(b *testing.B, p definer.Deployment, k failure, outage bool) {
	r := newRig(b, hosts, p)
	r.store.SetOutage(outage)
	var s []time.Duration
	for n := range b.N {
		r.caller = n % hosts
		s = append(s, r.gap(k))
	}
	slices.Sort(s)
	b.ReportMetric(float64(s[len(s)/2].Milliseconds()), "ms-median")
	b.ReportMetric(float64(s[len(s)-1].Milliseconds()), "ms-worst")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkAcknowledge measures how long a commit waits for a majority, for callers of each host in
// turn.
func BenchmarkAcknowledge(b *testing.B) {
	for _, p := range definer.Deployments() {
		b.Run(p.Name, func(b *testing.B) {
			r := newRig(b, hosts, p)
			var s []time.Duration
			for n := range b.N {
				r.caller = n % hosts
				m, err := r.write(r.ctx, r.primary(), r.insert())
				if err != nil {
					b.Fatal(err)
				}
				t := time.Now()
				if err := r.drivers[r.caller].WaitAcknowledged(r.ctx, m); err != nil {
					b.Fatal(err)
				}
				s = append(s, time.Since(t))
			}
			slices.Sort(s)
			b.ReportMetric(float64(s[len(s)/2].Microseconds())/1000, "ms-median")
			b.ReportMetric(float64(s[len(s)*99/100].Microseconds())/1000, "ms-p99")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// gap makes the primary fail once or hands it over, waits until its server is back as a replica, and
// returns the gap in writes.
func (r *rig) gap(k failure) time.Duration {
	for _, s := range r.group.Servers {
		if _, err := r.conn(r.ctx, s); err != nil {
			r.tb.Fatal(err)
		}
	}
	t := r.exec(r.insert())
	old := r.primary()
	if k.begin == nil {
		d := r.plannedGap(old.Name, t)
		r.settle(old)
		return d
	}
	k.begin(old)
	d := r.exec(r.insert()).Sub(t)
	k.end(old)
	r.settle(old)
	return d
}

// plannedGap hands over while a caller writes continuously, and returns the longest time between two
// acknowledged writes. t is the time of the previous one.
func (r *rig) plannedGap(old string, t time.Time) time.Duration {
	done := make(chan error, 1)
	go func() { done <- r.drivers[r.caller].HandOver(r.ctx, old) }()
	var d time.Duration
	for over := false; ; {
		n := r.exec(r.insert())
		d = max(d, n.Sub(t))
		t = n
		if over {
			return d
		}
		select {
		case err := <-done:
			if err != nil {
				r.tb.Fatal(err)
			}
			over = true
		default:
		}
	}
}

// settle waits until all hosts have a view with another confirmed primary that the old one follows.
func (r *rig) settle(old *responder.Server) {
	for _, d := range r.drivers {
		for {
			v := d.View()
			o, _ := v.Server(old.Name)
			if v.Confirmed && v.Primary != old.Name && o.Fresh && o.Status.Following == v.Primary && o.Status.Last.Term == v.Term {
				break
			}
			time.Sleep(time.Millisecond)
		}
	}
}

// BenchmarkPauses pauses one instance for 200 ms in every second, one second an operation, and
// reports the number of resulting promotions, which should be zero.
func BenchmarkPauses(b *testing.B) {
	r := newRig(b, hosts, definer.Deployments()[0])
	for n := range b.N {
		s := r.group.Servers[n%len(r.group.Servers)]
		s.Pause(true)
		time.Sleep(200 * time.Millisecond)
		s.Pause(false)
		time.Sleep(800 * time.Millisecond)
	}
	b.ReportMetric(float64(r.drivers[0].View().Term-1), "promotions")
}
