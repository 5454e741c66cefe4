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

// actAsCommand is the environment variable with which the test binary runs as cuminwick, so that no
// other binary is needed.
const actAsCommand = "CUMINWICK_TEST_AS_COMMAND"

func TestMain(m *testing.M) {
	if os.Getenv(actAsCommand) != "" {
		os.Exit(command.Run(context.Background(), os.Args[1:]))
	}
	os.Exit(m.Run())
}

// hangTimeout ends a test that would otherwise hang.
const hangTimeout = time.Minute

// output collects the output of a process.
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
	// ended is closed when the process has ended; err is set before.
	ended chan struct{}
	err   error
}

// start starts a subcommand that is killed at the end of the test. Its output is logged if the test
// has failed.
func start(t *testing.T, args ...string) *process {
	t.Helper()
	p := &process{command: exec.Command(os.Args[0], args...), output: &output{}, ended: make(chan struct{})}
	p.command.Env = append(os.Environ(), actAsCommand+"=1", "BACKEND_PASSWORD=hinten")
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

// kill kills the process and waits for its end.
func (p *process) kill() {
	p.command.Process.Kill()
	<-p.ended
}

// valueAfter waits until the output contains prefix and returns what follows on the same line, up
// to a comma.
func (p *process) valueAfter(t *testing.T, prefix string) string {
	t.Helper()
	var value string
	waitFor(t, "output has "+prefix, func() bool {
		_, r, ok := strings.Cut(p.output.String(), prefix)
		value, _, _ = strings.Cut(strings.TrimSpace(strings.SplitN(r, "\n", 2)[0]), ",")
		return ok && value != ""
	})
	return value
}

// waitFor waits until the condition holds and fails the test after hangTimeout.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(hangTimeout); !condition(); {
		if time.Now().After(end) {
			t.Fatalf("timed out: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// freePort returns a loopback address on which nothing listens at present.
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

// Guards against acknowledged writes that are lost by a failover. The process of the primary is
// killed while a caller writes. Writes continue at another server, and a caller at the other entry
// host reads every acknowledged note.
func TestPrimaryProcessIsKilled(t *testing.T) {
	d := deploy(t, 2)
	c := d.connectWhenServing(t, 0)
	execute(t, c, "CREATE TABLE note (id int PRIMARY KEY)")
	acknowledged := 0
	for i := range 50 {
		execute(t, c, "INSERT INTO note VALUES ($1)", i)
		acknowledged++
	}
	d.backends[0].kill()
	next := 1000
	waitFor(t, "writes continue", func() bool {
		next++
		if c.IsClosed() {
			c = d.connectWhenServing(t, 0)
		}
		_, err := c.Exec(t.Context(), "INSERT INTO note VALUES ($1)", next)
		return err == nil
	})
	acknowledged++
	o := d.connectWhenServing(t, 1)
	// Notes whose write failed may exist or not; the last one was acknowledged.
	if n := count(t, o, fmt.Sprintf("SELECT count(*) FROM note WHERE id < 1000 OR id = %d", next)); n != acknowledged {
		t.Errorf("%d of %d acknowledged notes exist", n, acknowledged)
	}
}

// Guards against a write that hangs until its deadline on a silenced connection. All open
// connections to the primary stay open and deliver nothing, while new connections work.
func TestConnectionsGoSilent(t *testing.T) {
	d := deploy(t, 1)
	c := d.connectWhenServing(t, 0)
	execute(t, c, "CREATE TABLE note (id int PRIMARY KEY)")
	execute(t, c, "INSERT INTO note VALUES (1)")
	if d.network.Silence("hosts", "a") == 0 {
		t.Fatal("there was no connection to the primary")
	}
	n := 1
	waitFor(t, "writes continue", func() bool {
		n++
		if c.IsClosed() {
			c = d.connectWhenServing(t, 0)
		}
		_, err := c.Exec(t.Context(), "INSERT INTO note VALUES ($1)", n)
		return err == nil
	})
	if k := count(t, c, fmt.Sprintf("SELECT count(*) FROM note WHERE id = 1 OR id = %d", n)); k != 2 {
		t.Errorf("%d of 2 acknowledged notes exist", k)
	}
}

// Guards against a transaction that outlives its entry host. The process of the entry host is killed
// in the middle of a transaction. The caller loses the connection, nothing of the transaction
// remains, and the row is not locked for others.
func TestEntryHostProcessIsKilled(t *testing.T) {
	d := deploy(t, 2)
	c, o := d.connectWhenServing(t, 0), d.connectWhenServing(t, 1)
	execute(t, c, "CREATE TABLE note (id int PRIMARY KEY, body text)")
	execute(t, c, "INSERT INTO note VALUES (1, 'old')")
	execute(t, c, "BEGIN")
	execute(t, c, "UPDATE note SET body = 'lost' WHERE id = 1")
	d.hosts[0].kill()
	execute(t, o, "UPDATE note SET body = body || '!' WHERE id = 1")
	if n := count(t, o, "SELECT count(*) FROM note WHERE body = 'old!'"); n != 1 {
		t.Error("the transaction of the killed entry host had an effect")
	}
}

// Guards against a planned stop that cuts off a transaction. An entry host receives SIGTERM in the
// middle of a transaction. The transaction commits, and then the process ends with exit code 0.
func TestPlannedStopCutsNothingOff(t *testing.T) {
	d := deploy(t, 2)
	c, o := d.connectWhenServing(t, 0), d.connectWhenServing(t, 1)
	execute(t, c, "CREATE TABLE note (id int PRIMARY KEY)")
	execute(t, c, "BEGIN")
	execute(t, c, "INSERT INTO note VALUES (1)")
	if err := d.hosts[0].command.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the host refuses new callers", func() bool {
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
		t.Errorf("%d of 2 notes exist", n)
	}
}
