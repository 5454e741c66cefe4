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

// writeVariant writes the site's configuration with queue length n to a file and returns its path.
func (s *site) writeVariant(t *testing.T, n int) string {
	t.Helper()
	b, err := os.ReadFile(filepath.Join(s.dir, "groups.yaml"))
	if err != nil {
		t.Fatal(err)
	}
	f := fmt.Sprintf("groups-%d.yaml", n)
	s.write(t, f, string(b)+fmt.Sprintf("limits: {queue-length: %d}\n", n))
	return filepath.Join(s.dir, f)
}

// runToEnd runs a command and returns its exit code and output.
func (s *site) runToEnd(t *testing.T, args ...string) (int, string) {
	t.Helper()
	p := launch(t, args...)
	<-p.ended
	return p.command.ProcessState.ExitCode(), p.output.String()
}

// apply runs the apply command as operator bela.
func (s *site) apply(t *testing.T, args ...string) (int, string) {
	t.Helper()
	return s.runToEnd(t, append([]string{"apply", "--platform", "http://" + s.platform, "--operator", "bela"}, args...)...)
}

// injectFault sets the faults that the platform stand-in injects.
func (s *site) injectFault(t *testing.T, text string) {
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

// head returns the head of the configuration at the platform.
func (s *site) head(t *testing.T) encoder.Head {
	t.Helper()
	o := &publisher.Operator{Platform: &requester.Client{Address: s.platform}}
	h, err := o.Head(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return h
}

// isStored reports whether the platform holds the file of revision r.
func (s *site) isStored(t *testing.T, r declarer.Revision) bool {
	t.Helper()
	o := &publisher.Operator{Platform: &requester.Client{Address: s.platform}}
	_, err := o.File(t.Context(), r)
	return err == nil
}

// allInForce reports whether the accepted revision is in force at all hosts.
func (s *site) allInForce(t *testing.T) bool {
	t.Helper()
	_, b := s.runToEnd(t, "status", "--platform", "http://"+s.platform, "--format", "json")
	var x publisher.Status
	if err := json.Unmarshal([]byte(b), &x); err != nil {
		t.Fatalf("%v: %s", err, b)
	}
	for _, h := range x.Hosts {
		if h.InForce != x.Head.Accepted {
			return false
		}
	}
	return len(x.Hosts) == zoneCount
}

// Guards against a configuration that is applied only in part. The apply commands of operators are
// killed while they run, and answers of the platform are lost, whereupon other operators resume or
// apply competing files. The accepted revision must come into force at all hosts.
func TestProcessesOperatorsKilled(t *testing.T) {
	s := startSite(t)
	for i := range 4 {
		before := s.head(t)
		s.injectFault(t, fmt.Sprintf(`{"lose-answers": %d, "latency-nanoseconds": 5000000}`, i))
		f := s.writeVariant(t, 10+i)
		p := launch(t, "apply", "--platform", "http://"+s.platform, "--operator", "anna", f)
		// Before its file is stored, a revision can only be withdrawn by an operator who resumes
		// without the file, as is done here every second time.
		waitUntil(t, "a file to be stored", func() bool { return s.isStored(t, before.Highest+1) })
		p.command.Process.Kill()
		<-p.ended
		if c, o := s.apply(t, "--from", fmt.Sprint(before.Accepted), s.writeVariant(t, 90+i)); c == 0 || !strings.Contains(o, "anna") {
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
		waitUntil(t, "the accepted revision to be in force at all hosts", func() bool { return s.allInForce(t) })
	}
}

// Guards against a host that continues with an old revision after its process was paused while a
// change was applied. The apply command must complete after the host's lease has expired and report
// the host as missing, and the host must put the new revision in force when it resumes.
func TestProcessesHostPaused(t *testing.T) {
	s := startSite(t)
	p := s.hosts[2].command.Process
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	c, o := s.apply(t, s.writeVariant(t, 7))
	if c == 0 || !strings.Contains(o, "zone-2/entry-2") {
		t.Errorf("exit code %d, %s", c, o)
	}
	if err := p.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "the new revision to be in force at the paused host", func() bool { return s.allInForce(t) })
	if c, o := s.apply(t, s.writeVariant(t, 8)); c != 0 {
		t.Errorf("apply after the pause: exit code %d, %s", c, o)
	}
}
