package runner

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/bench/disturber"
	"github.com/cuminwick/cuminwick/internal/proxy/commander"
	"github.com/cuminwick/cuminwick/internal/soak/caller"
)

// asHost makes the test's binary act as an entry host, so that no other binary is needed.
const asHost = "CUMINWICK_SOAK_AS_HOST"

// settingsVariable names the settings file of an entry host's process.
const settingsVariable = "CUMINWICK_BOOT"

func TestMain(m *testing.M) {
	if os.Getenv(asHost) != "" {
		os.Exit(commander.Run(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// host is one entry host, whose process comes and goes.
type host struct {
	caller.Host
	place     disturber.Place
	readiness string
	peers     string
	directory string
	settings  string

	// busy is held by the fault that is at work on the host.
	busy sync.Mutex

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	life    int
	output  *os.File
	// wrong are ends of the process that nobody asked for.
	wrong []string
	// asked says that the process was killed or stopped, stopping since when it is.
	asked    bool
	stopping time.Time
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
	c.Env = append(os.Environ(), asHost+"=1", settingsVariable+"="+h.settings)
	c.Stdout, c.Stderr = f, f
	if err := c.Start(); err != nil {
		return errors.Annotatef(err, "start %s", h.Name)
	}
	h.command, h.output, h.asked = c, f, false
	h.stopping = time.Time{}
	h.ended = make(chan struct{})
	h.life++
	go h.run(c, h.ended)
	return nil
}

// run waits for the process's end.
func (h *host) run(c *exec.Cmd, ended chan struct{}) {
	err := c.Wait()
	h.mu.Lock()
	defer h.mu.Unlock()
	const raceExit = 66
	if x := c.ProcessState.ExitCode(); x == raceExit || !h.asked {
		h.wrong = append(h.wrong, "ended: "+h.Name+" ended by itself or with a data race: "+c.ProcessState.String())
	} else if err != nil && x > 0 {
		h.wrong = append(h.wrong, "ended: "+h.Name+" failed: "+c.ProcessState.String())
	}
	h.output.Close()
	close(ended)
}

// signal sends the process a signal; those that end it are asked for.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		h.asked = true
	}
	if s == syscall.SIGTERM {
		h.stopping = time.Now()
	}
	_ = h.command.Process.Signal(s)
}

// rotation is how long the balancer sends callers to a host that stops: it asks once a second
// and twice before it believes.
const rotation = 2 * time.Second

// listed reports whether the balancer sends callers to the host.
func (h *host) listed() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.stopping.IsZero() || time.Since(h.stopping) < rotation
}

// await waits until the process has ended, and reports whether it did in time.
func (h *host) await(d time.Duration) bool {
	h.mu.Lock()
	e := h.ended
	h.mu.Unlock()
	select {
	case <-e:
		return true
	case <-time.After(d):
		return false
	}
}

// lives returns how often the process was started.
func (h *host) lives() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.life
}
