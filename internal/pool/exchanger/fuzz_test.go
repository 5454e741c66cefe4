package exchanger

import (
	"regexp"
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

// A row that isn't of the form term/position must not be parsed as a mark, nor one with another column
// or with more bytes than its column.
func FuzzParsePosition(f *testing.F) {
	f.Add([]byte("\x00\x01\x00\x00\x00\x043/17"))
	f.Add([]byte("\x00\x01\x00\x00\x00\x143/99999999999999999999"))
	f.Add([]byte("\x00\x01\xff\xff\xff\xff"))
	f.Add([]byte("\x00\x02\x00\x00\x00\x043/17"))
	f.Add([]byte("\x00\x01\x00\x00\x00\x043/17\x00\x00\x00\x00"))
	f.Fuzz(func(t *testing.T, row []byte) {
		m, ok := parsePosition(row)
		n := max(6, len(row))
		column := string(append(row, make([]byte, 6)...)[6:n])
		want := exactPosition.MatchString(column) && string(row[:6]) == string([]byte{0, 1, 0, 0, byte(len(column) >> 8), byte(len(column))})
		if ok && !want || want && !ok && len(column) < 20 {
			t.Errorf("%q read as %+v, %t", row, m, ok)
		}
	})
}

// exactPosition matches a position, perhaps with numbers that exceed 64 bits.
var exactPosition = regexp.MustCompile(`^[0-9]+/[0-9]+$`)
