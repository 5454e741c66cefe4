package framer

import (
	"bufio"
	"bytes"
	"io"
	"testing"

	"github.com/juju/errors"
)

// fuzzMaximumBytes exceeds ChunkBytes, so that long messages are tested too.
const fuzzMaximumBytes = 3 * ChunkBytes

func newReader(b []byte) *Reader {
	return &Reader{Source: bufio.NewReader(bytes.NewReader(b)), MaximumBytes: fuzzMaximumBytes}
}

// encodeMessage returns a message whose body has the given size.
func encodeMessage(t byte, body int) []byte {
	n := body + lengthBytes
	return append([]byte{t, byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)}, bytes.Repeat([]byte{'x'}, body)...)
}

// Guards against memory that is allocated for an announced message before it arrives. A caller announces
// a message just below the limit and sends only its beginning. If the reader allocated memory for all of
// it, about a hundred such callers would exhaust the host's memory.
func TestAnnouncedMessageTakesNoMemory(t *testing.T) {
	r := newReader(encodeMessage('Q', fuzzMaximumBytes)[:100])
	r.MaximumBytes = 1 << 30
	if _, err := r.NextWhole(); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("error %v, want io.ErrUnexpectedEOF", err)
	}
	if cap(r.buffer) > 2*ChunkBytes {
		t.Errorf("buffer of %d bytes, want two chunks at most", cap(r.buffer))
	}
}

// FuzzReader guards against frames and parts whose concatenation differs from the stream, against
// unexpected errors, and against buffers much larger than the input.
func FuzzReader(f *testing.F) {
	f.Add(uint32(10), encodeMessage('S', 0), true)
	f.Add(uint32(2*ChunkBytes+1), encodeMessage('c', 0), false)
	f.Add(uint32(fuzzMaximumBytes), []byte{}, true)
	f.Add(uint32(fuzzMaximumBytes+1), []byte{}, true)
	f.Add(uint32(0), []byte{'Q', 0, 0, 0, 3}, true)
	f.Add(uint32(0), []byte{'Q', 255, 255, 255, 255, 0}, false)
	f.Fuzz(func(t *testing.T, body uint32, rest []byte, whole bool) {
		b := append(encodeMessage('d', int(body%(fuzzMaximumBytes+2))), rest...)
		r := newReader(b)
		next := r.Next
		if whole {
			next = r.NextWhole
		}
		var got []byte
		var err error
		for err == nil {
			var m Frame
			m, err = next()
			got = append(got, m.Raw...)
			for err == nil && m.Remaining > 0 {
				var p []byte
				p, err = r.Rest(&m)
				got = append(got, p...)
			}
		}
		if !bytes.HasPrefix(b, got) {
			t.Errorf("%d bytes read aren't the beginning of the %d bytes of input", len(got), len(b))
		}
		switch {
		case errors.Is(err, ErrLength), errors.Is(err, ErrTooLarge), errors.Is(err, io.ErrUnexpectedEOF):
		case errors.Is(err, io.EOF) && len(got) == len(b):
		default:
			t.Errorf("%d of %d bytes read, then unexpected error %v", len(got), len(b), err)
		}
		if cap(r.buffer) > 2*len(b)+2*ChunkBytes {
			t.Errorf("buffer of %d bytes for %d bytes of input", cap(r.buffer), len(b))
		}
	})
}
