package deployer_test

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cuminwick/cuminwick/internal/host/deployer"
	"github.com/cuminwick/cuminwick/internal/settings/declarer"
)

const edgeMessageBytes = 64 << 10

// startup is the first message of a caller that behaves.
const startup = "user\x00caller\x00database\x00db\x00\x00"

func frame(t byte, body string) string {
	return string(t) + string(binary.BigEndian.AppendUint32(nil, uint32(len(body)+4))) + body
}

func first(version uint32, body string) string {
	b := binary.BigEndian.AppendUint32(nil, uint32(len(body)+8))
	return string(binary.BigEndian.AppendUint32(b, version)) + body
}

// dialRaw connects to host i without a driver.
func dialRaw(t *testing.T, d *deployer.Deployment, i int) net.Conn {
	t.Helper()
	n, err := new(net.Dialer).DialContext(t.Context(), "tcp", d.Hosts[i].Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { n.Close() })
	return n
}

// answers reads until the host closes the connection, or says it is ready
// for the (n+1)th time, and returns the SQLSTATEs of the errors.
func answers(t *testing.T, c net.Conn, n int) (codes []string, closed bool) {
	t.Helper()
	f := pgproto3.NewFrontend(c, io.Discard)
	for {
		m, err := f.Receive()
		if err != nil {
			return codes, true
		}
		switch m := m.(type) {
		case *pgproto3.ErrorResponse:
			codes = append(codes, m.Code)
		case *pgproto3.ReadyForQuery:
			if n--; n < 0 {
				return codes, false
			}
		}
	}
}

// limitCallers makes short work of callers that misbehave.
func limitCallers(d *deployer.Deployment) {
	d.CallerLimits = func(l *declarer.Limits) {
		l.MessageBytes = edgeMessageBytes
		l.HandshakeTimeout = 3 * time.Second
		l.WriteTimeout = time.Second
	}
}

// refusals passes on the log lines of callers that were disconnected.
type refusals chan *log.Entry

func (r refusals) HandleLog(e *log.Entry) error {
	if e.Message == "caller disconnected" && e.Fields["peer"] != nil && e.Fields["error"] != nil {
		r <- e
	}
	return nil
}

func (r refusals) set(d *deployer.Deployment) {
	d.Log = &log.Logger{Handler: r, Level: log.InfoLevel}
}

// A caller with a broken or hostile driver sends what the protocol doesn't
// allow. It is told so by its SQLSTATE or disconnected with a log line, and
// another caller of the entry host notices nothing.
func TestBadInput(t *testing.T) {
	h := make(refusals, 100)
	d := start(t, limitCallers, h.set)
	o := connect(t, d, 0, "")
	ok := first(3<<16, startup)
	parse := frame('P', "s\x00SELECT 1\x00\x00\x00")
	garbage := strings.Repeat("\xff\x81\xff\x00", 4000)
	for _, c := range []struct {
		name, sent string
		// codes are the errors told; ready is how often the session goes on.
		codes []string
		ready int
	}{
		{"startup of an older version", first(2<<16, startup), []string{"08P01"}, -1},
		{"startup too long", first(3<<16, strings.Repeat("x", 20000)), []string{"08P01"}, -1},
		{"startup without end", first(3<<16, "user\x00caller"), []string{"08P01"}, -1},
		{"text in place of a startup", "GET / HTTP/1.1\r\n\r\n", []string{"08P01"}, -1},
		{"startup that is never finished", first(3<<16, startup)[:11], []string{"08P01"}, -1},
		{"unknown database", first(3<<16, "user\x00caller\x00database\x00none\x00\x00"), []string{"3D000"}, -1},
		{"unknown message type", ok + frame('!', ""), []string{"08P01"}, -1},
		{"password out of turn", ok + frame('p', "secret\x00"), []string{"08P01"}, -1},
		{"function call", ok + frame('F', "\x00\x00\x00\x00"), []string{"0A000"}, -1},
		{"length below the header's", ok + "Q\x00\x00\x00\x03", []string{"08P01"}, -1},
		{"binary garbage", ok + garbage, []string{"08P01"}, -1},
		{"oversized message", ok + frame('Q', strings.Repeat("x", edgeMessageBytes+1)), []string{"54000"}, -1},
		{"pipeline without end", ok + strings.Repeat(frame('D', "P"+strings.Repeat("x", 1000)+"\x00"), 100), []string{"54000"}, -1},
		{"query without end", ok + frame('Q', "SELECT 1"), []string{"08P01"}, 1},
		{"unknown statement", ok + frame('D', "Snone\x00") + frame('S', ""), []string{"26000"}, 1},
		{"unknown portal", ok + frame('E', "none\x00\x00\x00\x00\x00") + frame('S', ""), []string{"34000"}, 1},
		{"describe of neither", ok + frame('D', "Xnone\x00") + frame('S', ""), []string{"08P01"}, 1},
		{"name parsed twice", ok + parse + parse + frame('S', ""), []string{"42P05"}, 1},
		{"copy data without a copy", ok + frame('d', "1\n") + frame('c', "") + frame('S', ""), nil, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := dialRaw(t, d, 0)
			// The host may close before it has read all.
			_, _ = io.WriteString(n, c.sent)
			codes, closed := answers(t, n, max(c.ready, 1))
			if !slices.Equal(codes, c.codes) || closed != (c.ready < 0) {
				t.Errorf("SQLSTATEs %q, closed %v; want %q, %v", codes, closed, c.codes, c.ready < 0)
			}
			if v := query[int64](t, o, "SELECT 1"); v != 1 {
				t.Errorf("another caller reads %d", v)
			}
		})
	}
	// Each of the 13 that were disconnected leaves a line.
	for range 13 {
		<-h
	}
}

// Callers ask for a large result and never read it. When the write timeout has
// passed they are disconnected. If one kept its backend server's connection,
// as many callers as there are connections would shut all others out.
func TestCallerNeverReads(t *testing.T) {
	h := make(refusals, 100)
	d := start(t, limitCallers, h.set)
	o := connect(t, d, 0, "")
	// This is more than the slots of all backend servers.
	const callers = 8
	for range callers {
		n := dialRaw(t, d, 0)
		if _, err := io.WriteString(n, first(3<<16, startup)+frame('Q', large+"\x00")); err != nil {
			t.Fatal(err)
		}
	}
	for range callers {
		if e := <-h; !strings.Contains(fmt.Sprint(e.Fields["error"]), "timeout") {
			t.Errorf("caller disconnected for %v", e.Fields["error"])
		}
		if v := query[int64](t, o, "SELECT 1"); v != 1 {
			t.Errorf("another caller reads %d", v)
		}
	}
}

const (
	large      = "SELECT repeat('x', 65536) FROM generate_series(1, 1024)"
	largeBytes = 64 << 20
	// heldBytes is a quarter of the result. Entry host and stand-in share the
	// process, so it covers both, with what the collector hasn't freed yet.
	heldBytes = largeBytes / 4
)

// A caller reads a result of 64 MiB. An entry host that held it whole would run
// out of memory with a few such callers. The process's live heap is compared
// every 4 MiB with the one before the request.
func TestLargeResultIsStreamed(t *testing.T) {
	d := start(t)
	c := connect(t, d, 0, "")
	exec(t, c, "SELECT 1")
	before := heap()
	r := c.PgConn().Exec(context.Background(), large)
	defer r.Close()
	total, peak := 0, uint64(0)
	for r.NextResult() {
		for r.ResultReader().NextRow() {
			total += len(r.ResultReader().Values()[0])
			if total%(4<<20) == 0 {
				peak = max(peak, heap())
			}
		}
	}
	if err := r.Close(); err != nil || total != largeBytes {
		t.Fatalf("%d bytes read, %v", total, err)
	}
	t.Logf("live heap grew from %d to %d KiB at most", before>>10, peak>>10)
	if peak > before+heldBytes {
		t.Errorf("live heap grew by %d bytes", peak-before)
	}
}

// heap returns the bytes of live objects.
func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
