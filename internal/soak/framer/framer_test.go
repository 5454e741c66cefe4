package framer

import (
	"slices"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/juju/errors"
)

// Guards against stand-ins that split lines where the product does and not where the protocol does.
func TestNext(t *testing.T) {
	for name, x := range map[string]struct {
		in   string
		want []string
	}{
		"lines":       {in: "a b\r\nc\r\n", want: []string{"a b", "c"}},
		"lone LF":     {in: "a\nb\r\n", want: []string{"a\nb"}},
		"lone CR":     {in: "a\rb\r\n", want: []string{"a\rb"}},
		"CR at end":   {in: "a\r\r\nb\r\n", want: []string{"a\r", "b"}},
		"LF at start": {in: "\na\r\n", want: []string{"\na"}},
		"blanks":      {in: " a  b \r\n\r\n", want: []string{" a  b ", ""}},
		"other bytes": {in: "a\x00\t\xff\xfe\r\n", want: []string{"a\x00\t\xff\xfe"}},
		"no end":      {in: "a\r\nb\n", want: []string{"a"}},
		"longest":     {in: strings.Repeat("x", maximumLineBytes-2) + "\r\n", want: []string{strings.Repeat("x", maximumLineBytes-2)}},
		"too long":    {in: strings.Repeat("x", maximumLineBytes-1) + "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			r := New(iotest.HalfReader(strings.NewReader(x.in)))
			var got []string
			l, err := r.Next()
			for ; err == nil; l, err = r.Next() {
				got = append(got, l)
			}
			if !slices.Equal(got, x.want) {
				t.Errorf("got %.100q, want %.100q", got, x.want)
			}
			if name == "too long" && !errors.Is(err, ErrTooLong) {
				t.Errorf("got %v, want %v", err, ErrTooLong)
			}
		})
	}
}
