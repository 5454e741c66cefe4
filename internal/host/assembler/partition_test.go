package assembler_test

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

// proxyPlatform restarts host i with a fault-injecting proxy between it and the platform.
func (s *site) proxyPlatform(t *testing.T, i int) *toxiproxy.Proxy {
	t.Helper()
	v := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(prometheus.NewRegistry()), zerolog.Nop())
	p := toxiproxy.NewProxy(v, "platform", "127.0.0.1:0", s.platform)
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Stop)
	n := fmt.Sprintf("entry-%d/settings.yaml", i)
	b, err := os.ReadFile(filepath.Join(s.dir, n))
	if err != nil {
		t.Fatal(err)
	}
	s.write(t, n, strings.ReplaceAll(string(b), s.platform, p.Listen))
	s.hosts[i].command.Process.Signal(syscall.SIGTERM)
	<-s.hosts[i].ended
	s.start(t, i)
	s.awaitReady(t)
	return p
}

// revision returns the revision in force at host i according to its metrics.
func (s *site) revision(t *testing.T, i int) string {
	t.Helper()
	r, err := http.Get("http://" + s.admin[i] + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	if err != nil {
		t.Fatal(err)
	}
	for l := range strings.Lines(string(b)) {
		if n, v, _ := strings.Cut(strings.TrimSpace(l), " "); n == "cuminwick_configuration_revision" {
			return v
		}
	}
	return ""
}

// Guards against a host that misses changes because its connections to the platform transfer no
// data while they stay open. A change must reach the host through its peers, the apply command must
// report that the host can't be confirmed, and all must work again after the fault ends.
func TestProcessesPlatformSilentForOneHost(t *testing.T) {
	s := startSite(t)
	p := s.proxyPlatform(t, 0)
	if c, o := s.apply(t, s.writeVariant(t, 7)); c != 0 {
		t.Fatalf("exit code %d, %s", c, o)
	}
	x := `{"name": "silent", "type": "timeout", "stream": "downstream", "attributes": {"timeout": 0}}`
	if _, err := p.Toxics.AddToxicJson(strings.NewReader(x)); err != nil {
		t.Fatal(err)
	}
	c, o := s.apply(t, s.writeVariant(t, 8))
	if c == 0 || !strings.Contains(o, "zone-0/entry-0") {
		t.Errorf("exit code %d, %s", c, o)
	}
	waitUntil(t, "the host to receive the change from a peer", func() bool { return s.revision(t, 0) == "3" })
	if err := p.Toxics.RemoveToxic(t.Context(), "silent"); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "the accepted revision to be in force at all hosts", func() bool { return s.allInForce(t) })
	if c, o := s.apply(t, s.writeVariant(t, 9)); c != 0 {
		t.Errorf("apply after the fault: exit code %d, %s", c, o)
	}
}
