package server

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/cuminwick/cuminwick/internal/caller/greeter"
	"github.com/cuminwick/cuminwick/internal/wire/batcher"
	"github.com/cuminwick/cuminwick/internal/wire/framer"
)

// Guards against messages that a server which has ended a COPY by itself would take for requests:
// their answers would be those to the next caller's statements.
func TestOnlyCopyMessagesDuringCopy(t *testing.T) {
	data, done, fail := encode(batcher.CopyData, "x"), encode(batcher.CopyDone, ""), encode(batcher.CopyFail, "x\x00")
	sync, flush := encode(batcher.Sync, ""), encode(batcher.Flush, "")
	for _, tt := range []struct {
		name string
		// end is the type of the last message of the batch that began the COPY.
		end  byte
		sent []string
		// want are the types of the messages that are passed on, with "!" for an error.
		want string
	}{
		{"simple", batcher.Query, []string{data, done}, "dc"},
		{"simple, failed by the caller", batcher.Query, []string{data, fail}, "df"},
		{"simple, sync and flush before the end", batcher.Query, []string{data, sync, flush, done}, "dc"},
		{"simple, query", batcher.Query, []string{data, encode(batcher.Query, "SELECT 2\x00"), done}, "d!"},
		{"simple, parse", batcher.Query, []string{encode(batcher.Parse, "\x00SELECT 2\x00\x00\x00"), sync, done}, "!"},
		{"extended", batcher.Sync, []string{data, done, sync}, "dcS"},
		{"extended, sync and flush before the end", batcher.Sync, []string{data, flush, sync, done, sync}, "dcS"},
		{"extended, flush and data after the end", batcher.Sync, []string{data, done, flush, data, sync}, "dcS"},
		{"extended, batch before the sync", batcher.Sync, []string{data, done, encode(batcher.Parse, "\x00SELECT 2\x00\x00\x00"), sync}, "dc!"},
		{"done with a body", batcher.Query, []string{encode(batcher.CopyDone, "x"), done}, "!"},
		{"sync with a body", batcher.Sync, []string{done, encode(batcher.Sync, "x"), sync}, "c!"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			near, far := net.Pipe()
			s := &Session{StartupRequest: greeter.StartupRequest{Conn: far}, MaximumMessageBytes: 1 << 16, WriteTimeout: time.Second}
			s.Prepare(t.Context())
			s.in = inbound{reader: framer.Reader{Source: bufio.NewReader(far), MaximumBytes: 1 << 16}, maximumBytes: 1 << 16, onError: func(error) {}}
			s.in.start()
			go func() {
				_, _ = io.WriteString(near, strings.Join(tt.sent, ""))
				near.Close()
			}()
			i := s.copyInput(tt.end)
			got := ""
			for !strings.HasSuffix(got, "!") && len(got) < len(tt.want) {
				m, raw, err := i.Next()
				if err != nil {
					got += "!"
					break
				}
				if raw[0] != m {
					t.Errorf("message %q of type %q", raw, m)
				}
				got += string(m)
			}
			if got != tt.want {
				t.Errorf("passed on %q, want %q", got, tt.want)
			}
			s.finish()
		})
	}
}
