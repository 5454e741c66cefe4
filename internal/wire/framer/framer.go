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
	// HeaderBytes is the size of a message's header, which consists of type and length.
	HeaderBytes = 5
	// ChunkBytes is the maximum size of the part of a body that Next and Rest return at once.
	ChunkBytes = 32 << 10
	// lengthBytes is the size of the length field. The length includes the field itself.
	lengthBytes = 4
)

const (
	// ErrLength is returned for a length below lengthBytes or above 1 GiB.
	ErrLength = errors.ConstError("message length out of range")
	// ErrTooLarge is returned by NextWhole for a message whose body exceeds Reader.MaximumBytes.
	ErrTooLarge = errors.ConstError("message too large")
)

// Frame is one message, or the beginning of a long one, with its header.
type Frame struct {
	// Type is the message's type byte.
	Type byte
	// Raw holds the header and the beginning of the body: at most ChunkBytes from Next, all of it from
	// NextWhole. It is valid until the next call of Next, NextWhole or Rest.
	Raw []byte
	// Remaining is the number of bytes of the body that Rest hasn't returned yet.
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

// Reader splits a byte stream into frames.
type Reader struct {
	// Source is the stream. The size of its buffer limits how much is read ahead.
	Source *bufio.Reader
	// MaximumBytes is the size of the largest body that NextWhole accepts.
	MaximumBytes int

	// buffer is the memory of the last frame or part.
	buffer []byte
}

// Buffered returns the number of bytes that can be read without waiting.
func (r *Reader) Buffered() int {
	return r.Source.Buffered()
}

// Next reads a message, or the header and first ChunkBytes of a longer one. It returns ErrLength for an
// invalid length, io.EOF at the end of the stream and io.ErrUnexpectedEOF within a message.
func (r *Reader) Next() (Frame, error) {
	t, n, err := r.readHeader()
	if err != nil {
		return Frame{}, err
	}
	return r.readFrame(t, n, min(n, ChunkBytes))
}

// NextWhole reads a message with its whole body. It returns ErrTooLarge for a body above MaximumBytes,
// with the type of the message in the frame, and otherwise the errors of Next.
func (r *Reader) NextWhole() (Frame, error) {
	t, n, err := r.readHeader()
	if err != nil {
		return Frame{}, err
	}
	if n > r.MaximumBytes {
		return Frame{Type: t}, errors.Annotatef(ErrTooLarge, "message %q of %d bytes, limit %d", t, n, r.MaximumBytes)
	}
	if n > ChunkBytes {
		return r.readLong(t, n)
	}
	return r.readFrame(t, n, n)
}

// readLong reads a message of more than ChunkBytes and allocates memory only as it arrives. Otherwise a
// caller could announce a message of MaximumBytes and send nothing more, and the host would allocate
// that much memory for each such connection.
func (r *Reader) readLong(t byte, n int) (Frame, error) {
	b := r.resizeBuffer(ChunkBytes)[:0]
	for len(b) < HeaderBytes+n {
		k := min(HeaderBytes+n-len(b), max(len(b), ChunkBytes))
		b = slices.Grow(b, k)
		p := b[len(b) : len(b)+k]
		if _, err := io.ReadFull(r.Source, p); err != nil {
			return Frame{}, unexpectedEOF(err)
		}
		b = b[:len(b)+k]
	}
	r.buffer = b
	return Frame{Type: t, Raw: b}, nil
}

// Rest reads the next part of f's body, at most ChunkBytes, and reduces f.Remaining. The result is valid
// until the next call of Next, NextWhole or Rest.
func (r *Reader) Rest(f *Frame) ([]byte, error) {
	n := min(f.Remaining, ChunkBytes)
	b := r.resizeBuffer(n)
	if _, err := io.ReadFull(r.Source, b); err != nil {
		return nil, unexpectedEOF(err)
	}
	f.Remaining -= n
	return b, nil
}

// Shrink releases a buffer of more than limit bytes, so that an idle connection occupies little memory.
func (r *Reader) Shrink(limit int) {
	if cap(r.buffer) > limit {
		r.buffer = nil
	}
}

// readHeader returns the type of the next message and the size of its body, without consuming the
// header.
func (r *Reader) readHeader() (byte, int, error) {
	h, err := r.Source.Peek(HeaderBytes)
	if err != nil {
		if len(h) > 0 {
			err = unexpectedEOF(err)
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

// readFrame reads the header and the first part bytes of a body of the given size.
func (r *Reader) readFrame(t byte, body, part int) (Frame, error) {
	b := r.resizeBuffer(HeaderBytes + part)
	if _, err := io.ReadFull(r.Source, b); err != nil {
		return Frame{}, unexpectedEOF(err)
	}
	return Frame{Type: t, Raw: b, Remaining: body - part}, nil
}

// resizeBuffer returns the buffer with a length of n, reallocated if it is smaller than that.
func (r *Reader) resizeBuffer(n int) []byte {
	if cap(r.buffer) < n {
		r.buffer = make([]byte, n, max(n, 512))
	}
	return r.buffer[:n]
}

// unexpectedEOF returns io.ErrUnexpectedEOF for io.EOF and other errors unchanged.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
