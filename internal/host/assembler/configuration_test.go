package assembler_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/cuminwick/cuminwick/internal/config/declarer"
	"github.com/cuminwick/cuminwick/internal/config/encoder"
	"github.com/cuminwick/cuminwick/internal/config/publisher"
	"github.com/cuminwick/cuminwick/internal/platform/requester"
)

// variant writes the site's configuration with another queue length.
func (s *site) variant(t *testing.T, n int) string {
	t.Helper()
	b, err := os.ReadFile(filepath.Join(s.dir, "groups.yaml"))
	if err != nil {
		t.Fatal(err)
	}
	f := fmt.Sprintf("groups-%d.yaml", n)
	s.write(t, f, string(b)+fmt.Sprintf("limits: {queue-length: %d}\n", n))
	return filepath.Join(s.dir, f)
}

// operate runs a command of an operator to its end.
func (s *site) operate(t *testing.T, args ...string) (int, string) {
	t.Helper()
	p := launch(t, args...)
	<-p.ended
	return p.command.ProcessState.ExitCode(), p.output.String()
}

func (s *site) apply(t *testing.T, args ...string) (int, string) {
	t.Helper()
	return s.operate(t, append([]string{"apply", "--platform", "http://" + s.platform, "--operator", "bela"}, args...)...)
}

func (s *site) fault(t *testing.T, text string) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPut, "http://"+s.platform+"/admin/faults", strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	a.Body.Close()
}

func (s *site) head(t *testing.T) encoder.Head {
	t.Helper()
	o := &publisher.Operator{Platform: &requester.Client{Address: s.platform}}
	h, err := o.Head(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return h
}

// stored returns whether the file of revision r is there.
func (s *site) stored(t *testing.T, r declarer.Revision) bool {
	t.Helper()
	o := &publisher.Operator{Platform: &requester.Client{Address: s.platform}}
	_, err := o.File(t.Context(), r)
	return err == nil
}

// agreed returns whether every host decides by the accepted revision.
func (s *site) agreed(t *testing.T) bool {
	t.Helper()
	_, b := s.operate(t, "status", "--platform", "http://"+s.platform, "--format", "json")
	var x publisher.Status
	if err := json.Unmarshal([]byte(b), &x); err != nil {
		t.Fatalf("%v: %s", err, b)
	}
	for _, h := range x.Hosts {
		if h.InForce != x.Head.Accepted {
			return false
		}
	}
	return len(x.Hosts) == zones
}

// Operators' machines die while they apply, with answers of the platform lost
// besides, and other operators resume or bring competing files. What is accepted
// must be in force at every host, and nothing may be half applied.
func TestProcessesOperatorsKilled(t *testing.T) {
	s := startSite(t)
	for i := range 4 {
		before := s.head(t)
		s.fault(t, fmt.Sprintf(`{"lose-answers": %d, "latency-nanoseconds": 5000000}`, i))
		f := s.variant(t, 10+i)
		p := launch(t, "apply", "--platform", "http://"+s.platform, "--operator", "anna", f)
		// Without the file, which the resuming operator doesn't bring each time,
		// a revision can only be withdrawn.
		until(t, "a file to be stored", func() bool { return s.stored(t, before.Highest+1) })
		p.command.Process.Kill()
		<-p.ended
		if c, o := s.apply(t, "--from", fmt.Sprint(before.Accepted), s.variant(t, 90+i)); c == 0 || !strings.Contains(o, "anna") {
			t.Errorf("competing file: exit code %d, %s", c, o)
		}
		args := []string{"--resume"}
		if i%2 == 1 {
			args = []string{f}
		}
		if c, o := s.apply(t, args...); c != 0 {
			t.Errorf("resume: exit code %d, %s", c, o)
		}
		h := s.head(t)
		if h.Accepted != before.Highest+1 || h.Latest().Operator != "anna" {
			t.Errorf("accepted %+v after %+v", h.Latest(), before.Latest())
		}
		until(t, "all hosts to agree", func() bool { return s.agreed(t) })
	}
}

// A host's process is paused while a change is applied, and is unaware of it. The
// operator goes on once the host's lease has run out and is told who is missing;
// when the host wakes up it must not go on with the old revision.
func TestProcessesHostPaused(t *testing.T) {
	s := startSite(t)
	p := s.hosts[2].command.Process
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	c, o := s.apply(t, s.variant(t, 7))
	if c == 0 || !strings.Contains(o, "zone-2/entry-2") {
		t.Errorf("exit code %d, %s", c, o)
	}
	if err := p.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	until(t, "the paused host to move up", func() bool { return s.agreed(t) })
	if c, o := s.apply(t, s.variant(t, 8)); c != 0 {
		t.Errorf("apply after the pause: exit code %d, %s", c, o)
	}
}
