package reporter

import (
	"context"
	"strings"
	"testing"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/cuminwick/cuminwick/internal/log/encoder"
	"github.com/cuminwick/cuminwick/internal/proxy/executor"
)

// Guards against a session that is ended for what its caller sent without a trace of it, and against a
// line for each session that ends as usual.
func TestSessionEndsAreTold(t *testing.T) {
	for c, name := range endCauses {
		t.Run(name, func(t *testing.T) {
			var b strings.Builder
			e := &encoder.Encoder{Writer: &b, QueueBytes: 1 << 20}
			o := &Reporter{Lines: e, Metrics: newTestMetrics()}
			o.SessionEnd(executor.SessionEnd{Database: "books", Cause: c, Err: errors.New("message \"HELLO\"")})
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			if err := e.Run(ctx); err != nil {
				t.Fatal(err)
			}
			if n := testutil.ToFloat64(o.Metrics.ends.WithLabelValues(name)); n != 1 {
				t.Errorf("%v ends counted", n)
			}
			odd := name == "cut" || name == "malformed" || name == "too-long" || name == "unread"
			told := strings.Contains(b.String(), `"session ended","cause":"`+name+`","database":"books","error":"message \"HELLO\""`)
			if told != odd || !odd && b.Len() > 0 {
				t.Errorf("line %q", b.String())
			}
		})
	}
	if len(endCauses) != int(executor.EndStopped)+1 {
		t.Errorf("%d causes have names", len(endCauses))
	}
}

// Guards against a log that is filled by callers who are cut off again and again, or by the names that they send.
func TestSessionEndsAreLoggedAtBoundedRate(t *testing.T) {
	var b strings.Builder
	e := &encoder.Encoder{Writer: &b, QueueBytes: 1 << 20}
	o := &Reporter{Lines: e, Metrics: newTestMetrics()}
	for range 1000 {
		o.SessionEnd(executor.SessionEnd{Database: strings.Repeat("x", 1<<10), Cause: executor.EndCut, Err: executor.ErrCut})
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := e.Run(ctx); err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(b.String(), "session ended"); n < linesBurst || n > 2*linesBurst || b.Len() > n<<9 {
		t.Errorf("%d lines, %d bytes", n, b.Len())
	}
}
