package runner

import (
	"testing"
	"time"
)

// Guards against a process that is killed while it still drains, as the settings have shortened its grace period.
func TestShorterGraceHoldsDuringStop(t *testing.T) {
	for name, x := range map[string]struct{ later, want time.Duration }{
		"shorter": {4 * time.Second, 4 * time.Second},
		"longer":  {9 * time.Second, 6 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			b := Bounds{Grace: 6 * time.Second}
			p := &plannedStop{began: time.Now(), initialGrace: b.Grace, bounds: func() Bounds { return b }}
			b.Grace = x.later
			if got := p.answerBy().Sub(p.began); got != x.want-answerReserve {
				t.Errorf("statements are answered after %v", got)
			}
		})
	}
}
