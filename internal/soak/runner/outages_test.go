package runner

import (
	"context"
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cuminwick/cuminwick/internal/soak/planner"
)

var (
	outageSeeds  = flag.Int("soak.outage-seeds", 1, "number of seeds of TestHostsRecoverFromOutages")
	outageLength = flag.Duration("soak.outage-length", 12*time.Second, "time during which the store has outages")
)

// Guards against hosts that don't follow the store after an outage, or go back to what they had, as others are cut off from
// it, paused or killed when it ends, while operators change the configuration.
func TestHostsRecoverFromOutages(t *testing.T) {
	soakSeeds(t, *outageSeeds, soakOutages)
}

func soakOutages(t *testing.T, seed uint64) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d := &deployment{directory: newDirectory(t, "soak-outages", seed), hostCount: stoppedHosts, statementTime: shortStatement}
	_, d.connections = kindOfSoak(seed)
	s := &soakRun{
		deployment: d, random: rand.New(rand.NewPCG(seed, 1)), injector: &injector{deployment: d},
		plan: planner.Outages(seed, *outageLength, stoppedHosts),
	}
	s.test(ctx, t, seed)
}
