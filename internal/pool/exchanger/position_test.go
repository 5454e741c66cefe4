package exchanger

import (
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/cuminwick/cuminwick/internal/wire/follower"
)

// Guards against a caller that gets the rows of another one. A server sends an answer once more
// while the next statement runs, when nothing is unread before the statement is sent.
func TestSurplusAnswerWhileNextStatementRuns(t *testing.T) {
	for _, tt := range []struct {
		name string
		// surplus is sent before the answer to the second statement; p is the answer to the first
		// position query.
		surplus func(p string) string
	}{
		{"statement's answer", func(string) string { return rowAnswer("v", "1") + ready(Idle) }},
		{"position", func(p string) string { return p }},
		{"statement's answer and position", func(p string) string { return rowAnswer("v", "1") + ready(Idle) + p }},
		{"command complete", func(string) string { return message(follower.CommandComplete, "SELECT 1\x00") }},
		{"ready for query", func(string) string { return ready(Idle) }},
		{"error and ready for query", func(string) string {
			return message(follower.ErrorResponse, "SERROR\x00C22012\x00\x00") + ready(Idle)
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var first string
			s := &scriptedServer{}
			s.position = func(a string) string {
				if first == "" {
					first = a
				}
				return a
			}
			s.answer = func(n int, _ byte, sql string) string {
				a := rowAnswer("v", sql) + ready(Idle)
				if n == 2 {
					a = tt.surplus(first) + a
				}
				return a
			}
			c := s.connect(t)
			if _, r, err := query(t, c, "1", true); err != nil || r.Position.IsZero() {
				t.Fatal(r, err)
			}
			o, r, err := query(t, c, "2", true)
			if err == nil || errors.Is(err, ErrNotSent) {
				t.Errorf("result %+v, error %v, want %v; caller got %q", r, err, ErrLost, o.raw.String())
			}
		})
	}
}

// Guards against a position that is read from the answer to another query, after which a read or the
// acknowledgement of a write relies on the wrong part of the log.
func TestPositionOfAnotherAnswer(t *testing.T) {
	for _, tt := range []struct {
		name   string
		answer func(a string) string
	}{
		{"rows of a caller", func(string) string { return rowAnswer("v", "9/99") + ready(Idle) }},
		{"row without a description", func(string) string {
			return message(follower.DataRow, "\x00\x01\x00\x00\x00\x049/99") + message(follower.CommandComplete, "SELECT 1\x00") + ready(Idle)
		}},
		{"command complete only", func(string) string { return message(follower.CommandComplete, "INSERT 0 1\x00") + ready(Idle) }},
		{"ready for query only", func(string) string { return ready(Idle) }},
		{"other state", func(a string) string { return a[:len(a)-1] + "T" }},
		{"two rows", func(a string) string {
			d := message(follower.DataRow, "\x00\x01\x00\x00\x00\x049/99")
			return strings.Replace(a, message(follower.CommandComplete, "SELECT 1\x00"), d+message(follower.CommandComplete, "SELECT 2\x00"), 1)
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := &scriptedServer{position: tt.answer, answer: func(_ int, _ byte, sql string) string { return rowAnswer("v", sql) + ready(Idle) }}
			_, r, err := query(t, s.connect(t), "1", true)
			if !errors.Is(err, ErrLost) || !r.Position.IsZero() {
				t.Errorf("position %+v, error %v, want %v", r.Position, err, ErrLost)
			}
		})
	}
}

// Guards against lost notifications. A session that listens gets what the server sends between the
// answer to its statement and that to the position query, and what arrived before its statement.
func TestMessagesBetweenAnswers(t *testing.T) {
	notification := message(follower.NotificationResponse, "\x00\x00\x00\x01channel\x00payload\x00")
	status := message(follower.ParameterStatus, "TimeZone\x00UTC\x00")
	s := &scriptedServer{
		position: func(a string) string { return notification + status + a },
		answer:   func(_ int, _ byte, sql string) string { return rowAnswer("v", sql) + ready(Idle) },
	}
	c := s.connect(t)
	o, _, err := query(t, c, "1", true)
	if err != nil || o.types != "TDCAS" {
		t.Errorf("caller got %q, error %v", o.types, err)
	}
	if _, err := io.WriteString(s.conn, notification); err != nil {
		t.Fatal(err)
	}
	awaitUnread(t, c)
	o, _, err = query(t, c, "2", true)
	if err != nil || o.types != "ATDCAS" {
		t.Errorf("caller got %q, error %v", o.types, err)
	}
}
