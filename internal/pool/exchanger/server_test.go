package exchanger

import (
	"bufio"
	"context"
	"encoding/binary"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/cuminwick/cuminwick/internal/backend/dialer"
	"github.com/cuminwick/cuminwick/internal/pool/keeper"
	"github.com/cuminwick/cuminwick/internal/wire/batcher"
	"github.com/cuminwick/cuminwick/internal/wire/follower"
	"github.com/cuminwick/cuminwick/internal/wire/framer"
)

// message encodes one message of the protocol.
func message(t byte, body string) string {
	return string(binary.BigEndian.AppendUint32([]byte{t}, uint32(4+len(body)))) + body
}

func ready(status byte) string { return message(follower.ReadyForQuery, string(status)) }

// rowAnswer is the answer to a query with one text column and one row, without ReadyForQuery.
func rowAnswer(column, value string) string {
	d := message(follower.RowDescription, "\x00\x01"+column+"\x00"+strings.Repeat("\x00", 18))
	r := message(follower.DataRow, "\x00\x01"+string(binary.BigEndian.AppendUint32(nil, uint32(len(value))))+value)
	return d + r + message(follower.CommandComplete, "SELECT 1\x00")
}

// scriptedServer answers requests by a function. It answers position queries itself, unless
// position is set.
type scriptedServer struct {
	conn net.Conn
	// answer returns what is sent for the nth request, a Query or a Sync, counted from 1.
	answer func(n int, t byte, body string) string
	// position returns what is sent for a position query whose answer ought to be a.
	position func(a string) string
}

func (s *scriptedServer) run() {
	r := framer.Reader{Source: bufio.NewReader(s.conn), MaximumBytes: 1 << 20}
	n := 0
	parameters := ""
	for {
		f, err := r.NextWhole()
		if err != nil {
			return
		}
		b := strings.TrimRight(string(f.Body()), "\x00")
		var a string
		switch {
		case f.Type == batcher.Query && strings.Contains(b, "cuminwick_position()"):
			a = rowAnswer(columnOf(b), "3/17") + ready(Idle)
			if s.position != nil {
				a = s.position(a)
			}
		case f.Type == batcher.Parse && strings.HasPrefix(string(f.Body()), "\x00\x00"):
			parameters = string(f.Body()[2:])
		case (f.Type == batcher.Sync || f.Type == batcher.Flush) && parameters != "":
			a = message(follower.ParseComplete, "") + message(follower.ParameterDescription, parameters) + message(follower.NoData, "")
			if f.Type == batcher.Sync {
				a += ready(Idle)
			}
			parameters = ""
			if s.position != nil {
				a = s.position(a)
			}
		case f.Type == batcher.Query || f.Type == batcher.Sync || f.Type == batcher.Flush:
			n++
			a = s.answer(n, f.Type, b)
		}
		if _, err := io.WriteString(s.conn, a); err != nil {
			return
		}
	}
}

// columnOf returns the name of the result column of a position query.
func columnOf(sql string) string {
	if _, n, ok := strings.Cut(sql, " AS "); ok {
		return n
	}
	return "cuminwick_position"
}

// connect returns a connection to s over TCP.
func (s *scriptedServer) connect(t *testing.T) *keeper.Conn {
	t.Helper()
	var near net.Conn
	near, s.conn = tcpPair(t)
	go s.run()
	return &keeper.Conn{Conn: &dialer.Conn{Conn: near, Address: "server", Reader: framer.Reader{Source: bufio.NewReader(near)}}}
}

// tcpPair returns the two ends of a TCP connection.
func tcpPair(t *testing.T) (near, far net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if near, err = net.Dial("tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if far, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { near.Close(); far.Close() })
	return near, far
}

// recorder is an Output that keeps what the caller gets.
type recorder struct {
	types string
	raw   strings.Builder
}

func (r *recorder) Frame(t byte, part []byte, first, _ bool) error {
	if first {
		r.types += string(t)
	}
	r.raw.Write(part)
	return nil
}

type noCanceller struct{}

func (noCanceller) Cancel(context.Context, string, uint32, uint32) error { return nil }

// query runs one query on c and returns what the caller gets.
func query(t *testing.T, c *keeper.Conn, sql string, askPosition bool) (*recorder, Result, error) {
	t.Helper()
	return run(t, c, sql, &Exchange{AskPosition: askPosition})
}

// run runs one query on c with the options of x.
func run(t *testing.T, c *keeper.Conn, sql string, x *Exchange) (*recorder, Result, error) {
	t.Helper()
	o := &recorder{}
	x.Conn, x.Canceller, x.Batch, x.Output = c, noCanceller{}, &batcher.Batch{}, o
	x.Batch.AddStatements(batcher.Pass, sql, 1)
	c.SetDeadline(time.Now().Add(5 * time.Second))
	r, err := x.Run(t.Context())
	return o, r, err
}
