package exchanger

import (
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/cuminwick/cuminwick/internal/pool/keeper"
	"github.com/cuminwick/cuminwick/internal/wire/follower"
	"github.com/cuminwick/cuminwick/internal/wire/framer"
)

// Guards against a caller that gets the rows of another one. A server sends an answer once more,
// before the connection's next statement.
func TestSurplusAnswerBeforeNextStatement(t *testing.T) {
	for _, tt := range []struct {
		name    string
		surplus string
	}{
		{"whole answer", rowAnswer("v", "1") + ready(Idle)},
		{"command complete", message(follower.CommandComplete, "SELECT 1\x00")},
		{"ready for query", ready(Idle)},
		{"error", message(follower.ErrorResponse, "SERROR\x00C22012\x00\x00")},
		{"part of a message", message(follower.DataRow, "\x00\x01\x00\x00\x00\x011")[:7]},
		{"notice, then ready for query", message(follower.NoticeResponse, "SNOTICE\x00\x00") + ready(Idle)},
	} {
		for _, late := range []bool{false, true} {
			t.Run(tt.name, func(t *testing.T) {
				s := &scriptedServer{answer: func(n int, _ byte, sql string) string {
					a := rowAnswer("v", sql) + ready(Idle)
					if n == 1 && !late {
						a += tt.surplus
					}
					return a
				}}
				c := s.connect(t)
				if _, _, err := query(t, c, "1", false); err != nil {
					t.Fatal(err)
				}
				if late {
					if _, err := io.WriteString(s.conn, tt.surplus); err != nil {
						t.Fatal(err)
					}
					awaitUnread(t, c)
				}
				o, _, err := query(t, c, "2", false)
				if !errors.Is(err, ErrNotSent) {
					t.Errorf("late %t: error %v, want %v; caller got %q", late, err, ErrNotSent, o.raw.String())
				}
			})
		}
	}
}

// awaitUnread waits until the connection has unread bytes.
func awaitUnread(t *testing.T, c *keeper.Conn) {
	t.Helper()
	for i := 0; c.Quiet(); i++ {
		if i > 1000 {
			t.Fatal("nothing arrived")
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against lost notifications. A session that listens gets what arrived before its statement.
func TestNotificationBeforeStatement(t *testing.T) {
	s := &scriptedServer{answer: func(_ int, _ byte, sql string) string { return rowAnswer("v", sql) + ready(Idle) }}
	c := s.connect(t)
	for _, size := range []int{1, framer.ChunkBytes + 1} {
		if _, err := io.WriteString(s.conn, message(follower.NotificationResponse, "\x00\x00\x00\x01c\x00"+strings.Repeat("x", size)+"\x00")); err != nil {
			t.Fatal(err)
		}
		awaitUnread(t, c)
		o, _, err := query(t, c, "1", false)
		if err != nil || o.types != "ATDC" {
			t.Errorf("caller got %q, error %v", o.types, err)
		}
	}
}
