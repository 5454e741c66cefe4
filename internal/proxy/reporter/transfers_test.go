package reporter

import (
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

// The log must report how much of an answer arrived if the call was aborted, and why an answer
// was not sent, such as when a request was not understood.
func TestTransfersLogAbortedAnswers(t *testing.T) {
	h := memory.New()
	r := &Transfers{Log: &log.Logger{Handler: h}, Metrics: NewMetrics(Gauges{})}
	r.Received(declarer.Transfer{Source: declarer.SourceHost, Kind: "config", Bytes: 30})
	r.Received(declarer.Transfer{Kind: "config", Bytes: 300_000, Took: time.Second})
	r.Received(declarer.Transfer{Kind: "config", Bytes: 400, Err: errors.New("deadline exceeded")})
	r.Sent(declarer.Transfer{Source: declarer.SourceHost, Kind: "config", Bytes: largeAnswer})
	r.Sent(declarer.Transfer{Source: declarer.SourceHost, Kind: "config", Err: errors.New("message not understood")})
	var got []string
	for _, e := range h.Entries {
		got = append(got, e.Message)
	}
	want := []string{"answer received", "answer received in part", "answer sent", "answer not sent"}
	if len(got) != len(want) {
		t.Fatalf("lines %q, want %q", got, want)
	}
	for i := range want {
		if got[i] != want[i] {
			t.Errorf("line %d is %q, want %q", i, got[i], want[i])
		}
	}
	if n := testutil.ToFloat64(r.Metrics.received.WithLabelValues("store", "config", "cut")); n != 400 {
		t.Errorf("%v bytes counted as cut, want 400", n)
	}
}
