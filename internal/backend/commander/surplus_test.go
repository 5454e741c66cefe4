package commander

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// repeater answers each status query with the next position. It sends some answers once more: with
// the answer itself, while the connection is idle, or before the next answer.
type repeater struct {
	position atomic.Int64
	// when says when the surplus is sent.
	when  string
	conns atomic.Int64
}

func (s *repeater) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer l.Close()
	near, err := new(net.Dialer).DialContext(ctx, "tcp", l.Addr().String())
	if err != nil {
		return nil, err
	}
	far, err := l.Accept()
	if err != nil {
		return nil, err
	}
	s.conns.Add(1)
	go s.serve(far)
	return near, nil
}

func (s *repeater) serve(c net.Conn) {
	defer c.Close()
	b := pgproto3.NewBackend(c, c)
	if _, err := b.ReceiveStartupMessage(); err != nil {
		return
	}
	b.Send(&pgproto3.AuthenticationOk{})
	b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	if b.Flush() != nil {
		return
	}
	e := &session{backend: b}
	var last int
	var lastCall string
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
		case *pgproto3.Sync:
			n := int(s.position.Add(1))
			if s.when == "before" && last > 0 {
				o := *e
				o.call = lastCall
				if o.answer(last) != nil {
					return
				}
			}
			if e.answer(n) != nil {
				return
			}
			if s.when == "idle" {
				time.Sleep(5 * time.Millisecond)
			}
			if s.when != "before" && e.answer(n) != nil {
				return
			}
			last, lastCall = n, e.call
		}
	}
}

// Guards against a status that is the answer to an earlier poll. A read that relies on its position
// would miss writes that were acknowledged before it began.
func TestStatusOfAnEarlierPoll(t *testing.T) {
	for _, when := range []string{"at once", "idle", "before"} {
		t.Run(when, func(t *testing.T) {
			s := &repeater{when: when}
			c := &Client{Name: "db-1", Address: "127.0.0.1:1", User: "control", Dial: s.dial}
			t.Cleanup(func() { _ = c.Close(context.Background()) })
			good := 0
			for range 30 {
				before := s.position.Load()
				x, stop := context.WithTimeout(t.Context(), time.Second)
				a, err := c.Status(x)
				stop()
				if err == nil && int64(a.Last.Position) <= before {
					t.Errorf("position %d, which was reported before the poll; %d had been", a.Last.Position, before)
				}
				if err == nil {
					good++
				}
				if when == "idle" {
					time.Sleep(10 * time.Millisecond)
				}
			}
			if good < 10 {
				t.Errorf("%d of 30 polls succeeded", good)
			}
			t.Log(good, "good polls over", s.conns.Load(), "connections")
		})
	}
}
