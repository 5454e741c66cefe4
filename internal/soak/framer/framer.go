// Package framer reads the lines of the wire protocol for the stand-ins, without code of the product.
package framer

import (
	"bufio"
	"bytes"
	"io"

	"github.com/juju/errors"
)

// maximumLineBytes is the longest line, with its end.
const maximumLineBytes = 1 << 20

// ErrTooLong is returned for a line above maximumLineBytes.
const ErrTooLong = errors.ConstError("line too long")

// lineEnd is the end of a line. A lone CR or LF belongs to the line.
var lineEnd = []byte("\r\n")

// Reader reads lines.
type Reader struct {
	source *bufio.Reader
}

// New returns the reader of a connection.
func New(r io.Reader) *Reader { return &Reader{source: bufio.NewReader(r)} }

// Next returns the next line without its end.
func (r *Reader) Next() (string, error) {
	var l []byte
	for {
		b, err := r.source.ReadSlice('\n')
		l = append(l, b...)
		switch {
		case len(l) > maximumLineBytes:
			return "", ErrTooLong
		case err == nil && bytes.HasSuffix(l, lineEnd):
			return string(l[:len(l)-len(lineEnd)]), nil
		case err != nil && !errors.Is(err, bufio.ErrBufferFull):
			return "", err
		}
	}
}

// Peek waits for n bytes and returns them without reading them.
func (r *Reader) Peek(n int) ([]byte, error) { return r.source.Peek(n) }

// Buffered returns how many bytes have arrived that Next hasn't returned.
func (r *Reader) Buffered() int { return r.source.Buffered() }
