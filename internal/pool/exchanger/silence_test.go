package exchanger

import (
	"context"
	"testing"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/backend/dialer"
)

// fakeProber returns its answers in turn, and repeats the last one.
type fakeProber struct {
	answers []bool
	err     error
	probes  int
}

func (w *fakeProber) Working(context.Context, uint32) (bool, error) {
	if w.err != nil {
		return false, w.err
	}
	i := min(w.probes, len(w.answers)-1)
	w.probes++
	return w.answers[i], nil
}

func (w *fakeProber) Terminate(context.Context, []uint32) error { return nil }

// A connection that delivers no bytes is either dead or runs a long statement. Closing it in the
// second case would abort a statement that merely takes long; waiting in the first case would block
// the caller forever. Each probe costs a connection, so the delay between probes must grow.
func TestSilence(t *testing.T) {
	ended, stop := context.WithCancel(t.Context())
	stop()
	tests := []struct {
		name   string
		ctx    context.Context
		prober *fakeProber
		rounds int
		silent bool
		next   time.Duration
	}{
		{name: "idle once", ctx: t.Context(), prober: &fakeProber{answers: []bool{false}}, rounds: 1, next: confirmationDelay},
		{name: "idle twice", ctx: t.Context(), prober: &fakeProber{answers: []bool{false}}, rounds: 2, silent: true, next: confirmationDelay},
		{name: "idle, then active", ctx: t.Context(), prober: &fakeProber{answers: []bool{false, true}}, rounds: 2, next: 2 * probeDelay},
		{name: "idle, active, idle", ctx: t.Context(), prober: &fakeProber{answers: []bool{false, true, false}}, rounds: 3, next: confirmationDelay},
		{name: "active for long", ctx: t.Context(), prober: &fakeProber{answers: []bool{true}}, rounds: 100, next: maximumProbeDelay},
		{name: "can't be probed", ctx: t.Context(), prober: &fakeProber{err: errors.New("refused")}, rounds: 10, next: probeDelay},
		{name: "can't be probed after the caller cancelled", ctx: ended, prober: &fakeProber{err: errors.New("refused")}, rounds: 1, next: probeDelay},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := &dialer.Conn{ReadTimeout: probeDelay}
			s := &silenceDetector{ctx: tt.ctx, conn: c, prober: tt.prober}
			var err error
			for range tt.rounds {
				err = s.probe()
			}
			if errors.Is(err, ErrSilent) != tt.silent || !tt.silent && err != nil {
				t.Errorf("error %v, want silent %t", err, tt.silent)
			}
			if c.ReadTimeout != tt.next {
				t.Errorf("next probe after %v, want %v", c.ReadTimeout, tt.next)
			}
		})
	}
}
