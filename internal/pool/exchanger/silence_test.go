package exchanger

import (
	"context"
	"testing"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/backend/dialer"
)

// words answers questions in turn, and goes on with the last answer.
type words struct {
	working []bool
	err     error
	asked   int
}

func (w *words) Working(context.Context, uint32) (bool, error) {
	if w.err != nil {
		return false, w.err
	}
	i := min(w.asked, len(w.working)-1)
	w.asked++
	return w.working[i], nil
}

func (w *words) Terminate(context.Context, []uint32) error { return nil }

// A connection may have gone silent, or its statement takes long. Ending the
// latter would cut off a report that only needs its time; waiting for the former
// would keep its caller for good. Questions cost connections, so they get rarer.
func TestSilence(t *testing.T) {
	ended, stop := context.WithCancel(t.Context())
	stop()
	tests := []struct {
		name   string
		ctx    context.Context
		prober *words
		rounds int
		silent bool
		next   time.Duration
	}{
		{name: "denied once", ctx: t.Context(), prober: &words{working: []bool{false}}, rounds: 1, next: doubt},
		{name: "denied twice", ctx: t.Context(), prober: &words{working: []bool{false}}, rounds: 2, silent: true, next: doubt},
		{name: "denied, then at work", ctx: t.Context(), prober: &words{working: []bool{false, true}}, rounds: 2, next: 2 * patience},
		{name: "denied, at work, denied", ctx: t.Context(), prober: &words{working: []bool{false, true, false}}, rounds: 3, next: doubt},
		{name: "long at work", ctx: t.Context(), prober: &words{working: []bool{true}}, rounds: 100, next: maximumPatience},
		{name: "can't be asked", ctx: t.Context(), prober: &words{err: errors.New("refused")}, rounds: 10, next: patience},
		{name: "can't be asked for a caller that gave up", ctx: ended, prober: &words{err: errors.New("refused")}, rounds: 1, next: patience},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := &dialer.Conn{Patience: patience}
			s := &silence{ctx: tt.ctx, conn: c, prober: tt.prober}
			var err error
			for range tt.rounds {
				err = s.judge()
			}
			if errors.Is(err, ErrSilent) != tt.silent || !tt.silent && err != nil {
				t.Errorf("error %v, want silent %t", err, tt.silent)
			}
			if c.Patience != tt.next {
				t.Errorf("next question after %v, want %v", c.Patience, tt.next)
			}
		})
	}
}
