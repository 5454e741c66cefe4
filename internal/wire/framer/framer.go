// Package framer reads the messages of PostgreSQL protocol 3 without decoding their bodies.
package framer

import (
	"bufio"
	"encoding/binary"
	"io"
	"slices"

	"github.com/juju/errors"
)

const (
	// HeaderBytes is the size of a message's type and length.
	HeaderBytes = 5
	// ChunkBytes is the largest part of a message that Next and Rest return at once.
	ChunkBytes = 32 << 10
	// lengthBytes is the size of the length field, which counts itself.
	lengthBytes = 4
)

const (
	// ErrLength is returned for a length field that no message can have.
	ErrLength = errors.ConstError("message length out of range")
	// ErrTooLarge is returned for a message above the reader's limit.
	ErrTooLarge = errors.ConstError("message too large")
)

// Frame is one message, or the first part of a long one, with its header.
type Frame struct {
	// Type is the message's type byte.
	Type byte
	// Raw holds the header and at most ChunkBytes of the body. It is valid
	// until the next call on the reader.
	Raw []byte
	// Remaining is the number of body bytes that Rest still has to return.
	Remaining int
}

// Body returns the part of the body that the frame holds.
func (f Frame) Body() []byte {
	return f.Raw[HeaderBytes:]
}

// Whole reports whether the frame holds the entire message.
func (f Frame) Whole() bool {
	return f.Remaining == 0
}

// Reader cuts a byte stream into frames.
type Reader struct {
	// Source is the stream; its buffer size bounds what is read ahead.
	Source *bufio.Reader
	// MaximumBytes is the longest message accepted whole by NextWhole.
	MaximumBytes int

	buffer []byte
}

// Buffered returns the number of bytes that can be read without waiting.
func (r *Reader) Buffered() int {
	return r.Source.Buffered()
}

// Next reads a message, or the first ChunkBytes of its body.
func (r *Reader) Next() (Frame, error) {
	t, n, err := r.header()
	if err != nil {
		return Frame{}, err
	}
	return r.frame(t, n, min(n, ChunkBytes))
}

// NextWhole reads a message with its whole body, which may not exceed MaximumBytes.
func (r *Reader) NextWhole() (Frame, error) {
	t, n, err := r.header()
	if err != nil {
		return Frame{}, err
	}
	if n > r.MaximumBytes {
		return Frame{Type: t}, errors.Annotatef(ErrTooLarge, "message %q of %d bytes, limit %d", t, n, r.MaximumBytes)
	}
	if n > ChunkBytes {
		return r.long(t, n)
	}
	return r.frame(t, n, n)
}

// long reads a long message and takes memory only as it arrives. Otherwise a
// caller could announce a message of MaximumBytes, send nothing more, and have
// the host hold that much for each such connection.
func (r *Reader) long(t byte, n int) (Frame, error) {
	b := r.room(ChunkBytes)[:0]
	for len(b) < HeaderBytes+n {
		k := min(HeaderBytes+n-len(b), max(len(b), ChunkBytes))
		b = slices.Grow(b, k)
		p := b[len(b) : len(b)+k]
		if _, err := io.ReadFull(r.Source, p); err != nil {
			return Frame{}, unexpected(err)
		}
		b = b[:len(b)+k]
	}
	r.buffer = b
	return Frame{Type: t, Raw: b}, nil
}

// Rest reads the next part of a frame's body, at most ChunkBytes.
func (r *Reader) Rest(f *Frame) ([]byte, error) {
	n := min(f.Remaining, ChunkBytes)
	b := r.room(n)
	if _, err := io.ReadFull(r.Source, b); err != nil {
		return nil, unexpected(err)
	}
	f.Remaining -= n
	return b, nil
}

// Shrink gives a large buffer back, so that a parked connection holds little memory.
func (r *Reader) Shrink(limit int) {
	if cap(r.buffer) > limit {
		r.buffer = nil
	}
}

func (r *Reader) header() (byte, int, error) {
	h, err := r.Source.Peek(HeaderBytes)
	if err != nil {
		if len(h) > 0 {
			err = unexpected(err)
		}
		return 0, 0, err
	}
	t := h[0]
	n := binary.BigEndian.Uint32(h[1:])
	if n < lengthBytes || n > 1<<30 {
		return t, 0, errors.Annotatef(ErrLength, "message %q with length %d", t, n)
	}
	return t, int(n) - lengthBytes, nil
}

func (r *Reader) frame(t byte, body, part int) (Frame, error) {
	b := r.room(HeaderBytes + part)
	if _, err := io.ReadFull(r.Source, b); err != nil {
		return Frame{}, unexpected(err)
	}
	return Frame{Type: t, Raw: b, Remaining: body - part}, nil
}

func (r *Reader) room(n int) []byte {
	if cap(r.buffer) < n {
		r.buffer = make([]byte, n, max(n, 512))
	}
	return r.buffer[:n]
}

func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
