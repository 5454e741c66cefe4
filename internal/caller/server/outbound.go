package server

import (
	"encoding/binary"
	"net"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/wire/follower"
)

const (
	// outboundBytes is the size of the write buffer.
	outboundBytes = 32 << 10
	// maximumHeldBytes bounds the messages that are held until a commit is acknowledged.
	maximumHeldBytes = 1 << 20
)

// buffers holds write buffers, so that an idle session needs none.
var buffers = sync.Pool{New: func() any { b := make([]byte, 0, outboundBytes+1024); return &b }}

// outbound buffers the messages to a caller and writes them in large parts.
//
// Until the first part of an answer is written, rewind can take the answer back, and the request
// can be run at another server without the caller noticing.
type outbound struct {
	conn         net.Conn
	writeTimeout time.Duration
	// hold says that the messages from the first CommandComplete on are held.
	hold bool

	// gate withholds the answer until its read index is known, nil for none.
	gate *gate

	// parseCompletes counts the ParseComplete messages of the answer.
	parseCompletes int

	// buffer is the write buffer, nil while nothing is buffered.
	buffer *[]byte
	// scratch is the memory in which short messages are encoded.
	scratch [16]byte
	// answerStart is the position in buffer at which the current answer starts.
	answerStart int
	// written says that a part of the current answer was written to the connection.
	written bool
	// holding says that messages are being held, in held.
	holding bool
	held    []byte
	// err is the first error. Nothing is written after it.
	err error
}

// beginAnswer starts the answer to a request.
func (o *outbound) beginAnswer(hold bool) {
	o.hold = hold
	o.parseCompletes = 0
	o.written = false
	o.gate = nil
	o.holding = false
	o.held = o.held[:0]
	o.answerStart = 0
	if o.buffer != nil {
		o.answerStart = len(*o.buffer)
	}
}

// rewind takes back the answer since beginAnswer and reports whether that was possible.
func (o *outbound) rewind() bool {
	if o.written {
		return false
	}
	o.gate = nil
	o.holding = false
	o.parseCompletes = 0
	o.held = o.held[:0]
	if o.buffer != nil {
		*o.buffer = (*o.buffer)[:o.answerStart]
	}
	return true
}

// dropGated takes back an answer that ended before the gate allowed it.
func (o *outbound) dropGated() {
	if o.gate != nil && !o.gate.confirmation.Covered {
		o.rewind()
	}
}

// Frame implements exchanger.Output.
func (o *outbound) Frame(t byte, p []byte, _, _ bool) error {
	if t == follower.ParseComplete {
		o.parseCompletes++
	}
	if o.hold && t == follower.CommandComplete {
		o.holding = true
	}
	if o.holding && len(o.held)+len(p) <= maximumHeldBytes {
		o.held = append(o.held, p...)
		return o.err
	}
	o.releaseHeld()
	return o.write(p)
}

// releaseHeld writes the held messages.
func (o *outbound) releaseHeld() {
	if len(o.held) > 0 {
		_ = o.write(o.held)
	}
	o.dropHeld()
}

// dropHeld discards the held messages.
func (o *outbound) dropHeld() {
	o.holding = false
	o.hold = false
	o.held = o.held[:0]
	if cap(o.held) > idleBufferBytes {
		o.held = nil
	}
}

// send encodes and writes a message.
func (o *outbound) send(m pgproto3.BackendMessage) {
	p, err := m.Encode(nil)
	if err != nil {
		o.err = errors.Annotate(err, "encode message to caller")
		return
	}
	_ = o.write(p)
}

// sendRaw writes a message of type t with the given body.
func (o *outbound) sendRaw(t byte, body ...byte) {
	m := append(o.scratch[:0], t, 0, 0, 0, 0)
	m = append(m, body...)
	binary.BigEndian.PutUint32(m[1:], uint32(len(body)+4))
	_ = o.write(m)
}

func (o *outbound) write(p []byte) error {
	if o.err != nil {
		return o.err
	}
	if o.buffer == nil {
		o.buffer = buffers.Get().(*[]byte)
		*o.buffer = (*o.buffer)[:0]
		o.answerStart = 0
	}
	if len(*o.buffer)+len(p) > outboundBytes {
		if o.gate != nil && !o.gate.open(marker.Mark{}) {
			// The answer won't be sent, so the rest of it needn't be buffered.
			return o.err
		}
		o.flushBuffer()
	}
	if len(p) > outboundBytes {
		o.writeConn(p)
		return o.err
	}
	*o.buffer = append(*o.buffer, p...)
	return o.err
}

// flush writes the buffer to the connection and returns the buffer to the pool.
func (o *outbound) flush() error {
	if o.buffer == nil {
		return o.err
	}
	o.flushBuffer()
	buffers.Put(o.buffer)
	o.buffer = nil
	return o.err
}

func (o *outbound) flushBuffer() {
	if len(*o.buffer) > 0 {
		o.writeConn(*o.buffer)
		*o.buffer = (*o.buffer)[:0]
	}
	o.answerStart = 0
}

// writeConn writes p with a deadline, so that a caller that doesn't read can't hold a connection to
// a backend server forever.
func (o *outbound) writeConn(p []byte) {
	if o.err != nil {
		return
	}
	o.written = true
	o.conn.SetWriteDeadline(time.Now().Add(o.writeTimeout))
	if _, err := o.conn.Write(p); err != nil {
		o.err = errors.Annotatef(err, "write to caller %s", o.conn.RemoteAddr())
	}
}
