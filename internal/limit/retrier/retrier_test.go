package retrier

import "testing"

func TestOnlySafeRetries(t *testing.T) {
	tests := []struct {
		name       string
		o          Outcome
		repeatable bool
		want       bool
	}{
		{name: "not run", o: OutcomeNotRun, want: true},
		{name: "unknown read", o: OutcomeUnknown, repeatable: true, want: true},
		{name: "unknown write", o: OutcomeUnknown},
		{name: "ran", o: OutcomeRan, repeatable: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := new(Budget).Allow(tt.o, tt.repeatable); got != tt.want {
				t.Errorf("Allow = %t, want %t", got, tt.want)
			}
		})
	}
}

// Guards against retries that double the load of an overloaded server: it refuses all requests for a
// while, and each refused request is retried.
func TestRetriesStayWithinTheirShare(t *testing.T) {
	var b Budget
	n := 0
	for range 10000 {
		b.CountRequest()
		for b.Allow(OutcomeNotRun, false) {
			n++
		}
	}
	if n < 1000 || n > 1000+DefaultBurst {
		t.Errorf("%d retries of 10000 requests, want a tenth", n)
	}
}

func TestHasReserve(t *testing.T) {
	b := Budget{Share: 0.5, Burst: 4}
	for n := range 3 {
		if !b.HasReserve() {
			t.Errorf("no reserve after %d of 4 retries", n)
		}
		b.Allow(OutcomeNotRun, true)
	}
	if b.HasReserve() {
		t.Error("reserve although more than half of the retries are spent")
	}
	b.CountRequest()
	b.CountRequest()
	if !b.HasReserve() {
		t.Error("no reserve after first runs have earned a retry")
	}
}

// Guards against less important requests that use up the whole budget, and against a reserve that is
// denied to the requests for which it is.
func TestLastQuarterIsReserved(t *testing.T) {
	b := Budget{Share: 0.5, Burst: 8}
	n := 0
	for b.AllowBeyondReserve(OutcomeNotRun, true) {
		n++
	}
	if n != 6 {
		t.Errorf("%d of 8 retries beyond the reserve, want 6", n)
	}
	for b.Allow(OutcomeNotRun, true) {
		n++
	}
	if n != 8 {
		t.Errorf("%d of 8 retries in total", n)
	}
	b.CountRequest()
	b.CountRequest()
	if b.AllowBeyondReserve(OutcomeNotRun, true) || !b.Allow(OutcomeNotRun, true) {
		t.Error("the first retry that is earned again isn't part of the reserve")
	}
	if new(Budget).AllowBeyondReserve(OutcomeUnknown, false) {
		t.Error("a write of unknown outcome may be repeated")
	}
}
