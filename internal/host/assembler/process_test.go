package assembler_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/xdg-go/scram"

	"github.com/cuminwick/cuminwick/internal/peer/certifier"
)

const (
	password = "correct horse"
	token    = "a long and random token"
	zones    = 3
)

// binary is the program under test, built once.
var binary = sync.OnceValues(func() (string, error) {
	d, err := os.MkdirTemp("", "cuminwick")
	if err != nil {
		return "", err
	}
	p := filepath.Join(d, "cuminwick")
	b, err := exec.Command("go", "build", "-o", p, "../../..").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build: %w\n%s", err, b)
	}
	return p, nil
})

// process is a running cuminwick.
type process struct {
	command *exec.Cmd
	output  bytes.Buffer
	ended   chan struct{}
}

func launch(t *testing.T, args ...string) *process {
	t.Helper()
	b, err := binary()
	if err != nil {
		t.Fatal(err)
	}
	p := &process{command: exec.Command(b, args...), ended: make(chan struct{})}
	p.command.Stdout = &p.output
	p.command.Stderr = &p.output
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		p.command.Wait()
		close(p.ended)
	}()
	t.Cleanup(func() {
		p.command.Process.Kill()
		<-p.ended
		if t.Failed() {
			o := p.output.String()
			t.Logf("%v:\n%s", args, o[:min(len(o), 3000)])
		}
	})
	return p
}

// Ports below those that systems give to outgoing connections, which could
// otherwise take one between its choice and its use.
const (
	firstPort = 20000
	lastPort  = 32000
)

// ports counts the ports that were handed out, from a random start.
var ports = firstPort + rand.IntN(lastPort-firstPort)

// free returns an address that nothing listens on, neither by TCP nor by UDP.
func free(t *testing.T) string {
	t.Helper()
	for range lastPort - firstPort {
		ports++
		if ports >= lastPort {
			ports = firstPort
		}
		a := fmt.Sprintf("127.0.0.1:%d", ports)
		if isFree(a) {
			return a
		}
	}
	t.Fatal("no port is free")
	return ""
}

func isFree(address string) bool {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer l.Close()
	u, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	defer u.Close()
	return true
}

// hang is when a wait counts as one that never ends; the processes are then
// stopped, which a timeout of the whole test would leave running.
const hang = time.Minute

// until waits for a condition.
func until(t *testing.T, what string, holds func() bool) {
	t.Helper()
	c, stop := context.WithTimeout(t.Context(), hang)
	defer stop()
	for !holds() {
		select {
		case <-c.Done():
			t.Fatalf("waited for %s", what)
		case <-time.After(20 * time.Millisecond):
		}
	}
}

func answers(url string) bool {
	r, err := http.Get(url)
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// verifier makes what PostgreSQL would store for the password.
func verifier(t *testing.T) string {
	t.Helper()
	c, err := scram.SHA256.NewClient("", password, "")
	if err != nil {
		t.Fatal(err)
	}
	s, err := c.GetStoredCredentialsWithError(scram.KeyFactors{Salt: "salt-of-16-bytes", Iters: 4096})
	if err != nil {
		t.Fatal(err)
	}
	e := base64.StdEncoding.EncodeToString
	return fmt.Sprintf("SCRAM-SHA-256$%d:%s$%s:%s", s.Iters, e([]byte(s.Salt)), e(s.StoredKey), e(s.ServerKey))
}

// site is a platform, a database group and an entry host a zone, each a process.
type site struct {
	dir, platform string
	platformStub  *process
	hosts         [zones]*process
	callers       [zones]string
	admin         [zones]string
	peers         [zones]string
	// together puts all entry hosts into the first zone.
	together bool
}

func startSite(t *testing.T) *site {
	t.Helper()
	return startSiteIn(t, false)
}

func startSiteIn(t *testing.T, together bool) *site {
	t.Helper()
	s := &site{together: together, dir: t.TempDir(), platform: free(t)}
	s.platformStub = launch(t, "stand-in", "platform", "--address", s.platform)
	until(t, "platform", func() bool { return answers("http://" + s.platform + "/hosts") })
	s.configure(t, s.backends(t))
	for i := range zones {
		s.callers[i], s.admin[i], s.peers[i] = free(t), free(t), free(t)
	}
	a, err := certifier.New("authority", time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	for i := range zones {
		s.settle(t, a, i)
		s.start(t, i)
	}
	s.await(t)
	return s
}

func (s *site) backends(t *testing.T) []string {
	t.Helper()
	var l []string
	for i := range zones {
		a := free(t)
		g := []string{"stand-in", "backend", "--name", fmt.Sprintf("db-%d", i), "--address", a, "--connect-time", "1ms"}
		if i == 0 {
			g = append(g, "--primary")
		} else {
			g = append(g, "--follow", "db-0="+l[0])
		}
		launch(t, g...)
		until(t, "backend server", func() bool {
			c, err := net.Dial("tcp", a)
			if err == nil {
				c.Close()
			}
			return err == nil
		})
		l = append(l, a)
	}
	return l
}

func (s *site) write(t *testing.T, name, text string) {
	t.Helper()
	if err := os.WriteFile(filepath.Join(s.dir, name), []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// configure stages the first configuration, which no host is there to see.
func (s *site) configure(t *testing.T, backends []string) {
	t.Helper()
	f := "database-groups:\n  - name: db\n    service: notes\n    backend-servers:\n"
	for i, a := range backends {
		f += fmt.Sprintf("      - {name: db-%d, address: %q, availability-zone: zone-%d, region: one, slots: 2, connections: 16}\n", i, a, i)
	}
	f += "teams:\n  - name: advisers\n    database-groups: [db]\n    roles:\n      - {name: adviser, verifier: '" + verifier(t) + "'}\n"
	s.write(t, "groups.yaml", f)
	p := launch(t, "apply", "--platform", "http://"+s.platform, "--operator", "test", filepath.Join(s.dir, "groups.yaml"))
	<-p.ended
	if c := p.command.ProcessState.ExitCode(); c != 0 {
		t.Fatalf("apply: exit code %d\n%s", c, p.output.String())
	}
}

func (s *site) settle(t *testing.T, a *certifier.Authority, i int) {
	t.Helper()
	n := fmt.Sprintf("entry-%d", i)
	c, err := a.Issue(time.Now(), time.Hour, n)
	if err != nil {
		t.Fatal(err)
	}
	d := filepath.Join(s.dir, n)
	if err := os.Mkdir(d, 0o700); err != nil {
		t.Fatal(err)
	}
	if err := a.WriteFiles(d, c); err != nil {
		t.Fatal(err)
	}
	s.write(t, n+"/mark.key", "0123456789abcdef")
	s.write(t, n+"/backend.password", "unused")
	s.write(t, n+"/tokens.yaml", fmt.Sprintf("tokens:\n  - {name: root, role: administrator, sha256: %x}\n", sha256.Sum256([]byte(token))))
	z := i
	if s.together {
		z = 0
	}
	s.write(t, n+"/settings.yaml", fmt.Sprintf(`
host-name: %s
region: one
availability-zone: zone-%d
deployment-id: test
callers: {address: %q}
peers:
  address: %q
  authority-file: authority.crt
  certificate-file: host.crt
  key-file: host.key
  seeds: [%q]
administration: {address: %q, tokens-file: tokens.yaml}
platform: {address: "http://%s"}
backend: {user: cuminwick, password-file: backend.password}
mark-keys: [{id: first, file: mark.key}]
limits: {drain-timeout: 20s}
`, n, z, s.callers[i], s.peers[i], s.peers[(i+1)%zones], s.admin[i], s.platform))
}

func (s *site) start(t *testing.T, i int) {
	t.Helper()
	s.hosts[i] = launch(t, "serve", "--settings", filepath.Join(s.dir, fmt.Sprintf("entry-%d", i), "settings.yaml"))
}

// await returns when all hosts are ready.
func (s *site) await(t *testing.T) {
	t.Helper()
	for i := range zones {
		until(t, "entry host", func() bool { return answers("http://" + s.admin[i] + "/readyz") })
	}
}

func (s *site) connect(t *testing.T, i int, secret string) (*pgx.Conn, error) {
	t.Helper()
	return pgx.Connect(t.Context(), fmt.Sprintf("postgres://adviser:%s@%s/db?sslmode=disable", secret, s.callers[i]))
}

// caller returns a connection that is closed with the test.
func (s *site) caller(t *testing.T, i int) *pgx.Conn {
	t.Helper()
	c, err := s.connect(t, i, "correct%20horse")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close(context.Background()) })
	return c
}

func run(t *testing.T, c *pgx.Conn, sql string, args ...any) {
	t.Helper()
	if _, err := c.Exec(t.Context(), sql, args...); err != nil {
		t.Fatalf("%s: %v", sql, err)
	}
}

// An operator stops an entry host while a caller is inside a transaction, and
// then starts it again while the platform is down. The transaction must go
// through, other callers must notice nothing, the process must end with exit
// code 0, and the new one must serve from what its peers know.
func TestProcessesServeAndDrain(t *testing.T) {
	s := startSite(t)
	if _, err := s.connect(t, 0, "wrong"); err == nil {
		t.Error("a wrong password was let in")
	}
	a, b := s.caller(t, 0), s.caller(t, 1)
	run(t, a, "CREATE TABLE notes (id bigint PRIMARY KEY)")
	x, err := a.Begin(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := x.Exec(t.Context(), "INSERT INTO notes (id) VALUES (1)"); err != nil {
		t.Fatal(err)
	}
	s.hosts[0].command.Process.Signal(syscall.SIGTERM)
	until(t, "readiness to end", func() bool { return !answers("http://" + s.admin[0] + "/readyz") })
	run(t, b, "INSERT INTO notes (id) VALUES (2)")
	if err := x.Commit(t.Context()); err != nil {
		t.Errorf("the drain cut off a transaction: %v", err)
	}
	<-s.hosts[0].ended
	if c := s.hosts[0].command.ProcessState.ExitCode(); c != 0 {
		t.Errorf("drained with exit code %d", c)
	}
	s.platformStub.command.Process.Kill()
	<-s.platformStub.ended
	s.start(t, 0)
	s.await(t)
	var n int
	if err := s.caller(t, 0).QueryRow(t.Context(), "SELECT count(*) FROM notes").Scan(&n); err != nil || n != 2 {
		t.Errorf("%d rows at the new host, %v; want 2", n, err)
	}
}

// command runs a subcommand against an entry host and returns what it printed.
func (s *site) command(t *testing.T, i int, name string, args ...string) (code int, output string) {
	t.Helper()
	s.write(t, "token", token+"\n")
	g := append([]string{name, "--administration", "http://" + s.admin[i], "--token-file", filepath.Join(s.dir, "token")}, args...)
	p := launch(t, g...)
	<-p.ended
	return p.command.ProcessState.ExitCode(), p.output.String()
}

// An operator drains a host from the command line, and asks for the outcome of
// a booking whose caller isn't sure about it.
func TestOperatorsCommands(t *testing.T) {
	s := startSite(t)
	c := s.caller(t, 1)
	run(t, c, "CREATE TABLE bookings (id bigint PRIMARY KEY)")
	run(t, c, "/* key=booking-1 */ INSERT INTO bookings (id) VALUES (1)")
	for _, x := range []struct {
		name   string
		args   []string
		output string
	}{
		{name: "ran", args: []string{"db", "booking-1"}, output: "ran"},
		{name: "may be under way", args: []string{"db", "booking-2"}, output: "unknown"},
		{name: "settled", args: []string{"db", "booking-2", "--settle"}, output: "not-run"},
	} {
		if k, o := s.command(t, 0, "outcome", x.args...); k != 0 || !strings.Contains(o, " "+x.output) {
			t.Errorf("%s: exit code %d, %s", x.name, k, o)
		}
	}
	if k, o := s.command(t, 0, "drain"); k != 0 {
		t.Errorf("drain: exit code %d, %s", k, o)
	}
	<-s.hosts[0].ended
	if k := s.hosts[0].command.ProcessState.ExitCode(); k != 0 {
		t.Errorf("the host ended with exit code %d", k)
	}
}
