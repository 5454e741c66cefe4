package limiter

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	window = 5 * time.Second
	// overage and slack are what a deployment tolerates beyond a limit in a window: a part of it, and
	// a number of operations.
	overage = 0.1
	slack   = 20
)

var tolerance = Tolerance{Window: window, Overage: overage, Slack: slack}

// deployment is one limiter for each of several parts, with tokens on their way between them.
type deployment struct {
	parts []*Limiter
	now   time.Duration
	// granted holds the times of the granted operations.
	granted []time.Duration
	// moving are the tokens on their way, by the part that they are for.
	moving []transfer
}

type transfer struct {
	to int
	n  float64
}

// newDeployment returns a deployment that began at a time when nothing had been sent.
func newDeployment(parts int) *deployment {
	d := &deployment{}
	for range parts {
		d.parts = append(d.parts, &Limiter{Parts: parts, Tolerance: tolerance})
	}
	return d
}

func (d *deployment) take(part int, m Limit) bool { return d.takeAt(0, part, m) }

func (d *deployment) takeAt(level uint8, part int, m Limit) bool {
	x := d.parts[part].TakeAt(level, "c", m, d.now)
	if x.Granted {
		d.granted = append(d.granted, d.now)
	}
	return x.Granted
}

// most returns the largest number of grants in any window.
func most(granted []time.Duration) int {
	n, from := 0, 0
	for i, t := range granted {
		for t-granted[from] > window {
			from++
		}
		n = max(n, i-from+1)
	}
	return n
}

// Guards against more operations than the limit allows in any window, whatever the parts ask of each
// other and whichever answers are lost.
func TestPartsTogetherKeepTheLimit(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		m := Limit{Rate: rapid.Float64Range(0.5, 200).Draw(r, "rate"), Burst: rapid.Float64Range(0, 200).Draw(r, "burst")}
		d := newDeployment(rapid.IntRange(1, 7).Draw(r, "parts"))
		for range rapid.IntRange(1, 400).Draw(r, "steps") {
			d.now += time.Duration(rapid.IntRange(0, 60).Draw(r, "ms")) * time.Millisecond
			p := rapid.IntRange(0, len(d.parts)-1).Draw(r, "part")
			switch rapid.IntRange(0, 5).Draw(r, "action") {
			case 0:
				n := d.parts[p].Missing("c", m, d.now) / float64(max(1, len(d.parts)-1))
				for o := range d.parts {
					d.moving = append(d.moving, transfer{p, d.parts[o].Give("c", m, n, d.now)})
				}
			case 1:
				d.arrive(rapid.Bool().Draw(r, "lost"), m)
			default:
				level := uint8(rapid.IntRange(0, LevelCount).Draw(r, "level"))
				for range rapid.IntRange(1, 40).Draw(r, "operations") {
					d.takeAt(level, p, m)
				}
			}
		}
		if n, limit := most(d.granted), (m.Rate*window.Seconds()+m.Burst)*(1+overage)+slack; float64(n) > limit {
			r.Errorf("%d operations in a window, limit %g", n, limit)
		}
	})
}

// arrive has the oldest transfer arrive or get lost.
func (d *deployment) arrive(lost bool, m Limit) {
	if len(d.moving) == 0 {
		return
	}
	x := d.moving[0]
	d.moving = d.moving[1:]
	if !lost {
		d.parts[x.to].Receive("c", m, x.n, d.now)
	}
}

// Guards against refusals below the limit of a customer whose callers are all in one part: tokens of
// the other parts are drawn.
func TestDemandInOnePartDrawsFromTheOthers(t *testing.T) {
	for _, m := range []Limit{{Rate: 4, Burst: 4}, {Rate: 22, Burst: 22}, {Rate: 119, Burst: 119}} {
		t.Run(fmt.Sprint(m.Rate), func(t *testing.T) {
			d := newDeployment(6)
			refused, sent := 0, 0
			for i := range int(0.9 * m.Rate * 60) {
				d.now = time.Duration(float64(i) / (0.9 * m.Rate) * float64(time.Second))
				sent++
				if x := d.parts[0].Take("c", m, d.now); x.Low {
					d.draw(0, m)
					if !x.Granted && !d.take(0, m) {
						refused++
					}
				}
			}
			if refused*1000 > sent {
				t.Errorf("%d of %d operations at nine tenths of the limit refused", refused, sent)
			}
		})
	}
}

// draw has a part draw from all others at once.
func (d *deployment) draw(part int, m Limit) {
	n := d.parts[part].Missing("c", m, d.now) / float64(len(d.parts)-1)
	for i, o := range d.parts {
		if i != part {
			d.parts[part].Receive("c", m, o.Give("c", m, n, d.now), d.now)
		}
	}
}

func TestTake(t *testing.T) {
	m := Limit{Rate: 10, Burst: 2}
	l := &Limiter{Parts: 1}
	for i, want := range []Decision{{Granted: true, Low: false}, {Granted: true, Low: true}, {RetryAfter: 100 * time.Millisecond, Low: true}} {
		if got := l.Take("c", m, time.Second); got.Granted != want.Granted || got.RetryAfter != want.RetryAfter {
			t.Errorf("operation %d: %+v, want %+v", i, got, want)
		}
	}
	if got := l.Take("c", m, 1100*time.Millisecond); !got.Granted {
		t.Errorf("refused at the time told: %+v", got)
	}
	if got := l.Take("other", Limit{}, 0); !got.Granted {
		t.Errorf("customer without a limit: %+v", got)
	}
}

// Guards against a lowered limit that binds only when the tokens of the higher one are used up.
func TestLoweredLimitBindsAtOnce(t *testing.T) {
	l := &Limiter{Parts: 1}
	high, low := Limit{Rate: 100, Burst: 100}, Limit{Rate: 5, Burst: 5}
	l.Take("c", high, 10*time.Second)
	n := 0
	for range 100 {
		if l.Take("c", low, 10*time.Second).Granted {
			n++
		}
	}
	if n > 5 {
		t.Errorf("%d operations at once, burst 5", n)
	}
}

// Guards against a part that gives away what its own callers need, and against tokens that a part
// gives after it had to refuse.
func TestGiveKeepsOwnDemand(t *testing.T) {
	m := Limit{Rate: 40, Burst: 40}
	l := &Limiter{Parts: 2}
	now := 10 * time.Second
	for range 10 {
		l.Take("c", m, now)
		now += 50 * time.Millisecond
	}
	before := l.accounts["c"].tokens
	if g := l.Give("c", m, 100, now); g <= 0 || g > before/2 {
		t.Errorf("gave %g of %g", g, before)
	}
	for l.Take("c", m, now).Granted {
	}
	if g := l.Give("c", m, 100, now+emptyPause/2); g != 0 {
		t.Errorf("gave %g after a refusal", g)
	}
}

// Guards against accounts of customers that were taken out of the configuration, whose number would
// grow for ever.
func TestRetain(t *testing.T) {
	l := &Limiter{}
	for _, c := range []string{"a", "b"} {
		l.Take(c, Limit{Rate: 1, Burst: 1}, 0)
	}
	l.Retain(func(c string) bool { return c == "b" })
	if len(l.accounts) != 1 {
		t.Errorf("%d accounts", len(l.accounts))
	}
}
