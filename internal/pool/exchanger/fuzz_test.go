package exchanger

import (
	"strings"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cuminwick/cuminwick/internal/wire/framer"
)

// Code must return the SQLSTATE that a driver encoded in the ErrorResponse. A wrong one would change
// how the error is handled.
func FuzzCode(f *testing.F) {
	f.Add("ERROR", "22012", "division by zero")
	f.Add("", "", "")
	f.Fuzz(func(t *testing.T, severity, code, message string) {
		// Arbitrary bytes must not cause a panic.
		Code([]byte(severity + code + message))
		if strings.ContainsRune(severity+code+message, 0) {
			return
		}
		m := pgproto3.ErrorResponse{Severity: severity, Code: code, Message: message}
		b, err := m.Encode(nil)
		if err != nil {
			t.Fatal(err)
		}
		if c := Code(b[framer.HeaderBytes:]); c != code {
			t.Errorf("code %q, want %q", c, code)
		}
	})
}

// A row that isn't of the form term/position must not be parsed as a mark.
func FuzzParsePosition(f *testing.F) {
	f.Add([]byte("\x00\x01\x00\x00\x00\x043/17"))
	f.Add([]byte("\x00\x01\x00\x00\x00\x143/99999999999999999999"))
	f.Add([]byte("\x00\x01\xff\xff\xff\xff"))
	f.Fuzz(func(t *testing.T, row []byte) {
		m := ParsePosition(row)
		if (m.Term != 0 || m.Position != 0) && !strings.ContainsRune(string(row[6:]), '/') {
			t.Errorf("%q read as %+v", row, m)
		}
	})
}
