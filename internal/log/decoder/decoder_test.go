package decoder

import (
	"bufio"
	"slices"
	"strings"
	"testing"

	"github.com/juju/errors"
)

func TestObjects(t *testing.T) {
	var got []string
	log := "{\"a\":1}\n12.5 front-1 {\"b\":2}\nnot a line of ours\n\n{\"cut"
	err := Each(strings.NewReader(log), func(object []byte) { got = append(got, string(object)) })
	if want := []string{`{"a":1}`, `{"b":2}`, `{"cut`}; err != nil || !slices.Equal(got, want) {
		t.Errorf("objects %q, error %v, want %q", got, err, want)
	}
}

// Guards against a log that is silently read only up to an overlong line.
func TestLineTooLongIsAnError(t *testing.T) {
	log := "{}\n" + strings.Repeat("x", maximumLineBytes+1) + "\n{}\n"
	if err := Each(strings.NewReader(log), func([]byte) {}); !errors.Is(err, bufio.ErrTooLong) {
		t.Errorf("error %v, want bufio.ErrTooLong", err)
	}
}
