package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// host is one entry host, a process of its own.
type host struct {
	name, zone string
	ip         string
	mbps       int
	view       *view
	front      string
	readiness  string
	settings   string
	log        *os.File
	command    *exec.Cmd
	exited     chan struct{}
}

// errPorts is returned if the ports that were found free aren't different ones.
var errPorts = errors.New("free ports coincide")

// program is the program of the deploy file.
const program = "target/cuminwick-platform"

// freePort returns a port of a loopback address on which nobody listens.
func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return 0, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// freePair returns the first of two ports in a row on which nobody listens.
func freePair(ip string) (int, error) {
	for {
		n, err := freePort(ip)
		if err != nil {
			return 0, err
		}
		if l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, n+1)); err == nil {
			l.Close()
			return n, nil
		}
	}
}

// settingsText returns the settings file of a host, with the bounds of a small deployment.
func settingsText(h *host, d *deployment, store string, ports [3]int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "node_name=%s\nrole=entry-host\nmachine_class=front\nserves=front\nip=%s\nzone=%s\nregion=%s\n", h.name, h.ip, h.zone, regions[h.zone])
	for _, z := range zones {
		fmt.Fprintf(&b, "zones.%s=%s\n", z, regions[z])
	}
	fmt.Fprintf(&b, "listen.front=%s\nlisten.readiness=%s\ninternal_ports=%d,%d\n", h.front, h.readiness, ports[2], ports[2]+1)
	fmt.Fprintf(&b, "limits.cpu_share=0.4\nlimits.cores=1\nlimits.memory_mb=284\nlimits.max_fds=4300\nlimits.link_mbps=%d.0\nlimits.disk_mb=0\n", h.mbps)
	fmt.Fprintf(&b, "bootstrap=%t\ndiscovery=platform\nentrypoint=virtual_ip\nheartbeat_ms=1200\ncontracts=%s\n", !d.bootstrapped, d.contracts)
	b.WriteString("bounds.contact_ms=4000\nbounds.ack_ms=5000\nbounds.catchup_s=4\nbounds.drain_ms=7000\nbounds.grace_s=6\n" +
		"bounds.loss_slack_ms=200\nbounds.config_apply_ms=3000\nbounds.rollback_slack_ms=250\nbounds.max_skew_ms=12000\n" +
		"bounds.recovery_s=12\nbounds.quota_window_s=5\nbounds.quota_overage=0.1\nbounds.quota_slack=20\n")
	fmt.Fprintf(&b, "bounds.fencing_required=%t\n", d.fences)
	fmt.Fprintf(&b, "platform.address=%s\nplatform.form=objects\nplatform.writes_per_s=400\nplatform.reads_per_s=2000\nplatform.retention_s=20\nplatform.value_bytes=1048576\n", store)
	fmt.Fprintf(&b, "cloud.address=%s\ncloud.rate_per_s=50.0\ncloud.duties=failover\ncloud.duty_per_s=50.0\n", d.cloud.address)
	return b.String()
}

// start starts the process of the host.
func (h *host) start(d *deployment) error {
	store, err := serveHTTP(h.ip, h.view)
	if err != nil {
		return err
	}
	var ports [3]int
	for i := range ports {
		if ports[i], err = freePair(h.ip); err != nil {
			return err
		}
	}
	for i := range ports[:2] {
		if d := ports[i] - ports[2]; d == 0 || d == 1 || ports[0] == ports[1] {
			return errPorts
		}
	}
	h.front, h.readiness = fmt.Sprintf("%s:%d", h.ip, ports[0]), fmt.Sprintf("%s:%d", h.ip, ports[1])
	h.settings = filepath.Join(d.directory, h.name+".conf")
	if err := os.WriteFile(h.settings, []byte(settingsText(h, d, store, ports)), 0o600); err != nil {
		return err
	}
	return h.run(d)
}

// run starts the process with its settings file.
func (h *host) run(d *deployment) error {
	var err error
	if h.log, err = os.OpenFile(filepath.Join(d.directory, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	h.command = exec.Command(filepath.Join(d.root, program), "serve")
	h.command.Dir = d.root
	h.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CUMINWICK_BOOT=" + h.settings}
	h.command.Stdout, h.command.Stderr = h.log, h.log
	if err := h.command.Start(); err != nil {
		return err
	}
	h.exited = make(chan struct{})
	go func() {
		_ = h.command.Wait()
		close(h.exited)
	}()
	return nil
}

// end ends the process.
func (h *host) end() {
	if h.command == nil || h.command.Process == nil {
		return
	}
	_ = h.command.Process.Signal(syscall.SIGKILL)
	<-h.exited
	h.log.Close()
}

// restartDelay is after what time a process that has ended is started again.
const restartDelay = 500 * time.Millisecond

// roll stops the process with SIGTERM, as a rolling restart does, and starts it again after it has ended.
func (h *host) roll(d *deployment) error {
	if err := h.command.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-h.exited:
	case <-time.After(6 * time.Second):
		_ = h.command.Process.Kill()
		<-h.exited
	}
	h.log.Close()
	time.Sleep(restartDelay)
	b, err := os.ReadFile(h.settings)
	if err != nil {
		return err
	}
	b = []byte(strings.Replace(string(b), "bootstrap=true", "bootstrap=false", 1))
	if err := os.WriteFile(h.settings, b, 0o600); err != nil {
		return err
	}
	return h.run(d)
}

// ready reports whether the host answers its readiness check with 200.
func (h *host) ready() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + h.readiness + "/api/ready")
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// reply is the answer to one statement.
type reply struct {
	rows      []string
	signature string
	code      string
	text      string
	state     string
}

func (a reply) String() string {
	if a.code != "" {
		return "ERR " + a.code + " " + a.text
	}
	return fmt.Sprintf("rows %q DONE %s", a.rows, a.signature)
}

// session is one client's connection.
type session struct {
	conn   net.Conn
	reader *bufio.Reader
}

// ids counts the statements of all clients.
var ids atomic.Int64

func nextID() string { return fmt.Sprintf("c%06d", ids.Add(1)) }

// open opens a session. The key is left out if it is empty.
func open(address, database, key string) (*session, error) {
	c, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, err
	}
	s := &session{conn: c, reader: bufio.NewReader(c)}
	l := "STARTUP " + database
	if key != "" {
		l += " " + key
	}
	a, err := s.send(l)
	if err == nil && a.code != "" {
		err = errors.New(a.String())
	}
	if err != nil {
		c.Close()
		return nil, err
	}
	return s, nil
}

// query sends a statement and waits for its answer.
func (s *session) query(text string) (string, reply, error) {
	id := nextID()
	a, err := s.send("QUERY " + id + " " + text)
	return id, a, err
}

func (s *session) send(line string) (reply, error) {
	var a reply
	s.conn.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := s.conn.Write([]byte(line + "\r\n")); err != nil {
		return a, err
	}
	for {
		l, err := s.reader.ReadString('\n')
		if err != nil {
			return a, err
		}
		word, rest, _ := strings.Cut(strings.TrimSuffix(l, "\r\n"), " ")
		switch word {
		case "ROW":
			a.rows = append(a.rows, rest)
		case "DONE":
			a.signature = rest
		case "ERR":
			a.code, a.text, _ = strings.Cut(rest, " ")
			if strings.HasPrefix(line, "STARTUP") {
				return a, nil
			}
		case "READY":
			a.state, _, _ = strings.Cut(rest, " ")
			return a, nil
		default:
			return a, fmt.Errorf("message %q", l)
		}
	}
}

func (s *session) close() { s.conn.Close() }
