package caller

import (
	"math/rand/v2"
	"strings"
	"testing"
)

// Guards against texts that end the line of their own message, of which a host makes several messages rightly.
func TestOddTextsHoldNoLineEnd(t *testing.T) {
	s := &Session{Random: rand.New(rand.NewPCG(1, 0)), OddPercent: 100}
	for range 20_000 {
		item := s.oddItem()
		for _, x := range []string{s.word("n"), s.last("v"), s.last(item), s.data(7)} {
			if strings.Contains(x, "\r\n") {
				t.Fatalf("%q", x)
			}
		}
		if w := s.word("n"); strings.Contains(w, " ") {
			t.Fatalf("%q holds a blank", w)
		}
	}
}
