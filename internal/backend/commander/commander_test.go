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

// server answers status queries one at a time, as directed by the test.
type server struct {
	// queries receives each query. answers gets the position to report for it; zero closes the
	// connection.
	queries chan string
	answers chan int
	// connections counts the connections, without those that the driver opens by itself to send a
	// cancel request.
	connections atomic.Int64
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
	s.connections.Add(1)
	b.Send(&pgproto3.AuthenticationOk{})
	b.Send(&pgproto3.BackendKeyData{ProcessID: 1, SecretKey: []byte{0, 0, 0, 1}})
	b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	if b.Flush() != nil {
		return
	}
	e := &session{backend: b}
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
			e.bind(m)
			s.queries <- e.query
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

// forgetStatement is the answer of a server that has lost its unnamed prepared statement.
const forgetStatement = -1

// session is the state of one connection: its unnamed prepared statement and the messages received
// since the last answer.
type session struct {
	backend           *pgproto3.Backend
	query             string
	parsed, described bool
	// call is the first parameter of the last Bind, which is returned in a column of its own.
	call string
}

func (e *session) bind(m *pgproto3.Bind) {
	e.call = ""
	if len(m.Parameters) > 0 {
		e.call = string(m.Parameters[0])
	}
}

// answer sends the messages with which PostgreSQL answers those received.
func (e *session) answer(position int) error {
	b := e.backend
	if position == forgetStatement {
		e.query = ""
		b.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: "26000", Message: "unnamed prepared statement does not exist"})
		b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
		return b.Flush()
	}
	row := [][2]string{
		{"backend_server", "db-1"}, {"role", "primary"}, {"term", "3"}, {"last_term", "3"},
		{"last_position", strconv.Itoa(position)}, {"term_start", "1"}, {"since_heard_ms", "20"},
		{"following", ""}, {"leaving", "t"}, {callColumn, e.call},
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

func newClient(t *testing.T) (*Client, *server) {
	s := &server{queries: make(chan string), answers: make(chan int)}
	c := &Client{Name: "db-1", Address: "127.0.0.1:1", User: "control", Timeout: time.Minute, Dial: s.dial}
	t.Cleanup(func() { c.Close(context.Background()) })
	return c, s
}

type result struct {
	status controller.Status
	err    error
}

func statusAsync(c *Client) <-chan result {
	r := make(chan result, 1)
	go func() {
		s, err := c.Status(context.Background())
		r <- result{s, err}
	}()
	return r
}

// Many requests query the status concurrently. One that arrives while a poll is running must not
// share its result, which may be older than a write of the request: a read would be sent to a
// replica that lacks the write.
func TestStatusPollStartsAfterCall(t *testing.T) {
	c, s := newClient(t)
	first := statusAsync(c)
	<-s.queries
	second, third := statusAsync(c), statusAsync(c)
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
		for range s.queries {
			s.answers <- 2
		}
	}()
	for _, r := range []result{<-second, <-third} {
		if r.err != nil || r.status.Last.Position != 2 {
			t.Errorf("later: %+v", r)
		}
	}
	close(s.queries)
}

func TestStatusRow(t *testing.T) {
	c, s := newClient(t)
	r := statusAsync(c)
	if q := <-s.queries; q != statusQuery {
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

// The server has lost the unnamed prepared statement of a control connection, for instance because
// a proxy in between took the connection over. The client must prepare the statement again on the
// same connection instead of returning an error.
func TestLostStatement(t *testing.T) {
	c, s := newClient(t)
	for _, answers := range [][]int{{1}, {2}, {forgetStatement, 3}, {4}} {
		r := statusAsync(c)
		for _, n := range answers {
			<-s.queries
			s.answers <- n
		}
		want := marker.Position(answers[len(answers)-1])
		if g := <-r; g.err != nil || g.status.Last.Position != want || g.status.Role != controller.RolePrimary {
			t.Errorf("%+v, want position %d", g, want)
		}
	}
	if n := s.connections.Load(); n != 1 {
		t.Errorf("%d connections", n)
	}
}

// The server restarts and the kept connection is lost without an error until its next use. A status
// must not fail because of that. A command must not be sent twice, because the first one may have
// taken effect.
func TestLostConnection(t *testing.T) {
	c, s := newClient(t)
	r := statusAsync(c)
	<-s.queries
	s.answers <- 1
	<-r
	r = statusAsync(c)
	<-s.queries
	s.answers <- 0
	<-s.queries
	s.answers <- 2
	if g := <-r; g.err != nil || g.status.Last.Position != 2 {
		t.Errorf("%+v", g)
	}
	done := make(chan error, 1)
	go func() {
		_, err := c.RaiseTerm(context.Background(), 4)
		done <- err
	}()
	<-s.queries
	s.answers <- 0
	if err := <-done; err == nil {
		t.Error("a lost command succeeded")
	}
	if n := s.connections.Load(); n != 2 {
		t.Errorf("%d connections", n)
	}
}
