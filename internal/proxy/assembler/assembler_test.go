package assembler

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/limit/admitter"
	"github.com/cuminwick/cuminwick/internal/proxy/connpooler"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
	"github.com/cuminwick/cuminwick/platform"
)

// instance is a backend server that keeps items in memory and speaks the real protocol.
type instance struct {
	listener net.Listener

	mu       sync.Mutex
	items    map[string]string
	position int
	// signatures counts the statements of callers.
	signatures int
}

func startInstance(t *testing.T) *instance {
	t.Helper()
	i := &instance{listener: listen(t), items: make(map[string]string)}
	go i.run()
	return i
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

func (i *instance) run() {
	for {
		c, err := i.listener.Accept()
		if err != nil {
			return
		}
		go (&service{instance: i, conn: c}).run()
	}
}

type service struct {
	instance *instance
	conn     net.Conn
	state    string
}

func (s *service) run() {
	defer s.conn.Close()
	s.state = "I"
	r := bufio.NewScanner(s.conn)
	for r.Scan() {
		_, _ = io.WriteString(s.conn, s.answer(strings.TrimSuffix(r.Text(), "\r")))
	}
}

func (s *service) answer(line string) string {
	i := s.instance
	i.mu.Lock()
	defer i.mu.Unlock()
	f := strings.Fields(line)
	if f[0] == "STARTUP" {
		return s.ready()
	}
	if f[2] == "AFTER" {
		f = append(f[:2], f[4:]...)
	}
	done := "DONE -\r\n"
	if f[1] != "-" {
		i.signatures++
		done = fmt.Sprintf("DONE sig%d\r\n", i.signatures)
	}
	switch f[2] {
	case "BEGIN":
		s.state = "T"
	case "COMMIT", "ROLLBACK":
		s.state = "I"
	case "WRITE":
		i.items[f[3]] = f[4]
		i.position++
	case "READ":
		return "ROW " + i.items[f[3]] + "\r\n" + done + s.ready()
	}
	return done + s.ready()
}

func (s *service) ready() string {
	return fmt.Sprintf("READY %s 1.%d\r\n", s.state, s.instance.position+1)
}

// store answers lists with fixed objects. Its watches wait and return no changes.
func store(t *testing.T, server string) string {
	t.Helper()
	config := `{"version":3,"routes":[{"name":"r","host":"books","route_type":"primary","timeout_ms":5000,"backend":"g"}],"backends":[{"name":"g","max_connections":8}],"limits":{"idle_tx_ms":3000}}`
	entry := fmt.Sprintf(`{"backend":"g","address":%q,"zone":"z","capacity":2,"state":"ready","db_role":"primary","sequence":1}`, server)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Has("watch") {
			select {
			case <-r.Context().Done():
			case <-time.After(50 * time.Millisecond):
			}
			_, _ = io.WriteString(w, `{"events":[],"as_of":9}`)
			return
		}
		items := ""
		switch r.URL.Path {
		case "/api/objects/config":
			items = `{"meta":{"name":"main","revision":4},"spec":` + config + `}`
		case "/api/objects/servers":
			items = `{"meta":{"name":"i-1","revision":5},"spec":` + entry + `}`
		}
		_, _ = io.WriteString(w, `{"items":[`+items+`],"more":false,"as_of":9}`)
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

const (
	// firstPort and portCount are a range below that from which the kernel draws the ports of connections: beside busy
	// tests, tens of thousands of those are in use.
	firstPort = 12000
	portCount = 18000
)

// freePort returns a port on which no process listens.
func freePort(t *testing.T) int { return freePorts(t, 1) }

// freePortPair returns the first of two consecutive ports on which no process listens.
func freePortPair(t *testing.T) int { return freePorts(t, 2) }

// freePorts returns the first of n consecutive ports on which no process listens.
func freePorts(t *testing.T, n int) int {
	t.Helper()
	for range 100 {
		p := firstPort + rand.IntN(portCount)
		if areFree(p, n) {
			return p
		}
	}
	t.Fatalf("no %d ports in a row are free", n)
	return 0
}

// areFree reports whether no process listens on n ports from the first on.
func areFree(first, n int) bool {
	for i := range n {
		l, err := net.Listen("tcp4", net.JoinHostPort("127.0.0.1", strconv.Itoa(first+i)))
		if err != nil {
			return false
		}
		l.Close()
	}
	return true
}

// host is an entry host that runs in the test.
type host struct {
	settings platform.Settings
	drain    chan struct{}
	done     chan error
	log      bytes.Buffer
}

// startHost starts a host and waits until it accepts callers. Another process may take a free port
// before the host listens on it. In that case the host is started again with other ports.
func startHost(t *testing.T, server string) *host {
	t.Helper()
	for range 20 {
		h := launch(t, server)
		err := h.ready()
		if err == nil {
			return h
		}
		if !errors.Is(err, syscall.EADDRINUSE) {
			t.Fatal(err)
		}
	}
	t.Fatal("no free ports")
	return nil
}

// ready waits until the host accepts callers or has ended.
func (h *host) ready() error {
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		select {
		case err := <-h.done:
			return err
		default:
		}
		if h.readiness() == http.StatusOK {
			return nil
		}
	}
	return errors.New("host is not ready after 30 s")
}

func launch(t *testing.T, server string) *host {
	t.Helper()
	at := func(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }
	a := store(t, server)
	h := &host{drain: make(chan struct{}), done: make(chan error, 1), settings: platform.Settings{
		HostName: "h", AvailabilityZone: "z", Region: "r", Regions: map[string]string{"z": "r"},
		CallerAddress: at(freePort(t)), ReadinessAddress: at(freePort(t)), Address: "127.0.0.1", FirstPort: freePortPair(t), ConfigurationLimit: 3 * time.Second, DrainLimit: 7 * time.Second,
		StoreAddress: a, CommandAddress: a, Grace: 3 * time.Second, MemoryBytes: 1 << 30,
	}}
	go func() {
		x := &Assembler{Settings: h.settings, LogOutput: &h.log}
		h.done <- x.Run(context.Background(), h.drain)
	}()
	return h
}

// readiness returns the status that the load balancer receives, zero without an answer.
func (h *host) readiness() int {
	r, err := http.Get("http://" + h.settings.ReadinessAddress + platform.ReadinessPath)
	if err != nil {
		return 0
	}
	defer r.Body.Close()
	return r.StatusCode
}

func (h *host) awaitReadiness(t *testing.T, status int) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); h.readiness() != status; {
		if time.Now().After(end) {
			t.Fatalf("readiness %d, want %d", h.readiness(), status)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// caller is a session.
type caller struct {
	conn  net.Conn
	lines *bufio.Reader
	n     int
}

func (h *host) call(t *testing.T, database string) *caller {
	t.Helper()
	c, err := net.Dial("tcp4", h.settings.CallerAddress)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(30 * time.Second))
	x := &caller{conn: c, lines: bufio.NewReader(c)}
	_, _ = io.WriteString(c, "STARTUP "+database+" u\r\n")
	return x
}

func (c *caller) line() string {
	l, err := c.lines.ReadString('\n')
	if err != nil {
		return "end"
	}
	return strings.TrimSuffix(l, "\r\n")
}

// ask sends a statement and returns the lines of its answer, up to the state.
func (c *caller) ask(text string) string {
	c.n++
	_, _ = fmt.Fprintf(c.conn, "QUERY x%d %s\r\n", c.n, text)
	var l []string
	for {
		s := c.line()
		l = append(l, s)
		if s == "end" || strings.HasPrefix(s, "READY") {
			return strings.Join(l, "|")
		}
	}
}

func (c *caller) expect(t *testing.T, text, want string) {
	t.Helper()
	if got := c.ask(text); got != want {
		t.Errorf("%s: got %q, want %q", text, got, want)
	}
}

// A caller runs statements through an entry host, in transactions and outside of them.
func TestServes(t *testing.T) {
	i := startInstance(t)
	h := startHost(t, i.listener.Addr().String())
	c := h.call(t, "books")
	if l := c.line(); l != "READY I -" {
		t.Fatalf("greeted by %q", l)
	}
	c.expect(t, "WRITE a one", "DONE sig1|READY I 1.2")
	c.expect(t, "READ a", "ROW one|DONE sig2|READY I 1.2")
	c.expect(t, "SET zone x", "DONE -|READY I -")
	c.expect(t, "PREPARE s READ q", "DONE -|READY I -")
	c.expect(t, "DEALLOC t", "ERR NOSTMT t|READY I -")
	c.expect(t, "BEGIN", "DONE -|READY T -")
	c.expect(t, "WRITE a two", "DONE sig3|READY T 1.3")
	c.expect(t, "COMMIT", "DONE sig4|READY I 1.3")
	c.expect(t, "DELETE a", "ERR MALFORMED statement not understood|READY I -")
	c.expect(t, "READ a", "ROW two|DONE sig5|READY I 1.3")
	if l := h.call(t, "nowhere").line(); l != "ERR NODB nowhere" {
		t.Errorf("unknown database: %q", l)
	}
	close(h.drain)
	if err := <-h.done; err != nil {
		t.Error(err)
	}
}

// Guards against a drain that interrupts work: a host is shut down while one caller is idle and one
// is in a transaction. The idle session must be closed, the transaction may complete, and the host
// must end in time.
func TestDrainCompletesTransactions(t *testing.T) {
	i := startInstance(t)
	h := startHost(t, i.listener.Addr().String())
	idle, busy := h.call(t, "books"), h.call(t, "books")
	idle.line()
	busy.line()
	busy.expect(t, "BEGIN", "DONE -|READY T -")
	busy.expect(t, "WRITE a one", "DONE sig1|READY T 1.2")
	close(h.drain)
	h.awaitReadiness(t, http.StatusServiceUnavailable)
	if l := idle.line(); l != "end" {
		t.Errorf("the idle caller receives %q", l)
	}
	busy.expect(t, "COMMIT", "DONE sig2|READY I 1.2")
	if l := busy.line(); l != "end" {
		t.Errorf("the other caller receives %q", l)
	}
	if err := <-h.done; err != nil {
		t.Error(err)
	}
	if !strings.Contains(h.log.String(), `"message":"stopped"`) {
		t.Error("the stop isn't in the log")
	}
}

// Guards against a drain with an unknown outcome: a host that owns a server's connections is shut
// down while another host's caller has a transaction on one of them. If the transaction could not
// complete, its commit would be reported as unknown.
func TestDrainWaitsForBorrowers(t *testing.T) {
	i := startInstance(t)
	h := startHost(t, i.listener.Addr().String())
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	l, err := platform.ConnectLink(ctx, h.settings.HostAddress(), declarer.Server{ID: "i-1", Group: "g"})
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	end := time.Now().Add(30 * time.Second)
	l.Borrow(connpooler.AcquireRequest{Deadline: end, Class: admitter.ClassWrite, Team: "books"})
	exchange := func(text string) {
		t.Helper()
		if err := l.Send([]declarer.Request{{ID: "x", Text: text}}, end); err != nil {
			t.Fatal(err)
		}
		var a declarer.Answer
		if err := l.Receive(&a, end); err != nil || a.Code != declarer.CodeNone {
			t.Fatalf("%s: code %d, %v", text, a.Code, err)
		}
	}
	exchange("BEGIN")
	exchange("WRITE a one")
	close(h.drain)
	time.Sleep(h.settings.Grace * 2 / 3)
	select {
	case <-h.done:
		t.Fatal("the host ended while a transaction was open")
	default:
	}
	exchange("COMMIT")
	if err := l.Return(); err != nil {
		t.Error(err)
	}
	if err := <-h.done; err != nil {
		t.Error(err)
	}
}
