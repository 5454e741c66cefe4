package runner

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/cuminwick/cuminwick/internal/soak/checker"
	"github.com/cuminwick/cuminwick/internal/soak/planner"
)

var (
	stopSeeds  = flag.Int("soak.stop-seeds", 1, "number of seeds of TestStopsAnswerAcceptedRequests")
	stopLength = flag.Duration("soak.stop-length", 12*time.Second, "time during which hosts are stopped")
)

// stoppedHosts is the number of entry hosts, three in each zone.
const stoppedHosts = 6

// Guards against requests that a server runs and whose callers get no whole answer, as their host was stopped as
// planned: callers keep their sessions and open new ones until the process has ended.
func TestStopsAnswerAcceptedRequests(t *testing.T) {
	soakSeeds(t, *stopSeeds, soakStops)
}

func soakStops(t *testing.T, seed uint64) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d := &deployment{directory: newDirectory(t, "soak-stops", seed), hostCount: stoppedHosts, statementTime: usualStatement}
	_, d.connections = kindOfSoak(seed)
	s := &soakRun{
		deployment: d, random: rand.New(rand.NewPCG(seed, 1)), injector: &injector{deployment: d},
		plan: planner.Stops(seed, *stopLength), staying: true,
	}
	s.test(ctx, t, seed)
}

// Guards against a reload of settings that ends a process which is still reading them for the first time.
func TestReloadDuringStartEndsNoProcess(t *testing.T) {
	h := &host{directory: t.TempDir()}
	h.settings = filepath.Join(h.directory, "settings")
	if err := syscall.Mkfifo(h.settings, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := h.start(); err != nil {
		t.Fatal(err)
	}
	f, err := os.OpenFile(h.settings, os.O_WRONLY, 0) // waits until the process reads
	if err != nil {
		t.Fatal(err)
	}
	h.signal(syscall.SIGHUP)
	f.Close()
	<-h.exited
	if x := h.command.ProcessState; x.ExitCode() <= 0 {
		t.Errorf("the process ends with %s, not with an error of its empty settings", x)
	}
}

// lateAnswer is the time after which a statement counts as late in the summary.
const lateAnswer = 300 * time.Millisecond

// stopSummary tells how callers were served by hosts that were stopping, and how long the stops took.
func (s *soakRun) stopSummary() string {
	var services [checker.ServiceNotOpened + 1]int
	late := 0
	stops := s.injector.plannedStops()
	for _, r := range s.deployment.recorders {
		for _, x := range r.History().Served {
			if !slices.ContainsFunc(stops, func(p checker.Stop) bool { return p.Covers(x) }) {
				continue
			}
			services[x.Service]++
			if x.Service == checker.ServiceAnswered && x.Ended.Sub(x.Sent) > lateAnswer {
				late++
			}
		}
	}
	var times []time.Duration
	for _, p := range stops {
		times = append(times, p.Grace.Round(time.Millisecond))
	}
	slices.Sort(times)
	return fmt.Sprintf("at stopping hosts: %d answered (%d late), %d refused, %d broken off, %d sessions not opened; stops took %v in the median, %v at most",
		services[checker.ServiceAnswered], late, services[checker.ServiceRefused], services[checker.ServiceBrokenOff], services[checker.ServiceNotOpened],
		times[len(times)/2], times[len(times)-1])
}
