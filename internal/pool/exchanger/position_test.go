package exchanger

import (
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/cuminwick/cuminwick/internal/wire/batcher"
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
		for _, ask := range []Exchange{{AskPosition: true}, {AskProof: true}} {
			t.Run(tt.name, func(t *testing.T) {
				runWithSurplus(t, tt.surplus, ask)
			})
		}
	}
}

// runWithSurplus runs two statements with the options of ask. The server sends the surplus before the
// answer to the second one.
func runWithSurplus(t *testing.T, surplus func(p string) string, ask Exchange) {
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
			a = surplus(first) + a
		}
		return a
	}
	c := s.connect(t)
	x, y := ask, ask
	if _, r, err := run(t, c, "1", &x); err != nil || r.Position.IsZero() == ask.AskPosition {
		t.Fatal(r, err)
	}
	o, r, err := run(t, c, "2", &y)
	if err == nil || errors.Is(err, ErrNotSent) {
		t.Errorf("result %+v, error %v, want %v; caller got %q", r, err, ErrLost, o.raw.String())
	}
}

// Guards against a proof that another answer is taken for.
func TestProofOfAnotherAnswer(t *testing.T) {
	for _, tt := range []struct {
		name   string
		answer func(a string) string
		ok     bool
	}{
		{"own", func(a string) string { return a }, true},
		{"notice within", func(a string) string { return a[:5] + message(follower.NoticeResponse, "SNOTICE\x00\x00") + a[5:] }, true},
		{"error of a late cancel", func(string) string { return message(follower.ErrorResponse, "C57014\x00\x00") + ready(Idle) }, true},
		{"another number", func(a string) string {
			return strings.Replace(a, "\x00\x01\x00\x01\x00\x01", "\x00\x01\x00\x01\x00\x02", 1)
		}, false},
		{"no description", func(a string) string { return strings.Replace(a, message(follower.NoData, ""), "", 1) }, false},
		{"description of rows", func(a string) string { return strings.Replace(a, "n\x00\x00\x00\x04", rowAnswer("v", "1")[:26], 1) }, false},
		{"second parse complete", func(a string) string { return message(follower.ParseComplete, "") + a }, false},
		{"second error", func(string) string {
			return strings.Repeat(message(follower.ErrorResponse, "C57014\x00\x00"), 2) + ready(Idle)
		}, false},
		{"ready for query only", func(string) string { return ready(Idle) }, false},
		{"other state", func(a string) string { return a[:len(a)-1] + "E" }, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := &scriptedServer{position: tt.answer, answer: func(_ int, _ byte, sql string) string { return rowAnswer("v", sql) + ready(Idle) }}
			_, r, err := run(t, s.connect(t), "1", &Exchange{AskProof: true})
			if (err == nil) != tt.ok || err != nil && !errors.Is(err, ErrLost) {
				t.Errorf("result %+v, error %v, want success %t", r, err, tt.ok)
			}
		})
	}
}

// Guards against the rows of an earlier statement for a batch that ends in a Flush, after which the
// server sends no ReadyForQuery.
func TestProofAfterFlush(t *testing.T) {
	row := message(follower.BindComplete, "") + message(follower.DataRow, "\x00\x01\x00\x00\x00\x011") + message(follower.CommandComplete, "SELECT 1\x00")
	failed := message(follower.BindComplete, "") + message(follower.ErrorResponse, "C22012\x00\x00")
	for _, tt := range []struct {
		name   string
		answer string
		proof  func(a string) string
		ok     bool
	}{
		{"own", row, func(a string) string { return a }, true},
		{"error, after which the proof is skipped", failed, func(string) string { return "" }, true},
		{"answer twice", row + row, func(a string) string { return a }, false},
		{"ready for query", row, func(string) string { return ready(Idle) }, false},
		{"error instead of the proof", row, func(string) string { return message(follower.ErrorResponse, "C57014\x00\x00") }, false},
		{"proof of another request", row, func(a string) string {
			return strings.Replace(a, "\x00\x01\x00\x01\x00\x01", "\x00\x01\x00\x01\x00\x02", 1)
		}, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := &scriptedServer{position: tt.proof, answer: func(int, byte, string) string { return tt.answer }}
			o, c := &recorder{}, s.connect(t)
			x := &Exchange{Conn: c, Canceller: noCanceller{}, Batch: &batcher.Batch{}, Output: o, AskProof: true}
			x.Batch.AddBody(batcher.Bind, batcher.Pass, make([]byte, 8))
			x.Batch.AddBody(batcher.Execute, batcher.Pass, make([]byte, 5))
			x.Batch.AddBody(batcher.Flush, batcher.Pass)
			c.SetDeadline(time.Now().Add(5 * time.Second))
			r, err := x.Run(t.Context())
			if (err == nil) != tt.ok || err != nil && !errors.Is(err, ErrLost) {
				t.Errorf("result %+v, error %v, want success %t; caller got %q", r, err, tt.ok, o.types)
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
