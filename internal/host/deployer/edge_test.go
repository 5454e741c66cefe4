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

const maximumMessageBytes = 64 << 10

// startupParameters are the parameters of a valid startup message.
const startupParameters = "user\x00caller\x00database\x00db\x00\x00"

func message(t byte, body string) string {
	return string(t) + string(binary.BigEndian.AppendUint32(nil, uint32(len(body)+4))) + body
}

func startupMessage(version uint32, body string) string {
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

// readResponses reads until the host closes the connection or sends ReadyForQuery for the (n+1)th
// time, and returns the SQLSTATEs of the errors.
func readResponses(t *testing.T, c net.Conn, n int) (codes []string, closed bool) {
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

// limitCallers sets small limits, so that callers which exceed them are soon disconnected.
func limitCallers(d *deployer.Deployment) {
	d.CallerLimits = func(l *declarer.Limits) {
		l.MessageBytes = maximumMessageBytes
		l.HandshakeTimeout = 3 * time.Second
		l.WriteTimeout = time.Second
	}
}

// disconnectLog is a log handler that sends the entries about callers disconnected by an error.
type disconnectLog chan *log.Entry

func (r disconnectLog) HandleLog(e *log.Entry) error {
	if e.Message == "caller disconnected" && e.Fields["peer"] != nil && e.Fields["error"] != nil {
		r <- e
	}
	return nil
}

func (r disconnectLog) install(d *deployer.Deployment) {
	d.Log = &log.Logger{Handler: r, Level: log.InfoLevel}
}

// Guards against damage by broken or hostile drivers, which send what the protocol does not allow.
// The caller must receive a SQLSTATE or be disconnected with a log line, and another caller of the
// same entry host must not be affected.
func TestBadInput(t *testing.T) {
	h := make(disconnectLog, 100)
	d := start(t, limitCallers, h.install)
	o := connect(t, d, 0, "")
	ok := startupMessage(3<<16, startupParameters)
	parse := message('P', "s\x00SELECT 1\x00\x00\x00")
	garbage := strings.Repeat("\xff\x81\xff\x00", 4000)
	for _, c := range []struct {
		name, sent string
		// codes are the SQLSTATEs received. ready is how many ReadyForQuery messages follow the
		// startup, -1 if the caller is disconnected.
		codes []string
		ready int
	}{
		{"startup of an older version", startupMessage(2<<16, startupParameters), []string{"08P01"}, -1},
		{"startup too long", startupMessage(3<<16, strings.Repeat("x", 20000)), []string{"08P01"}, -1},
		{"startup without end", startupMessage(3<<16, "user\x00caller"), []string{"08P01"}, -1},
		{"text in place of a startup", "GET / HTTP/1.1\r\n\r\n", []string{"08P01"}, -1},
		{"startup that is never finished", startupMessage(3<<16, startupParameters)[:11], []string{"08P01"}, -1},
		{"unknown database", startupMessage(3<<16, "user\x00caller\x00database\x00none\x00\x00"), []string{"3D000"}, -1},
		{"unknown message type", ok + message('!', ""), []string{"08P01"}, -1},
		{"password out of turn", ok + message('p', "secret\x00"), []string{"08P01"}, -1},
		{"function call", ok + message('F', "\x00\x00\x00\x00"), []string{"0A000"}, -1},
		{"length below the header's", ok + "Q\x00\x00\x00\x03", []string{"08P01"}, -1},
		{"binary garbage", ok + garbage, []string{"08P01"}, -1},
		{"oversized message", ok + message('Q', strings.Repeat("x", maximumMessageBytes+1)), []string{"54000"}, -1},
		{"pipeline without end", ok + strings.Repeat(message('D', "P"+strings.Repeat("x", 1000)+"\x00"), 100), []string{"54000"}, -1},
		{"query without end", ok + message('Q', "SELECT 1"), []string{"08P01"}, 1},
		{"unknown statement", ok + message('D', "Snone\x00") + message('S', ""), []string{"26000"}, 1},
		{"unknown portal", ok + message('E', "none\x00\x00\x00\x00\x00") + message('S', ""), []string{"34000"}, 1},
		{"describe of neither", ok + message('D', "Xnone\x00") + message('S', ""), []string{"08P01"}, 1},
		{"name parsed twice", ok + parse + parse + message('S', ""), []string{"42P05"}, 1},
		{"copy data without a copy", ok + message('d', "1\n") + message('c', "") + message('S', ""), nil, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := dialRaw(t, d, 0)
			// The host may close the connection before it has read everything.
			_, _ = io.WriteString(n, c.sent)
			codes, closed := readResponses(t, n, max(c.ready, 1))
			if !slices.Equal(codes, c.codes) || closed != (c.ready < 0) {
				t.Errorf("SQLSTATEs %q, closed %v; want %q, %v", codes, closed, c.codes, c.ready < 0)
			}
			if v := query[int64](t, o, "SELECT 1"); v != 1 {
				t.Errorf("another caller reads %d", v)
			}
		})
	}
	// Each of the 13 callers that were disconnected causes a log line.
	for range 13 {
		<-h
	}
}

// Guards against callers that block backend connections. Callers request a large result and never
// read it, and must be disconnected after the write timeout. If they kept their backend
// connections, as many such callers as there are connections would lock out all others.
func TestCallerNeverReads(t *testing.T) {
	h := make(disconnectLog, 100)
	d := start(t, limitCallers, h.install)
	o := connect(t, d, 0, "")
	// callers is more than the slots of all backend servers.
	const callers = 8
	for range callers {
		n := dialRaw(t, d, 0)
		if _, err := io.WriteString(n, startupMessage(3<<16, startupParameters)+message('Q', largeQuery+"\x00")); err != nil {
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
	largeQuery       = "SELECT repeat('x', 65536) FROM generate_series(1, 1024)"
	largeResultBytes = 64 << 20
	// maximumHeapGrowth is a quarter of the result, in bytes. It covers the entry host and the
	// stand-in, which run in the same process, and garbage that has not been collected yet.
	maximumHeapGrowth = largeResultBytes / 4
)

// Guards against an entry host that buffers whole results and runs out of memory with a few
// callers. A caller reads a result of 64 MiB, and every 4 MiB the live heap of the process is
// compared with the one before the request.
func TestLargeResultIsStreamed(t *testing.T) {
	d := start(t)
	c := connect(t, d, 0, "")
	exec(t, c, "SELECT 1")
	before := liveHeapBytes()
	r := c.PgConn().Exec(context.Background(), largeQuery)
	defer r.Close()
	total, peak := 0, uint64(0)
	for r.NextResult() {
		for r.ResultReader().NextRow() {
			total += len(r.ResultReader().Values()[0])
			if total%(4<<20) == 0 {
				peak = max(peak, liveHeapBytes())
			}
		}
	}
	if err := r.Close(); err != nil || total != largeResultBytes {
		t.Fatalf("%d bytes read, %v", total, err)
	}
	t.Logf("live heap grew from %d to %d KiB at most", before>>10, peak>>10)
	if peak > before+maximumHeapGrowth {
		t.Errorf("live heap grew by %d bytes", peak-before)
	}
}

// liveHeapBytes returns the size of all live objects. One collection keeps what is allocated while
// it runs, so the heap is collected until a further collection frees nothing.
func liveHeapBytes() uint64 {
	last := collectedHeapBytes()
	for {
		n := collectedHeapBytes()
		if n >= last {
			return n
		}
		last = n
	}
}

// collectedHeapBytes returns the size of the heap after one collection.
func collectedHeapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
