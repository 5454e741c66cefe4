package reporter

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus/testutil"
)

func newInvalidObjects() (*InvalidObjects, *memory.Handler) {
	h := memory.New()
	return &InvalidObjects{Log: &log.Logger{Handler: h, Level: log.InfoLevel}, Metrics: newTestMetrics()}, h
}

// Another writer leaves an invalid object. Guards against a log line each time that it is read, and against one
// that an operator never sees again.
func TestInvalidObjectIsLoggedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x, h := newInvalidObjects()
		for range 100 {
			x.Report(EffectSkipped, errors.New("server odd: not JSON"))
			time.Sleep(time.Second)
		}
		if len(h.Entries) != 1 {
			t.Errorf("%d lines for an object that stays, want 1", len(h.Entries))
		}
		if n := testutil.ToFloat64(x.Metrics.invalid.WithLabelValues(EffectSkipped)); n != 100 {
			t.Errorf("%v counted, want 100", n)
		}
		x.Report(EffectPartial, errors.New("server odd: not JSON"))
		time.Sleep(invalidInterval)
		x.Report(EffectSkipped, errors.New("server odd: not JSON"))
		if len(h.Entries) != 3 {
			t.Errorf("%d lines, want one more for the other effect and one after a while", len(h.Entries))
		}
	})
}

// Another writer changes an object again and again. Guards against a log that grows with it.
func TestInvalidObjectsAreLoggedAtBoundedRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x, h := newInvalidObjects()
		for i := range 10_000 {
			x.Report(EffectSkipped, fmt.Errorf("server odd: revision %d", i))
			time.Sleep(10 * time.Millisecond)
		}
		if n := len(h.Entries); n < invalidBurst || n > invalidBurst+11 {
			t.Errorf("%d lines in 100 s", n)
		}
		if n, _ := h.Entries[len(h.Entries)-1].Fields.Get("suppressed").(int); n < 500 {
			t.Errorf("the last line tells of %d suppressed ones", n)
		}
	})
}
