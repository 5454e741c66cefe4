package integrator

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	command "github.com/cuminwick/cuminwick/internal/command/runner"
)

// asCommand makes the test's binary act as cuminwick, so that no other binary is needed.
const asCommand = "CUMINWICK_TEST_AS_COMMAND"

func TestMain(m *testing.M) {
	if os.Getenv(asCommand) != "" {
		os.Exit(command.Run(context.Background(), os.Args[1:]))
	}
	os.Exit(m.Run())
}

// patience only ends a test that would hang.
const patience = time.Minute

// output collects what a process writes.
type output struct {
	mutex sync.Mutex
	bytes bytes.Buffer
}

func (o *output) Write(b []byte) (int, error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.bytes.Write(b)
}

func (o *output) String() string {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.bytes.String()
}

// process is one running subcommand.
type process struct {
	command *exec.Cmd
	output  *output
	ended   chan struct{}
	err     error
}

func start(t *testing.T, args ...string) *process {
	t.Helper()
	p := &process{command: exec.Command(os.Args[0], args...), output: &output{}, ended: make(chan struct{})}
	p.command.Env = append(os.Environ(), asCommand+"=1", "BACKEND_PASSWORD=hinten")
	p.command.Stdout, p.command.Stderr = p.output, p.output
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		p.err = p.command.Wait()
		close(p.ended)
	}()
	t.Cleanup(func() {
		p.kill()
		if t.Failed() {
			o := p.output.String()
			t.Logf("%s:\n%s", strings.Join(args, " "), o[max(0, len(o)-4000):])
		}
	})
	return p
}

func (p *process) kill() {
	p.command.Process.Kill()
	<-p.ended
}

// word waits for a line that begins with prefix and returns the word behind it.
func (p *process) word(t *testing.T, prefix string) string {
	t.Helper()
	var w string
	until(t, "output has "+prefix, func() bool {
		_, r, ok := strings.Cut(p.output.String(), prefix)
		w, _, _ = strings.Cut(strings.TrimSpace(strings.SplitN(r, "\n", 2)[0]), ",")
		return ok && w != ""
	})
	return w
}

func until(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !holds(); {
		if time.Now().After(end) {
			t.Fatalf("never: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// freePort returns a loopback address that nobody listens on at present.
func freePort(t *testing.T, network string) string {
	t.Helper()
	if network == "udp" {
		c, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		return c.LocalAddr().String()
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// The primary's process is killed while a caller writes. Writes stop for a
// moment; then another server takes over, every acknowledged note is there, and
// a caller at the other entry host reads them.
func TestPrimaryProcessIsKilled(t *testing.T) {
	d := deploy(t, 2)
	c := d.must(t, 0)
	execute(t, c, "CREATE TABLE note (id int PRIMARY KEY)")
	acknowledged := 0
	for i := range 50 {
		execute(t, c, "INSERT INTO note VALUES ($1)", i)
		acknowledged++
	}
	d.backends[0].kill()
	next := 1000
	until(t, "writes go on", func() bool {
		next++
		if c.IsClosed() {
			c = d.must(t, 0)
		}
		_, err := c.Exec(t.Context(), "INSERT INTO note VALUES ($1)", next)
		return err == nil
	})
	acknowledged++
	o := d.must(t, 1)
	// Notes whose write failed may be there or not; the last one was acknowledged.
	if n := count(t, o, fmt.Sprintf("SELECT count(*) FROM note WHERE id < 1000 OR id = %d", next)); n != acknowledged {
		t.Errorf("%d of %d acknowledged notes are there", n, acknowledged)
	}
}

// All open connections to the primary go silent: no end is told. The caller's
// next write must not hang until its deadline, since new connections work.
func TestConnectionsGoSilent(t *testing.T) {
	d := deploy(t, 1)
	c := d.must(t, 0)
	execute(t, c, "CREATE TABLE note (id int PRIMARY KEY)")
	execute(t, c, "INSERT INTO note VALUES (1)")
	if d.network.Silence("hosts", "a") == 0 {
		t.Fatal("there was no connection to the primary")
	}
	n := 1
	until(t, "writes go on", func() bool {
		n++
		if c.IsClosed() {
			c = d.must(t, 0)
		}
		_, err := c.Exec(t.Context(), "INSERT INTO note VALUES ($1)", n)
		return err == nil
	})
	if k := count(t, c, fmt.Sprintf("SELECT count(*) FROM note WHERE id = 1 OR id = %d", n)); k != 2 {
		t.Errorf("%d of 2 acknowledged notes are there", k)
	}
}

// An entry host's process is killed in the middle of a transaction. Its caller
// loses the connection; nothing of the transaction stays, and the row isn't
// locked for the others.
func TestEntryHostProcessIsKilled(t *testing.T) {
	d := deploy(t, 2)
	c, o := d.must(t, 0), d.must(t, 1)
	execute(t, c, "CREATE TABLE note (id int PRIMARY KEY, body text)")
	execute(t, c, "INSERT INTO note VALUES (1, 'old')")
	execute(t, c, "BEGIN")
	execute(t, c, "UPDATE note SET body = 'lost' WHERE id = 1")
	d.hosts[0].kill()
	execute(t, o, "UPDATE note SET body = body || '!' WHERE id = 1")
	if n := count(t, o, "SELECT count(*) FROM note WHERE body = 'old!'"); n != 1 {
		t.Error("the transaction of the killed entry host left something behind")
	}
}

// An entry host gets SIGTERM while a caller is in the middle of a transaction.
// The transaction ends as usual, and then the process does, with exit code 0.
func TestPlannedStopCutsNothingOff(t *testing.T) {
	d := deploy(t, 2)
	c, o := d.must(t, 0), d.must(t, 1)
	execute(t, c, "CREATE TABLE note (id int PRIMARY KEY)")
	execute(t, c, "BEGIN")
	execute(t, c, "INSERT INTO note VALUES (1)")
	if err := d.hosts[0].command.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	until(t, "the host takes no more callers", func() bool {
		x, err := d.connect(t.Context(), 0)
		if err == nil {
			x.Close(t.Context())
		}
		return err != nil
	})
	execute(t, c, "INSERT INTO note VALUES (2)")
	execute(t, c, "COMMIT")
	<-d.hosts[0].ended
	if d.hosts[0].err != nil {
		t.Errorf("entry host ended with %v", d.hosts[0].err)
	}
	if n := count(t, o, "SELECT count(*) FROM note"); n != 2 {
		t.Errorf("%d of 2 notes are there", n)
	}
}
