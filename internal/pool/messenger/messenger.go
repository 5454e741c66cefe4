// Package messenger frames the messages of a forwarded lease on its stream between two entry hosts.
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

// Kind is a message's first byte.
type Kind byte

// Messages from the host that forwards.
const (
	// KindItems carries Items of the next batch.
	KindItems Kind = 'I'
	// KindExecute carries an Execute, which has the batch sent.
	KindExecute Kind = 'X'
	// KindCopyData carries one message of the caller during COPY FROM STDIN.
	KindCopyData Kind = 'D'
	// KindCopyAbort says that the caller went away during COPY FROM STDIN.
	KindCopyAbort Kind = 'F'
	// KindCancel carries a Cancel.
	KindCancel Kind = 'C'
	// KindRelease carries a Release and ends the lease.
	KindRelease Kind = 'R'
)

// Messages from the pool owner.
const (
	// KindRequestBatch says that the connection will be there shortly, so that the first
	// exchange may come. It comes before KindLeased, if at all.
	KindRequestBatch Kind = 'S'
	// KindLeased carries a Leased: the connection is there.
	KindLeased Kind = 'L'
	// KindRefused carries a Failure: there is no connection and the stream ends.
	KindRefused Kind = 'U'
	// KindOutput carries a part of the backend server's answer.
	KindOutput Kind = 'O'
	// KindInput asks for the caller's messages of COPY FROM STDIN.
	KindInput Kind = 'N'
	// KindResult carries a Result and ends an exchange.
	KindResult Kind = 'T'
)

const (
	headerBytes = 5
	// MaximumBytes bounds one message. The largest ones carry a message of a
	// caller, whose own bound is lower.
	MaximumBytes = 64 << 20
	// bufferBytes is what is read and written at once.
	bufferBytes = 16 << 10
	// keptBytes is what a conn keeps allocated between messages.
	keptBytes = 64 << 10
	// flushDelay is how long a part of an answer waits for more. An answer that
	// is complete is sent at once.
	flushDelay = 2 * time.Millisecond
)

// ErrTooLarge is returned for a message above MaximumBytes.
const ErrTooLarge = errors.ConstError("message of a forwarded lease too large")

// Conn reads and writes messages. One goroutine reads; any number write.
type Conn struct {
	Stream io.ReadWriter
	// Prefix is written before the first message.
	Prefix []byte

	reader *bufio.Reader
	buffer []byte

	mu      sync.Mutex
	writer  *bufio.Writer
	pending bool
	err     error
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
	b, err := c.body(n)
	return Kind(h[0]), b, err
}

// body reads n bytes, and takes memory for a long message only as it arrives.
func (c *Conn) body(n int) ([]byte, error) {
	if cap(c.buffer) > keptBytes {
		c.buffer = nil
	}
	if n > keptBytes {
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

// Put writes a message made of parts; it is sent by a later Flush, or soon.
func (c *Conn) Put(k Kind, parts ...[]byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.put(k, parts); err != nil {
		return err
	}
	if !c.pending {
		c.pending = true
		time.AfterFunc(flushDelay, c.runFlush)
	}
	return nil
}

// Send writes a message and everything before it.
func (c *Conn) Send(k Kind, parts ...[]byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.put(k, parts); err != nil {
		return err
	}
	return c.flush()
}

// SendValue encodes v and sends it.
func (c *Conn) SendValue(k Kind, v any) error {
	b, err := encoder.Marshal(v)
	if err != nil {
		return err
	}
	return c.Send(k, b)
}

func (c *Conn) put(k Kind, parts [][]byte) error {
	if c.err != nil {
		return c.err
	}
	if err := c.start(); err != nil {
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

// start makes the writer and writes the prefix into its buffer.
func (c *Conn) start() error {
	if c.writer != nil {
		return c.err
	}
	c.writer = bufio.NewWriterSize(c.Stream, bufferBytes)
	_, err := c.writer.Write(c.Prefix)
	c.err = errors.Trace(err)
	return c.err
}

// Flush sends what was written.
func (c *Conn) Flush() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.start(); err != nil {
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

// runFlush sends what has waited long enough.
func (c *Conn) runFlush() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending = false
	// A failure is returned by the next call.
	_ = c.flush()
}
