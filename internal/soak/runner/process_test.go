package runner

import (
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/bench/disturber"
	"github.com/cuminwick/cuminwick/internal/proxy/commander"
	"github.com/cuminwick/cuminwick/internal/soak/caller"
)

// hostProcessVariable is the environment variable that makes the test binary run as an entry host, so
// that no other binary is needed.
const hostProcessVariable = "CUMINWICK_SOAK_AS_HOST"

// settingsVariable is the environment variable with the path of an entry host's settings file.
const settingsVariable = "CUMINWICK_BOOT"

func TestMain(m *testing.M) {
	if os.Getenv(hostProcessVariable) != "" {
		os.Exit(commander.Run(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// host is one entry host, whose process is stopped and started again.
type host struct {
	caller.Host
	// place identifies the host in the network that injects faults.
	place disturber.Place
	// readiness is the address of the readiness check, peers that for other entry hosts.
	readiness string
	peers     string
	zone      string
	// directory holds the log, settings is the path of the settings file.
	directory string
	settings  string

	// storeCut is set while the host's calls to the store are left without an answer.
	storeCut atomic.Bool

	// faultLock is held by the active fault of the host, so that its faults do not overlap.
	faultLock sync.Mutex

	mu      sync.Mutex
	command *exec.Cmd
	// exited is closed when the process has ended.
	exited chan struct{}
	// incarnation is the number of times that the process was started.
	incarnation int
	output      *os.File
	// findings are unexpected or failed ends of the process.
	findings []string
	// endRequested reports that the process was killed or stopped by the test.
	endRequested bool
	// stopRequested is when a planned stop was requested, zero without one.
	stopRequested time.Time
}

// start starts the process.
func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	f, err := os.OpenFile(filepath.Join(h.directory, h.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Annotatef(err, "log of %s", h.Name)
	}
	c := exec.Command(os.Args[0], "serve")
	c.Env = append(os.Environ(), hostProcessVariable+"=1", settingsVariable+"="+h.settings)
	c.Stdout, c.Stderr = f, f
	if err := c.Start(); err != nil {
		return errors.Annotatef(err, "start %s", h.Name)
	}
	h.command, h.output, h.endRequested = c, f, false
	h.stopRequested = time.Time{}
	h.exited = make(chan struct{})
	h.incarnation++
	go h.run(c, h.exited)
	return nil
}

// run waits for the end of the process, adds a finding if it was not requested or failed, and closes
// exited.
func (h *host) run(c *exec.Cmd, exited chan struct{}) {
	err := c.Wait()
	h.mu.Lock()
	defer h.mu.Unlock()
	const raceExit = 66 // the race detector's default exit code
	if x := c.ProcessState.ExitCode(); x == raceExit || !h.endRequested {
		h.findings = append(h.findings, "ended: "+h.Name+" ended by itself or with a data race: "+c.ProcessState.String())
	} else if err != nil && x > 0 {
		h.findings = append(h.findings, "ended: "+h.Name+" failed: "+c.ProcessState.String())
	}
	h.output.Close()
	close(exited)
}

// signal sends the process a signal. An end of the process after SIGKILL or SIGTERM is expected.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		h.endRequested = true
	}
	if s == syscall.SIGTERM {
		h.stopRequested = time.Now()
	}
	_ = h.command.Process.Signal(s)
}

// reload tells the process to read its settings again, if it has started: before a process has asked for the signal, the
// signal ends it.
func (h *host) reload() {
	c, err := net.Dial("tcp4", h.readiness)
	if err != nil {
		return
	}
	c.Close()
	h.signal(syscall.SIGHUP)
}

// deregistrationDelay is how long the load balancer sends callers to a host that is stopping: it polls
// once a second and removes a host after two failed polls.
const deregistrationDelay = 2 * time.Second

// inRotation reports whether the load balancer sends callers to the host.
func (h *host) inRotation() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.stopRequested.IsZero() || time.Since(h.stopRequested) < deregistrationDelay
}

// takesCallers reports whether the load balancer sends callers to the host. If fewer than half of a zone's hosts are
// in rotation, it sends them to all of that zone.
func (d *deployment) takesCallers(h *host) bool {
	if h.inRotation() {
		return true
	}
	all, ready := 0, 0
	for i, o := range d.hosts {
		if zone(i) != h.zone {
			continue
		}
		all++
		if o.inRotation() {
			ready++
		}
	}
	return 2*ready < all
}

// stoppingHost returns a host that is stopping, h if there is none.
func (d *deployment) stoppingHost(h *host) *host {
	for _, o := range d.hosts {
		if o.isStopping() {
			return o
		}
	}
	return h
}

// isStopping reports whether the host was requested to stop and its process still runs.
func (h *host) isStopping() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopRequested.IsZero() {
		return false
	}
	select {
	case <-h.exited:
		return false
	default:
		return true
	}
}

// await waits until the process has ended, for at most d, and reports whether it has.
func (h *host) await(d time.Duration) bool {
	h.mu.Lock()
	e := h.exited
	h.mu.Unlock()
	select {
	case <-e:
		return true
	case <-time.After(d):
		return false
	}
}

// currentIncarnation returns the number of the host's process.
func (h *host) currentIncarnation() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.incarnation
}
