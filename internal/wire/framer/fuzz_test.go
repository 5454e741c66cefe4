package framer

import (
	"bufio"
	"bytes"
	"io"
	"testing"

	"github.com/juju/errors"
)

// fuzzMaximumBytes is above ChunkBytes, so that long messages are read too.
const fuzzMaximumBytes = 3 * ChunkBytes

func reader(b []byte) *Reader {
	return &Reader{Source: bufio.NewReader(bytes.NewReader(b)), MaximumBytes: fuzzMaximumBytes}
}

func message(t byte, body int) []byte {
	n := body + lengthBytes
	return append([]byte{t, byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)}, bytes.Repeat([]byte{'x'}, body)...)
}

// A caller announces a message just below the limit and sends no more. The
// reader waits for it with one chunk of memory; with the whole message's, some
// hundred such callers would use up the host's memory.
func TestAnnouncedMessageTakesNoMemory(t *testing.T) {
	r := reader(message('Q', fuzzMaximumBytes)[:100])
	r.MaximumBytes = 1 << 30
	if _, err := r.NextWhole(); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("error %v", err)
	}
	if cap(r.buffer) > 2*ChunkBytes {
		t.Errorf("%d bytes taken", cap(r.buffer))
	}
}

// Frames, put together, are the bytes that were read, whole or in parts.
func FuzzReader(f *testing.F) {
	f.Add(uint32(10), message('S', 0), true)
	f.Add(uint32(2*ChunkBytes+1), message('c', 0), false)
	f.Add(uint32(fuzzMaximumBytes), []byte{}, true)
	f.Add(uint32(fuzzMaximumBytes+1), []byte{}, true)
	f.Add(uint32(0), []byte{'Q', 0, 0, 0, 3}, true)
	f.Add(uint32(0), []byte{'Q', 255, 255, 255, 255, 0}, false)
	f.Fuzz(func(t *testing.T, body uint32, rest []byte, whole bool) {
		b := append(message('d', int(body%(fuzzMaximumBytes+2))), rest...)
		r := reader(b)
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
			t.Errorf("%d bytes read differ from the %d sent", len(got), len(b))
		}
		switch {
		case errors.Is(err, ErrLength), errors.Is(err, ErrTooLarge), errors.Is(err, io.ErrUnexpectedEOF):
		case errors.Is(err, io.EOF) && len(got) == len(b):
		default:
			t.Errorf("%d of %d bytes read, then %v", len(got), len(b), err)
		}
		if cap(r.buffer) > 2*len(b)+2*ChunkBytes {
			t.Errorf("%d bytes of memory for %d", cap(r.buffer), len(b))
		}
	})
}
