package executor

import (
	"strings"
	"testing"
)

// Guards against a name on servers that isn't one word, or stands for two shapes.
func FuzzServerStatementName(f *testing.F) {
	f.Add("q", "q ", true, true)
	f.Add("q3b8  x", "x WRITE q3b8  x", true, false)
	f.Add("lf", "h_lf", false, false)
	f.Add(strings.Repeat("q", 41), "q\nr", true, true)
	f.Fuzz(func(t *testing.T, a, b string, c, d bool) {
		p, q := preparedStatement{writes: c, shape: a}, preparedStatement{writes: d, shape: b}
		n, m := serverStatementName(p), serverStatementName(q)
		if (n == m) != (p == q) {
			t.Errorf("%q and %q are named %q and %q", a, b, n, m)
		}
		if n == "" || len(n) > 64 || strings.ContainsFunc(n, func(r rune) bool { return r <= ' ' || r >= 0x7f }) {
			t.Errorf("%q is named %q", a, n)
		}
	})
}
