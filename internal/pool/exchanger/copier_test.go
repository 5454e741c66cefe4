package exchanger

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"github.com/cuminwick/cuminwick/internal/backend/dialer"
	"github.com/cuminwick/cuminwick/internal/pool/keeper"
	"github.com/cuminwick/cuminwick/internal/wire/batcher"
	"github.com/cuminwick/cuminwick/internal/wire/follower"
	"github.com/cuminwick/cuminwick/internal/wire/framer"
)

// copyServer answers as PostgreSQL does: during a COPY it ignores Sync and Flush and fails the COPY
// at any message that isn't one of COPY; outside of one it ignores the messages of COPY. An Execute
// or a Query begins a COPY, except for an Execute of the portal "x".
type copyServer struct {
	conn net.Conn
	// simple says that the present COPY was begun by a Query.
	simple, copying, skip bool
}

func (s *copyServer) run() {
	r := framer.Reader{Source: bufio.NewReader(s.conn), MaximumBytes: 1 << 20}
	for {
		f, err := r.NextWhole()
		if err != nil {
			return
		}
		if _, err := io.WriteString(s.conn, s.answer(f.Type, string(f.Body()))); err != nil {
			return
		}
	}
}

func (s *copyServer) answer(t byte, body string) string {
	if s.copying {
		return s.answerInCopy(t, body)
	}
	if s.skip && t != batcher.Sync {
		return ""
	}
	switch t {
	case batcher.Query:
		s.copying, s.simple = true, true
		return message(follower.CopyInResponse, "\x00\x00\x00")
	case batcher.Execute:
		if body[0] == 'x' {
			return message(follower.CommandComplete, "SELECT 0\x00")
		}
		s.copying, s.simple = true, false
		return message(follower.CopyInResponse, "\x00\x00\x00")
	case batcher.Parse:
		return message(follower.ParseComplete, "")
	case batcher.Bind:
		return message(follower.BindComplete, "")
	case batcher.Sync:
		s.skip = false
		return ready(Idle)
	}
	return ""
}

func (s *copyServer) answerInCopy(t byte, body string) string {
	switch {
	case t == batcher.CopyDone:
		s.copying = false
		return s.end(message(follower.CommandComplete, "COPY 1\x00"))
	case t == batcher.Sync, t == batcher.Flush, t == batcher.CopyData && body != "bad":
		return ""
	}
	s.copying, s.skip = false, !s.simple
	return s.end(message(follower.ErrorResponse, "SERROR\x00C22P04\x00\x00"))
}

func (s *copyServer) end(a string) string {
	if s.simple {
		a += ready(Idle)
	}
	return a
}

// callerInput is the Input of a caller that sends these messages and is then silent.
type callerInput struct {
	t        *testing.T
	messages []string
}

func (c *callerInput) Next() (byte, []byte, error) {
	if len(c.messages) == 0 {
		return 0, nil, io.EOF
	}
	m := c.messages[0]
	c.messages = c.messages[1:]
	return m[0], []byte(m), nil
}

// Guards against a surplus ReadyForQuery, which the connection's next caller would get as its answer.
// A server that has failed a COPY by itself answers the caller's later Sync on its own.
func TestCopyLeavesNothingUnread(t *testing.T) {
	data, done, end := message(batcher.CopyData, "row"), message(batcher.CopyDone, ""), message(batcher.Sync, "")
	bad := message(batcher.CopyData, "bad")
	execute := func(b *batcher.Batch, portal string) {
		b.AddBody(batcher.Parse, batcher.Pass, []byte("\x00COPY\x00\x00\x00"))
		b.AddBody(batcher.Bind, batcher.Pass, make([]byte, 8))
		b.AddBody(batcher.Execute, batcher.Pass, []byte(portal+"\x00\x00\x00\x00\x00"))
	}
	tests := []struct {
		name  string
		batch func(b *batcher.Batch)
		input []string
		code  string
	}{
		{"simple", func(b *batcher.Batch) { b.AddQuery(batcher.Pass, "COPY") }, []string{data, done}, ""},
		{"simple, bad row", func(b *batcher.Batch) { b.AddQuery(batcher.Pass, "COPY") }, []string{bad, data, done}, "22P04"},
		{"extended", func(b *batcher.Batch) {
			execute(b, "")
			b.AddBody(batcher.Sync, batcher.Pass)
		}, []string{data, done, end}, ""},
		{"extended, bad row", func(b *batcher.Batch) {
			execute(b, "")
			b.AddBody(batcher.Sync, batcher.Pass)
		}, []string{bad, data, done, end}, "22P04"},
		{"extended, another statement before the sync", func(b *batcher.Batch) {
			execute(b, "")
			execute(b, "x")
			b.AddBody(batcher.Sync, batcher.Pass)
		}, []string{data, done, end}, "22P04"},
		{"extended, close that isn't sent before the sync", func(b *batcher.Batch) {
			execute(b, "")
			b.AddBody(batcher.Close, batcher.Inject)
			b.AddBody(batcher.Sync, batcher.Pass)
		}, []string{data, done, end}, ""},
		{"extended, caller gone", func(b *batcher.Batch) {
			execute(b, "")
			b.AddBody(batcher.Sync, batcher.Pass)
		}, []string{data}, "22P04"},
		{"extended, caller gone after a bad row", func(b *batcher.Batch) {
			execute(b, "")
			b.AddBody(batcher.Sync, batcher.Pass)
		}, []string{bad}, "22P04"},
		{"simple, caller gone after a bad row", func(b *batcher.Batch) { b.AddQuery(batcher.Pass, "COPY") }, []string{bad}, "22P04"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := &copyServer{}
			var near net.Conn
			near, s.conn = tcpPair(t)
			go s.run()
			c := &keeper.Conn{Conn: &dialer.Conn{Conn: near, Address: "server", Reader: framer.Reader{Source: bufio.NewReader(near)}}}
			c.SetDeadline(time.Now().Add(5 * time.Second))
			x := &Exchange{Conn: c, Canceller: noCanceller{}, Batch: &batcher.Batch{}, Output: &recorder{}, Input: &callerInput{t: t, messages: tt.input}}
			tt.batch(x.Batch)
			r, err := x.Run(t.Context())
			if err != nil && len(tt.input) > 1 || r.Code != tt.code || r.Status != Idle {
				t.Errorf("result %+v, error %v", r, err)
			}
			if c.FinishCancel != nil {
				if err := c.FinishCancel(t.Context()); err != nil {
					t.Error(err)
				}
			}
			// The server has answered everything before once it has answered this.
			time.Sleep(20 * time.Millisecond)
			if c.Reader.Buffered() > 0 || !c.Quiet() {
				t.Error("connection has unread bytes")
			}
		})
	}
}
