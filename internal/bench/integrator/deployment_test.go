package integrator

import (
	"context"
	"encoding/base64"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/xdg-go/scram"

	"github.com/cuminwick/cuminwick/internal/bench/disturber"
	"github.com/cuminwick/cuminwick/internal/peer/certifier"
)

// deployment is a platform, one group of three backend servers, and entry hosts, each as a process.
type deployment struct {
	directory string
	platform  string
	network   *disturber.Network
	authority *certifier.Authority
	backends  []*process
	hosts     []*process
	addresses []string
}

// zones are the availability zones, each with one backend server.
var zones = []string{"a", "b", "c"}

// deploy starts all processes of a deployment with the given number of entry hosts and applies a
// configuration.
func deploy(t *testing.T, hosts int) *deployment {
	t.Helper()
	d := &deployment{directory: t.TempDir()}
	d.network = &disturber.Network{Latency: func(disturber.Path) time.Duration { return 0 }}
	d.network.Open(t.Context())
	a, err := certifier.New("integration", time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	d.authority = a
	d.platform = start(t, "stand-in", "platform", "--address", "127.0.0.1:0").valueAfter(t, "platform at ")
	f := d.configuration(t, d.startBackends(t))
	for i := range hosts {
		d.startHost(t, i)
	}
	p := start(t, "apply", f, "--platform", d.platform, "--operator", "anna")
	<-p.ended
	if p.err != nil {
		t.Fatalf("apply: %v\n%s", p.err, p.output)
	}
	return d
}

// startBackends starts the backend servers and returns the addresses of their proxies.
func (d *deployment) startBackends(t *testing.T) []string {
	t.Helper()
	var l []string
	primary := ""
	for i, z := range zones {
		args := []string{"stand-in", "backend", "--name", "db-" + z, "--address", "127.0.0.1:0", "--password-environment", "BACKEND_PASSWORD"}
		if i == 0 {
			args = append(args, "--primary")
		} else {
			args = append(args, "--follow", "db-a="+primary)
		}
		p := start(t, args...)
		a := p.valueAfter(t, "backend server db-"+z+" at ")
		if i == 0 {
			primary = a
		}
		d.backends = append(d.backends, p)
		d.network.SetPlace(a, disturber.Place{AvailabilityZone: z})
		x, err := d.network.ProxyAddress(disturber.Place{AvailabilityZone: "hosts"}, a)
		if err != nil {
			t.Fatal(err)
		}
		l = append(l, x)
	}
	return l
}

// configuration writes the configuration file and returns its path.
func (d *deployment) configuration(t *testing.T, backends []string) string {
	t.Helper()
	var b strings.Builder
	b.WriteString("database-groups:\n  - name: notes\n    service: notes\n    backend-servers:\n")
	for i, z := range zones {
		fmt.Fprintf(&b, "      - {name: db-%s, address: %q, availability-zone: %s, region: one, slots: 2, connections: 16}\n", z, backends[i], z)
	}
	fmt.Fprintf(&b, "teams:\n  - name: team\n    database-groups: [notes]\n    roles:\n      - {name: anna, verifier: %q}\n", scramVerifier(t, "vorne"))
	return d.write(t, "configuration.yaml", b.String())
}

// write writes a file in the directory of the deployment and returns its path.
func (d *deployment) write(t *testing.T, name, content string) string {
	t.Helper()
	f := filepath.Join(d.directory, name)
	if err := os.MkdirAll(filepath.Dir(f), 0o700); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(f, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return f
}

// scramVerifier returns the SCRAM verifier of a password in the format of PostgreSQL.
func scramVerifier(t *testing.T, password string) string {
	t.Helper()
	c, err := scram.SHA256.NewClient("", password, "")
	if err != nil {
		t.Fatal(err)
	}
	k := scram.KeyFactors{Salt: "integration-salt", Iters: 4096}
	s, err := c.GetStoredCredentialsWithError(k)
	if err != nil {
		t.Fatal(err)
	}
	e := base64.StdEncoding.EncodeToString
	return fmt.Sprintf("SCRAM-SHA-256$4096:%s$%s:%s", e([]byte(k.Salt)), e(s.StoredKey), e(s.ServerKey))
}

// startHost starts entry host i, in the zones in turn, and waits until it listens.
func (d *deployment) startHost(t *testing.T, i int) {
	t.Helper()
	n := fmt.Sprintf("entry-%d", i)
	c, err := d.authority.Issue(time.Now(), time.Hour, n)
	if err != nil {
		t.Fatal(err)
	}
	k := filepath.Join(d.directory, n)
	d.write(t, n+"/mark.key", "0123456789abcdef0123456789abcdef")
	d.write(t, n+"/backend.password", "hinten")
	if err := d.authority.WriteFiles(k, c); err != nil {
		t.Fatal(err)
	}
	a := freePort(t, "tcp")
	s := d.write(t, n+"/settings.yaml", fmt.Sprintf(`host-name: %s
region: one
availability-zone: %s
deployment-id: integration
callers: {address: %q}
peers: {address: %q, authority-file: %s, certificate-file: %s, key-file: %s}
administration: {address: "127.0.0.1:0"}
platform: {address: %q}
backend: {user: cuminwick, password-file: backend.password}
mark-keys: [{id: one, file: mark.key}]
`, n, zones[i%len(zones)], a, freePort(t, "udp"), certifier.AuthorityFile, certifier.CertificateFile, certifier.KeyFile, d.platform))
	d.hosts = append(d.hosts, start(t, "serve", "--settings", s))
	d.addresses = append(d.addresses, a)
	waitFor(t, n+" listens", func() bool {
		x, err := net.Dial("tcp", a)
		if err == nil {
			x.Close()
		}
		return err == nil
	})
}

// connect connects to an entry host as a caller.
func (d *deployment) connect(ctx context.Context, host int) (*pgx.Conn, error) {
	return pgx.Connect(ctx, "postgres://anna:vorne@"+d.addresses[host]+"/notes?sslmode=disable")
}

// connectWhenServing waits until the entry host accepts a session and returns the connection.
func (d *deployment) connectWhenServing(t *testing.T, host int) *pgx.Conn {
	t.Helper()
	var c *pgx.Conn
	waitFor(t, "host serves", func() bool {
		var err error
		c, err = d.connect(t.Context(), host)
		return err == nil
	})
	t.Cleanup(func() { c.Close(context.Background()) })
	return c
}

// execute runs a statement and fails the test on an error.
func execute(t *testing.T, c *pgx.Conn, sql string, args ...any) {
	t.Helper()
	if _, err := c.Exec(t.Context(), sql, args...); err != nil {
		t.Fatalf("%s: %v", sql, err)
	}
}

// count returns the integer that a query selects.
func count(t *testing.T, c *pgx.Conn, sql string) int {
	t.Helper()
	var n int
	if err := c.QueryRow(t.Context(), sql).Scan(&n); err != nil {
		t.Fatalf("%s: %v", sql, err)
	}
	return n
}
