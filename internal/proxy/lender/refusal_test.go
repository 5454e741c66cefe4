package lender

import (
	"testing"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/limit/admitter"
	"github.com/cuminwick/cuminwick/internal/limit/forecaster"
	"github.com/cuminwick/cuminwick/internal/proxy/connpooler"
)

// Guards against a forecast that the owner computes but doesn't send, and against one that goes with a
// server that can't be reached.
func TestRefusalKeepsForecast(t *testing.T) {
	f := forecaster.Forecast{Admits: 15, For: 50 * time.Millisecond}
	r := refusalOf(errors.Trace(&connpooler.Refusal{Server: "i", Reason: admitter.ReasonQueueFull, RetryAfter: time.Second, Forecast: f}))
	if r.Forecast != f || r.RetryAfter != time.Second || r.Unreachable {
		t.Errorf("refusal %+v", r)
	}
	if r := refusalOf(connpooler.ErrUnreachable); r.Forecast != (forecaster.Forecast{}) || !r.Unreachable {
		t.Errorf("refusal %+v of an unreachable server", r)
	}
}
