package exchanger

import (
	"errors"
	"strings"
	"testing"

	"github.com/cuminwick/cuminwick/internal/wire/follower"
	"github.com/cuminwick/cuminwick/internal/wire/framer"
)

// Guards against a message that can't answer the statement: it is forwarded to the caller, ends the
// answer too early or stops the process.
func TestMessageThatIsNoAnswer(t *testing.T) {
	row := message(follower.DataRow, "\x00\x01\x00\x00\x00\x011")
	for _, tt := range []struct {
		name   string
		answer string
	}{
		{"ready for query without a state", rowAnswer("v", "1") + message(follower.ReadyForQuery, "")},
		{"ready for query of two bytes", rowAnswer("v", "1") + message(follower.ReadyForQuery, "II")},
		{"ready for query that exceeds a chunk", rowAnswer("v", "1") + message(follower.ReadyForQuery, strings.Repeat("I", framer.ChunkBytes+1)) + ready(Idle)},
		{"ready for query in an unknown state", rowAnswer("v", "1") + ready('X')},
		{"ready for query before the answer", ready(Idle) + rowAnswer("v", "1") + ready(Idle)},
		{"ready for query between row and command complete", rowAnswer("v", "1")[:len(rowAnswer("v", "1"))-14] + ready(Idle) + ready(Idle)},
		{"row without a description", row + message(follower.CommandComplete, "SELECT 1\x00") + ready(Idle)},
		{"parse complete", message(follower.ParseComplete, "") + rowAnswer("v", "1") + ready(Idle)},
		{"bind complete", message(follower.BindComplete, "") + rowAnswer("v", "1") + ready(Idle)},
		{"portal suspended", message(follower.PortalSuspended, "") + ready(Idle)},
		{"answer after an error", message(follower.ErrorResponse, "C22012\x00\x00") + rowAnswer("v", "1") + ready(Idle)},
		{"copy both", message(follower.CopyBothResponse, "\x00\x00\x00") + rowAnswer("v", "1") + ready(Idle)},
		{"copy in without a COPY", message(follower.CopyInResponse, "\x00\x00\x00") + ready(Idle)},
		{"copy in that exceeds a chunk", message(follower.CopyInResponse, strings.Repeat("x", framer.ChunkBytes+1)) + ready(Idle)},
		{"authentication", message('R', "\x00\x00\x00\x00") + rowAnswer("v", "1") + ready(Idle)},
		{"unknown type", message('?', "") + rowAnswer("v", "1") + ready(Idle)},
		{"length below four", rowAnswer("v", "1") + "Z\x00\x00\x00\x03I"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := &scriptedServer{answer: func(int, byte, string) string { return tt.answer }}
			defer func() {
				if p := recover(); p != nil {
					t.Errorf("panic: %v", p)
				}
			}()
			o, r, err := query(t, s.connect(t), "1", false)
			if !errors.Is(err, ErrLost) {
				t.Errorf("result %+v, error %v, want %v; caller got %q", r, err, ErrLost, o.types)
			}
		})
	}
}

// Guards against a failed statement that counts as run because its error has no SQLSTATE.
func TestErrorWithoutCode(t *testing.T) {
	for _, b := range []string{"", "\x00", "SERROR\x00Mfailed\x00\x00", "C\x00\x00"} {
		s := &scriptedServer{answer: func(int, byte, string) string { return message(follower.ErrorResponse, b) + ready(Idle) }}
		_, r, err := query(t, s.connect(t), "COMMIT", false)
		if err == nil && r.Code == "" {
			t.Errorf("error %q: counted as a success", b)
		}
	}
}
