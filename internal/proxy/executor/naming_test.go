package executor

import (
	"fmt"
	"strings"
	"testing"
)

// shapes are shapes of prepared statements. The last ones look like the names that others could get.
func shapes() []string {
	l := []string{
		"q2c", "q2c ", " q2c", "q2c x", "q2c\tx", "q2c\u00a0x", "q2c\nx", "q2c\rx", "q2c\x00", "\xff", "q2c%20x", "lf", "x WRITE q3b8  x",
		strings.Repeat("q", 40), strings.Repeat("q", 41), strings.Repeat("q", 60000), strings.Repeat("q", 60000) + "r",
	}
	for _, s := range l {
		for _, w := range []bool{false, true} {
			l = append(l, serverStatementName(preparedStatement{writes: w, shape: s}))
		}
	}
	return l
}

// Guards against a statement that a server prepares under another name and with another shape than the
// caller's, as the name holds a blank, and against one name for two shapes.
func TestNameOnServerStandsForOneShape(t *testing.T) {
	owners := make(map[string]string)
	for _, s := range shapes() {
		for _, w := range []bool{false, true} {
			p := preparedStatement{writes: w, shape: s}
			n := serverStatementName(p)
			if n == "" || len(n) > 64 || strings.ContainsFunc(n, func(r rune) bool { return r <= ' ' || r >= 0x7f }) {
				t.Errorf("%.40q has the name %.80q", s, n)
			}
			owner := fmt.Sprint(w, s)
			if o, ok := owners[n]; ok && o != owner {
				t.Errorf("%.40q and %.40q have the name %.80q", o, owner, n)
			}
			owners[n] = owner
		}
	}
	if n := serverStatementName(preparedStatement{writes: true, shape: "q2c"}); n != "w_q2c" {
		t.Errorf("plain shape has the name %q", n)
	}
}
