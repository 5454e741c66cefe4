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
	password  = "correct horse"
	token     = "a long and random token"
	zoneCount = 3
)

// buildBinary builds the program under test once and returns its path.
var buildBinary = sync.OnceValues(func() (string, error) {
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

// process is a started cuminwick process.
type process struct {
	command *exec.Cmd
	output  bytes.Buffer
	// ended is closed when the process has ended.
	ended chan struct{}
}

// launch starts a process, which is killed at the end of the test.
func launch(t *testing.T, args ...string) *process {
	t.Helper()
	b, err := buildBinary()
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

// The range of ports for listeners. It is below the ephemeral ports, one of which could be assigned
// to an outgoing connection after freeAddress returned it.
const (
	firstPort = 20000
	lastPort  = 32000
)

// lastUsedPort is the last port that freeAddress tried. It starts at random.
var lastUsedPort = firstPort + rand.IntN(lastPort-firstPort)

// freeAddress returns an address at which nothing listens, neither by TCP nor by UDP.
func freeAddress(t *testing.T) string {
	t.Helper()
	for range lastPort - firstPort {
		lastUsedPort++
		if lastUsedPort >= lastPort {
			lastUsedPort = firstPort
		}
		a := fmt.Sprintf("127.0.0.1:%d", lastUsedPort)
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

// waitTimeout is how long waitUntil waits. It is less than the timeout of the whole test, which
// would leave the processes running.
const waitTimeout = time.Minute

// waitUntil waits until holds returns true, or fails the test after waitTimeout.
func waitUntil(t *testing.T, what string, holds func() bool) {
	t.Helper()
	c, stop := context.WithTimeout(t.Context(), waitTimeout)
	defer stop()
	for !holds() {
		select {
		case <-c.Done():
			t.Fatalf("waited too long for %s", what)
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// respondsOK reports whether a GET request of url returns status 200.
func respondsOK(url string) bool {
	r, err := http.Get(url)
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// verifier returns the SCRAM verifier that PostgreSQL would store for the password.
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

// site is a deployment of a platform, a database group, and one entry host for each zone. Each
// platform, backend server and entry host is a process.
type site struct {
	dir, platform string
	platformStub  *process
	hosts         [zoneCount]*process
	// callers, admin and peers are the addresses of the hosts.
	callers [zoneCount]string
	admin   [zoneCount]string
	peers   [zoneCount]string
	// singleZone places all entry hosts in the first zone.
	singleZone bool
}

// startSite starts a site with one entry host in each zone.
func startSite(t *testing.T) *site {
	t.Helper()
	return startSiteIn(t, false)
}

func startSiteIn(t *testing.T, together bool) *site {
	t.Helper()
	s := &site{singleZone: together, dir: t.TempDir(), platform: freeAddress(t)}
	s.platformStub = launch(t, "stand-in", "platform", "--address", s.platform)
	waitUntil(t, "platform", func() bool { return respondsOK("http://" + s.platform + "/hosts") })
	s.applyFirst(t, s.startBackends(t))
	for i := range zoneCount {
		s.callers[i], s.admin[i], s.peers[i] = freeAddress(t), freeAddress(t), freeAddress(t)
	}
	a, err := certifier.New("authority", time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	for i := range zoneCount {
		s.writeSettings(t, a, i)
		s.start(t, i)
	}
	s.awaitReady(t)
	return s
}

// startBackends starts one backend server for each zone and returns their addresses.
func (s *site) startBackends(t *testing.T) []string {
	t.Helper()
	var l []string
	for i := range zoneCount {
		a := freeAddress(t)
		g := []string{"stand-in", "backend", "--name", fmt.Sprintf("db-%d", i), "--address", a, "--connect-time", "1ms"}
		if i == 0 {
			g = append(g, "--primary")
		} else {
			g = append(g, "--follow", "db-0="+l[0])
		}
		launch(t, g...)
		waitUntil(t, "backend server", func() bool {
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

// applyFirst applies the first configuration, before any host is started.
func (s *site) applyFirst(t *testing.T, backends []string) {
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

// writeSettings writes the settings, keys and certificates of host i.
func (s *site) writeSettings(t *testing.T, a *certifier.Authority, i int) {
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
	if s.singleZone {
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
`, n, z, s.callers[i], s.peers[i], s.peers[(i+1)%zoneCount], s.admin[i], s.platform))
}

func (s *site) start(t *testing.T, i int) {
	t.Helper()
	s.hosts[i] = launch(t, "serve", "--settings", filepath.Join(s.dir, fmt.Sprintf("entry-%d", i), "settings.yaml"))
}

// awaitReady waits until all hosts are ready.
func (s *site) awaitReady(t *testing.T) {
	t.Helper()
	for i := range zoneCount {
		waitUntil(t, "entry host", func() bool { return respondsOK("http://" + s.admin[i] + "/readyz") })
	}
}

func (s *site) connect(t *testing.T, i int, secret string) (*pgx.Conn, error) {
	t.Helper()
	return pgx.Connect(t.Context(), fmt.Sprintf("postgres://adviser:%s@%s/db?sslmode=disable", secret, s.callers[i]))
}

// connectCaller connects to host i. The connection is closed at the end of the test.
func (s *site) connectCaller(t *testing.T, i int) *pgx.Conn {
	t.Helper()
	c, err := s.connect(t, i, "correct%20horse")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close(context.Background()) })
	return c
}

func execute(t *testing.T, c *pgx.Conn, sql string, args ...any) {
	t.Helper()
	if _, err := c.Exec(t.Context(), sql, args...); err != nil {
		t.Fatalf("%s: %v", sql, err)
	}
}

// Guards against a drain that aborts a transaction, and against a host that can't start while the
// platform is down. A host is stopped while a caller has a transaction open, and is started again
// without the platform. The transaction must commit, other callers must not be affected, the
// process must end with exit code 0, and the new process must serve with the configuration from its
// peers.
func TestProcessesServeAndDrain(t *testing.T) {
	s := startSite(t)
	if _, err := s.connect(t, 0, "wrong"); err == nil {
		t.Error("a wrong password was accepted")
	}
	a, b := s.connectCaller(t, 0), s.connectCaller(t, 1)
	execute(t, a, "CREATE TABLE notes (id bigint PRIMARY KEY)")
	x, err := a.Begin(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := x.Exec(t.Context(), "INSERT INTO notes (id) VALUES (1)"); err != nil {
		t.Fatal(err)
	}
	s.hosts[0].command.Process.Signal(syscall.SIGTERM)
	waitUntil(t, "readiness to end", func() bool { return !respondsOK("http://" + s.admin[0] + "/readyz") })
	execute(t, b, "INSERT INTO notes (id) VALUES (2)")
	if err := x.Commit(t.Context()); err != nil {
		t.Errorf("the drain aborted a transaction: %v", err)
	}
	<-s.hosts[0].ended
	if c := s.hosts[0].command.ProcessState.ExitCode(); c != 0 {
		t.Errorf("drained with exit code %d", c)
	}
	s.platformStub.command.Process.Kill()
	<-s.platformStub.ended
	s.start(t, 0)
	s.awaitReady(t)
	var n int
	if err := s.connectCaller(t, 0).QueryRow(t.Context(), "SELECT count(*) FROM notes").Scan(&n); err != nil || n != 2 {
		t.Errorf("%d rows at the restarted host, %v; want 2", n, err)
	}
}

// runAtHost runs a subcommand against host i and returns its exit code and output.
func (s *site) runAtHost(t *testing.T, i int, name string, args ...string) (code int, output string) {
	t.Helper()
	s.write(t, "token", token+"\n")
	g := append([]string{name, "--administration", "http://" + s.admin[i], "--token-file", filepath.Join(s.dir, "token")}, args...)
	p := launch(t, g...)
	<-p.ended
	return p.command.ProcessState.ExitCode(), p.output.String()
}

// An operator drains a host from the command line, and queries the outcome of a request whose
// caller did not receive it.
func TestOperatorsCommands(t *testing.T) {
	s := startSite(t)
	c := s.connectCaller(t, 1)
	execute(t, c, "CREATE TABLE bookings (id bigint PRIMARY KEY)")
	execute(t, c, "/* key=booking-1 */ INSERT INTO bookings (id) VALUES (1)")
	for _, x := range []struct {
		name   string
		args   []string
		output string
	}{
		{name: "ran", args: []string{"db", "booking-1"}, output: "ran"},
		{name: "may be under way", args: []string{"db", "booking-2"}, output: "unknown"},
		{name: "settled", args: []string{"db", "booking-2", "--settle"}, output: "not-run"},
	} {
		if k, o := s.runAtHost(t, 0, "outcome", x.args...); k != 0 || !strings.Contains(o, " "+x.output) {
			t.Errorf("%s: exit code %d, %s", x.name, k, o)
		}
	}
	if k, o := s.runAtHost(t, 0, "drain"); k != 0 {
		t.Errorf("drain: exit code %d, %s", k, o)
	}
	<-s.hosts[0].ended
	if k := s.hosts[0].command.ProcessState.ExitCode(); k != 0 {
		t.Errorf("the host ended with exit code %d", k)
	}
}
