package observer

import (
	"testing"
	"time"

	"github.com/cuminwick/cuminwick/internal/backend/controller"
	"github.com/cuminwick/cuminwick/internal/group/marker"
)

const ms = time.Millisecond

var settings = Settings{SuspicionTimeout: 400 * ms, RefusalTimeout: 200 * ms, IsolationTimeout: 600 * ms, NoPrimaryTimeout: 200 * ms, MaximumStatusAge: 500 * ms, TermAheadTimeout: time.Second}

// replica is the status of a replica of db-1 that last received from it d ago.
func replica(d time.Duration) controller.Status {
	return controller.Status{Role: controller.RoleReplica, Term: 2, Last: marker.Mark{Term: 2, Position: 9}, Following: "db-1", SinceLastContact: d}
}

// observed is an observation of age a after n failed calls.
func observed(s controller.Status, a time.Duration, n int) Observation {
	return Observation{Status: s, Answered: true, PolledAt: 10*time.Second - a, Failures: n}
}

// refused marks o as the observation of a server whose machine refuses connections.
func refused(o Observation) Observation {
	o.Refused = true
	return o
}

func TestObserve(t *testing.T) {
	primary := controller.Status{Role: controller.RolePrimary, Term: 2, Last: marker.Mark{Term: 2, Position: 9}, TermStart: 5}
	fenced := controller.Status{Role: controller.RoleReplica, Term: 3, Last: marker.Mark{Term: 2, Position: 9}}
	fresh := controller.Status{Role: controller.RolePrimary, Term: 3, Last: marker.Mark{Term: 3, Position: 10}, TermStart: 10}
	lost := PrimaryReport{Host: "entry-1", Primary: "db-1", Term: 2, Lost: true}
	reached := PrimaryReport{Host: "entry-2", Primary: "db-1", Term: 2}
	old := PrimaryReport{Host: "entry-3", Primary: "db-1", Term: 1}
	tests := []struct {
		name     string
		observed [3]Observation
		reports  []PrimaryReport
		reason   Reason
		obstacle Obstacle
	}{
		{"healthy", [3]Observation{observed(primary, 0, 0), observed(replica(0), 0, 0), observed(replica(0), 0, 0)}, nil, ReasonNone, ObstacleNone},
		{"crashed", [3]Observation{observed(primary, 600*ms, 5), observed(replica(450*ms), 0, 0), observed(replica(450*ms), 0, 0)}, nil, ReasonUnreachable, ObstaclePrimarySilent},
		{"another host agrees", [3]Observation{observed(primary, 600*ms, 5), observed(replica(450*ms), 0, 0), observed(replica(450*ms), 0, 0)}, []PrimaryReport{reached, lost}, ReasonUnreachable, ObstaclePrimarySilent},
		{"all other hosts reach it", [3]Observation{observed(primary, 600*ms, 5), observed(replica(450*ms), 0, 0), observed(replica(450*ms), 0, 0)}, []PrimaryReport{reached}, ReasonNone, ObstaclePrimarySilent},
		{"reports on an old term do not count", [3]Observation{observed(primary, 600*ms, 5), observed(replica(450*ms), 0, 0), observed(replica(450*ms), 0, 0)}, []PrimaryReport{old}, ReasonUnreachable, ObstaclePrimarySilent},
		{"only this host cannot reach it", [3]Observation{observed(primary, 5*time.Second, 50), observed(replica(0), 0, 0), observed(replica(10*ms), 0, 0)}, nil, ReasonNone, ObstaclePrimarySilent},
		{"one replica receives from it", [3]Observation{observed(primary, 5*time.Second, 50), observed(replica(5*time.Second), 0, 0), observed(replica(10*ms), 0, 0)}, nil, ReasonNone, ObstaclePrimarySilent},
		{"one failure on a stale connection", [3]Observation{observed(primary, 450*ms, 1), observed(replica(450*ms), 0, 0), observed(replica(450*ms), 0, 0)}, nil, ReasonNone, ObstacleNone},
		{"process ended, connections refused", [3]Observation{refused(observed(primary, 300*ms, 2)), observed(replica(250*ms), 0, 0), observed(replica(250*ms), 0, 0)}, nil, ReasonUnreachable, ObstacleSuspected},
		{"silent for the refusal timeout only", [3]Observation{observed(primary, 300*ms, 2), observed(replica(250*ms), 0, 0), observed(replica(250*ms), 0, 0)}, nil, ReasonNone, ObstacleNone},
		{"refused here, reached from elsewhere", [3]Observation{refused(observed(primary, 300*ms, 2)), observed(replica(250*ms), 0, 0), observed(replica(250*ms), 0, 0)}, []PrimaryReport{reached}, ReasonNone, ObstacleNone},
		{"refused here, received by the replicas", [3]Observation{refused(observed(primary, 5*time.Second, 50)), observed(replica(20*ms), 0, 0), observed(replica(20*ms), 0, 0)}, nil, ReasonNone, ObstaclePrimarySilent},
		{"refused once", [3]Observation{refused(observed(primary, 300*ms, 1)), observed(replica(250*ms), 0, 0), observed(replica(250*ms), 0, 0)}, nil, ReasonNone, ObstacleNone},
		{"answers but isolated", [3]Observation{observed(primary, 0, 0), observed(replica(850*ms), 0, 0), observed(replica(850*ms), 0, 0)}, []PrimaryReport{reached}, ReasonIsolated, ObstacleSuspected},
		{"majority not reachable", [3]Observation{observed(primary, 0, 0), observed(replica(0), time.Second, 9), observed(replica(0), time.Second, 9)}, nil, ReasonNone, ObstacleNoMajority},
		{"fenced, no instance promoted", [3]Observation{observed(primary, 0, 0), observed(fenced, 0, 0), observed(fenced, 0, 0)}, nil, ReasonNoPrimary, ObstacleNoPrimary},
		{"one instance fenced by an incomplete promotion", [3]Observation{observed(primary, 0, 0), observed(replica(0), 0, 0), observed(fenced, 0, 0)}, nil, ReasonTermAhead, ObstacleNone},
		{"term-start record at the primary only", [3]Observation{observed(replica(0), 0, 0), observed(fresh, 0, 0), observed(replica(0), 0, 0)}, nil, ReasonNone, ObstacleTermStart},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var v View
			for _, at := range []time.Duration{8 * time.Second, 10 * time.Second} {
				v = Observe(at, settings, servers(tt.observed, at), tt.reports, v)
				if tt.name == "term-start record at the primary only" && at < 10*time.Second {
					v = View{}
				}
			}
			if v.Reason != tt.reason || v.Obstacle != tt.obstacle {
				t.Errorf("reason %q, obstacle %q; want %q, %q", v.Reason, v.Obstacle, tt.reason, tt.obstacle)
			}
		})
	}
}

// servers returns the servers of the observations o, which are as of 10 s, shifted to the time at.
func servers(o [3]Observation, at time.Duration) []Server {
	var s []Server
	for i, n := range []string{"db-1", "db-2", "db-3"} {
		o[i].PolledAt += at - 10*time.Second
		s = append(s, Server{Name: n, Observation: o[i]})
	}
	return s
}
