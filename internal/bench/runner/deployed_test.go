package runner

import (
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/cuminwick/cuminwick/internal/bench/definer"
)

// discardLog returns a logger that discards all entries.
func discardLog() log.Interface {
	return &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}
}

// prepare returns a run of a scenario on the first deployment, kalkul-db, and its system.
func prepare(t *testing.T, scenario, policy string) (*Run, *DeployedSystem) {
	t.Helper()
	d := definer.Deployments()[0]
	s, ok := definer.Find(definer.Scenarios(), scenario)
	if !ok {
		t.Fatalf("no scenario %s", scenario)
	}
	p, ok := definer.Find(definer.Policies(), policy)
	if !ok {
		t.Fatalf("no policy %s", policy)
	}
	s.DrawFaults(1)
	l := s.Load(&d)
	x := &DeployedSystem{Deployment: d, Load: l, Policy: p, FollowConfiguration: s.FollowConfiguration, Log: discardLog()}
	return &Run{Scenario: s, Deployment: d, Load: l, Policy: p, System: x, User: callersUser, Seed: 1, Duration: 3 * time.Second}, x
}

// Guards against violated guarantees when a fault occurs in a whole deployment under load. Requests may
// be refused or delayed, but the outcomes that callers receive must agree with the groups' data.
func TestDeploymentKeepsPromises(t *testing.T) {
	for _, s := range []string{"primary-crash", "rolling-restart", "apply-race"} {
		t.Run(s, func(t *testing.T) {
			b := &Bench{
				Scenario:   s,
				Deployment: "kalkul-db",
				Policy:     definer.DefaultPolicy,
				Seed:       1,
				Duration:   3 * time.Second,
				Log:        discardLog(),
			}
			r, err := b.Run(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			if r.Failed() {
				t.Errorf("violations %+v, %d groups unsettled\n%v\n%v", r.Violations, r.UnsettledGroups, r.Examples, r.Sessions)
			}
			if r.Outcomes.Ran == 0 || r.RegionLinkBytes == 0 || r.Reads == 0 {
				t.Errorf("too little load: %+v", r)
			}
			if s == "apply-race" && (r.Applies.InForce < 2 || r.Applies.Refused == 0) {
				t.Errorf("too few applies by the operators: %+v", r.Applies)
			}
		})
	}
}

func TestErrUnknownName(t *testing.T) {
	for name, b := range map[string]Bench{
		"scenario":   {Scenario: "none", Deployment: "kalkul-db", Policy: definer.DefaultPolicy},
		"deployment": {Scenario: "steady", Deployment: "none", Policy: definer.DefaultPolicy},
		"policy":     {Scenario: "steady", Deployment: "kalkul-db", Policy: "none"},
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := b.Run(t.Context()); err == nil {
				t.Error("accepted")
			}
		})
	}
}
