package exchanger

import (
	"strings"
	"testing"
	"time"

	"github.com/cuminwick/cuminwick/internal/wire/follower"
	"github.com/cuminwick/cuminwick/internal/wire/framer"
)

// Guards against a check of an idle connection that takes a surplus answer for its own. The
// connection would be used, and the answer to the check would be that to the next statement.
func TestRoundTripWithSurplus(t *testing.T) {
	for _, tt := range []struct {
		name    string
		surplus string
		want    bool
	}{
		{"nothing", "", true},
		{"notice", message(follower.NoticeResponse, "SNOTICE\x00\x00"), true},
		{"effect of a late cancel", message(follower.ErrorResponse, "C57014\x00\x00"), true},
		{"command complete", message(follower.CommandComplete, "X\x00"), false},
		{"row", message(follower.DataRow, "\x00\x00"), false},
		{"whole answer", rowAnswer("v", "1") + ready(Idle), false},
		{"other state", ready(InTransaction), false},
		{"second ready for query", ready(Idle), false},
		{"ready for query without a state", message(follower.ReadyForQuery, ""), false},
		{"long notice", message(follower.NoticeResponse, strings.Repeat("Z", 2*framer.ChunkBytes)), true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := &scriptedServer{answer: func(int, byte, string) string { return tt.surplus + ready(Idle) }}
			if err := RoundTrip(s.connect(t), time.Second); (err == nil) != tt.want {
				t.Errorf("error %v, want success %t", err, tt.want)
			}
		})
	}
}

// Guards against a transaction that ends because one of its statements was cancelled. The connection
// is settled before the next statement, in whatever state the transaction is.
func TestSettleInsideTransaction(t *testing.T) {
	for _, state := range []byte{Idle, InTransaction, Failed} {
		s := &scriptedServer{answer: func(int, byte, string) string { return ready(state) }}
		c := &cancellation{Conn: s.connect(t), ended: make(chan struct{})}
		close(c.ended)
		if err := c.settle(t.Context()); err != nil {
			t.Errorf("state %q: %v", state, err)
		}
	}
}
