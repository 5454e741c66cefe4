// Package messenger encodes the messages of a forwarded lease on its stream between two entry hosts.
package messenger

import (
	"bufio"
	"encoding/binary"
	"io"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/peer/encoder"
)

// Kind is the type of a message, sent as its first byte.
type Kind byte

// Messages from the forwarding host.
const (
	// KindItems carries Items, which are messages of the next batch.
	KindItems Kind = 'I'
	// KindExecute carries an Execute, which makes the pool owner send the batch.
	KindExecute Kind = 'X'
	// KindCopyData carries one message of the caller during COPY FROM STDIN: its type byte and its
	// body.
	KindCopyData Kind = 'D'
	// KindCopyAbort reports that the caller disconnected during COPY FROM STDIN.
	KindCopyAbort Kind = 'F'
	// KindCancel carries a Cancel.
	KindCancel Kind = 'C'
	// KindRelease carries a Release and ends the lease.
	KindRelease Kind = 'R'
)

// Messages from the pool owner.
const (
	// KindRequestBatch requests the first batch, since the connection is expected to be available
	// shortly. It is sent before KindLeased, or not at all.
	KindRequestBatch Kind = 'S'
	// KindLeased carries a Leased: the connection is leased.
	KindLeased Kind = 'L'
	// KindRefused carries a Failure: the lease is refused and the stream ends.
	KindRefused Kind = 'U'
	// KindOutput carries a part of the backend server's response.
	KindOutput Kind = 'O'
	// KindInput requests the caller's messages of COPY FROM STDIN.
	KindInput Kind = 'N'
	// KindResult carries a Result and ends an exchange.
	KindResult Kind = 'T'
)

const (
	// headerBytes is the size of a message header: the kind and the length of the payload.
	headerBytes = 5
	// MaximumBytes is the maximum payload of one message. The largest ones carry a message of a
	// caller, whose own limit is lower.
	MaximumBytes = 64 << 20
	// bufferBytes is the size of the read buffer and of the write buffer.
	bufferBytes = 16 << 10
	// maximumKeptBytes is the largest payload buffer that a Conn keeps for the next message.
	maximumKeptBytes = 64 << 10
	// flushDelay is how long a part of a response is buffered for more to follow. A complete
	// response is sent at once.
	flushDelay = 2 * time.Millisecond
)

// ErrTooLarge is returned for a message larger than MaximumBytes.
const ErrTooLarge = errors.ConstError("message of a forwarded lease too large")

// Conn reads and writes messages. Read may be called by one goroutine only, the other methods by
// any number of goroutines. Stream and Prefix are set before use.
type Conn struct {
	Stream io.ReadWriter
	// Prefix is written before the first message.
	Prefix []byte

	reader *bufio.Reader
	buffer []byte

	mu           sync.Mutex
	writer       *bufio.Writer
	flushPending bool
	err          error
}

// Read returns the next message. Its payload is valid until the next Read.
func (c *Conn) Read() (Kind, []byte, error) {
	if c.reader == nil {
		c.reader = bufio.NewReaderSize(c.Stream, bufferBytes)
	}
	var h [headerBytes]byte
	if _, err := io.ReadFull(c.reader, h[:]); err != nil {
		return 0, nil, errors.Trace(err)
	}
	n := int(binary.BigEndian.Uint32(h[1:]))
	if n > MaximumBytes {
		return 0, nil, errors.Annotatef(ErrTooLarge, "%d bytes announced", n)
	}
	b, err := c.readBody(n)
	return Kind(h[0]), b, err
}

// readBody reads a payload of n bytes. Memory for a long one is allocated only as it arrives.
func (c *Conn) readBody(n int) ([]byte, error) {
	if cap(c.buffer) > maximumKeptBytes {
		c.buffer = nil
	}
	if n > maximumKeptBytes {
		b, err := io.ReadAll(io.LimitReader(c.reader, int64(n)))
		if err == nil && len(b) < n {
			err = io.ErrUnexpectedEOF
		}
		return b, errors.Trace(err)
	}
	if cap(c.buffer) < n {
		c.buffer = make([]byte, n, max(n, 512))
	}
	b := c.buffer[:n]
	_, err := io.ReadFull(c.reader, b)
	return b, errors.Trace(err)
}

// Put buffers a message that consists of parts. It is sent by the next Send or Flush, or after
// flushDelay.
func (c *Conn) Put(k Kind, parts ...[]byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.write(k, parts); err != nil {
		return err
	}
	if !c.flushPending {
		c.flushPending = true
		time.AfterFunc(flushDelay, c.runFlush)
	}
	return nil
}

// Send sends a message that consists of parts, along with the buffered ones.
func (c *Conn) Send(k Kind, parts ...[]byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.write(k, parts); err != nil {
		return err
	}
	return c.flush()
}

// SendValue sends a message with v encoded in CBOR.
func (c *Conn) SendValue(k Kind, v any) error {
	b, err := encoder.Marshal(v)
	if err != nil {
		return err
	}
	return c.Send(k, b)
}

func (c *Conn) write(k Kind, parts [][]byte) error {
	if c.err != nil {
		return c.err
	}
	if err := c.startWriter(); err != nil {
		return err
	}
	n := 0
	for _, p := range parts {
		n += len(p)
	}
	if n > MaximumBytes {
		return errors.Annotatef(ErrTooLarge, "%d bytes", n)
	}
	var h [headerBytes]byte
	h[0] = byte(k)
	binary.BigEndian.PutUint32(h[1:], uint32(n))
	_, err := c.writer.Write(h[:])
	for _, p := range parts {
		if err == nil {
			_, err = c.writer.Write(p)
		}
	}
	c.err = errors.Trace(err)
	return c.err
}

// startWriter creates the writer before its first use and buffers Prefix. The caller holds the mutex.
func (c *Conn) startWriter() error {
	if c.writer != nil {
		return c.err
	}
	c.writer = bufio.NewWriterSize(c.Stream, bufferBytes)
	_, err := c.writer.Write(c.Prefix)
	c.err = errors.Trace(err)
	return c.err
}

// Flush sends the buffered messages, and Prefix if it wasn't sent yet.
func (c *Conn) Flush() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.startWriter(); err != nil {
		return err
	}
	return c.flush()
}

func (c *Conn) flush() error {
	if c.err == nil {
		c.err = errors.Trace(c.writer.Flush())
	}
	return c.err
}

// runFlush sends the messages that were buffered for flushDelay.
func (c *Conn) runFlush() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.flushPending = false
	// A failure is returned by the next call.
	_ = c.flush()
}
