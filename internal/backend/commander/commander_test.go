package commander

import (
	"context"
	"net"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cuminwick/cuminwick/internal/backend/controller"
	"github.com/cuminwick/cuminwick/internal/group/marker"
)

// server answers status calls one by one, as the test says.
type server struct {
	// asked gets each call, answers the position to answer with; zero drops the connection.
	asked   chan string
	answers chan int
	// started counts connections, without those that only carry a cancel,
	// which the driver opens by itself.
	started atomic.Int64
}

func (s *server) dial(context.Context, string, string) (net.Conn, error) {
	a, b := net.Pipe()
	go s.serve(b)
	return a, nil
}

func (s *server) serve(c net.Conn) {
	defer c.Close()
	b := pgproto3.NewBackend(c, c)
	m, err := b.ReceiveStartupMessage()
	if _, ok := m.(*pgproto3.StartupMessage); err != nil || !ok {
		return
	}
	s.started.Add(1)
	b.Send(&pgproto3.AuthenticationOk{})
	b.Send(&pgproto3.BackendKeyData{ProcessID: 1, SecretKey: []byte{0, 0, 0, 1}})
	b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	if b.Flush() != nil {
		return
	}
	e := &exchange{backend: b}
	for {
		m, err := b.Receive()
		if err != nil {
			return
		}
		switch m := m.(type) {
		case *pgproto3.Parse:
			e.query, e.parsed = m.Query, true
		case *pgproto3.Describe:
			e.described = true
		case *pgproto3.Bind:
			s.asked <- e.query
		case *pgproto3.Sync:
			n := <-s.answers
			if n == 0 {
				return
			}
			if e.answer(n) != nil {
				return
			}
		}
	}
}

// forget as an answer stands for a server that has lost its unnamed statement.
const forget = -1

// exchange is what a connection was asked since its last answer, and its unnamed statement.
type exchange struct {
	backend           *pgproto3.Backend
	query             string
	parsed, described bool
}

// answer sends what belongs to the messages that were got, as PostgreSQL does.
func (e *exchange) answer(position int) error {
	b := e.backend
	if position == forget {
		e.query = ""
		b.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: "26000", Message: "unnamed prepared statement does not exist"})
		b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
		return b.Flush()
	}
	row := [][2]string{
		{"backend_server", "db-1"}, {"role", "primary"}, {"term", "3"}, {"last_term", "3"},
		{"last_position", strconv.Itoa(position)}, {"term_start", "1"}, {"since_heard_ms", "20"},
		{"following", ""}, {"leaving", "t"},
	}
	d := &pgproto3.RowDescription{}
	r := &pgproto3.DataRow{}
	for _, f := range row {
		d.Fields = append(d.Fields, pgproto3.FieldDescription{Name: []byte(f[0]), DataTypeOID: 25, DataTypeSize: -1})
		r.Values = append(r.Values, []byte(f[1]))
	}
	if e.parsed {
		b.Send(&pgproto3.ParseComplete{})
	}
	b.Send(&pgproto3.BindComplete{})
	if e.described {
		b.Send(d)
	}
	b.Send(r)
	b.Send(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")})
	b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	e.parsed, e.described = false, false
	return b.Flush()
}

func start(t *testing.T) (*Client, *server) {
	s := &server{asked: make(chan string), answers: make(chan int)}
	c := &Client{Name: "db-1", Address: "127.0.0.1:1", User: "control", Timeout: time.Minute, Dial: s.dial}
	t.Cleanup(func() { c.Close(context.Background()) })
	return c, s
}

type result struct {
	status controller.Status
	err    error
}

func status(c *Client) <-chan result {
	r := make(chan result, 1)
	go func() {
		s, err := c.Status(context.Background())
		r <- result{s, err}
	}()
	return r
}

// Many requests ask for the status at once. Those that come while a poll is
// under way must not get its answer: it may be older than a write of theirs,
// and a read would go to a replica that lacks it.
func TestStatusStartsAfterItsCall(t *testing.T) {
	c, s := start(t)
	first := status(c)
	<-s.asked
	second, third := status(c), status(c)
	for joined := false; !joined; {
		c.mutex.Lock()
		joined = c.next != nil
		c.mutex.Unlock()
		time.Sleep(time.Millisecond)
	}
	s.answers <- 1
	if r := <-first; r.err != nil || r.status.Last.Position != 1 {
		t.Errorf("first: %+v", r)
	}
	go func() {
		for range s.asked {
			s.answers <- 2
		}
	}()
	for _, r := range []result{<-second, <-third} {
		if r.err != nil || r.status.Last.Position != 2 {
			t.Errorf("later: %+v", r)
		}
	}
	close(s.asked)
}

func TestStatusRow(t *testing.T) {
	c, s := start(t)
	r := status(c)
	if q := <-s.asked; q != statusCall {
		t.Error(q)
	}
	s.answers <- 9
	want := controller.Status{
		BackendServer: "db-1", Role: controller.RolePrimary, Term: 3,
		Last: marker.Mark{Term: 3, Position: 9}, TermStart: 1, SinceLastContact: 20 * time.Millisecond, Leaving: true,
	}
	if g := <-r; g.err != nil || g.status != want {
		t.Errorf("%+v", g)
	}
}

// A control connection has asked for the status before, and the server has lost
// the statement since, for instance because something between them took
// the connection over. It is asked whole again, and nobody notices.
func TestForgottenStatement(t *testing.T) {
	c, s := start(t)
	for _, answers := range [][]int{{1}, {2}, {forget, 3}, {4}} {
		r := status(c)
		for _, n := range answers {
			<-s.asked
			s.answers <- n
		}
		want := marker.Position(answers[len(answers)-1])
		if g := <-r; g.err != nil || g.status.Last.Position != want || g.status.Role != controller.RolePrimary {
			t.Errorf("%+v, want position %d", g, want)
		}
	}
	if n := s.started.Load(); n != 1 {
		t.Errorf("%d connections", n)
	}
}

// The server restarts, and the kept connection is gone without a word. A status
// must not fail for it; a command must not be sent twice, since the first one
// may have taken effect.
func TestLostConnection(t *testing.T) {
	c, s := start(t)
	r := status(c)
	<-s.asked
	s.answers <- 1
	<-r
	r = status(c)
	<-s.asked
	s.answers <- 0
	<-s.asked
	s.answers <- 2
	if g := <-r; g.err != nil || g.status.Last.Position != 2 {
		t.Errorf("%+v", g)
	}
	done := make(chan error, 1)
	go func() {
		_, err := c.RaiseTerm(context.Background(), 4)
		done <- err
	}()
	<-s.asked
	s.answers <- 0
	if err := <-done; err == nil {
		t.Error("a lost command succeeded")
	}
	if n := s.started.Load(); n != 2 {
		t.Errorf("%d connections", n)
	}
}
