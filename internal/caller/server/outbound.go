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
	// outboundBytes is collected before it is written to the caller.
	outboundBytes = 32 << 10
	// maximumHeldBytes bounds what is kept back until a commit is acknowledged.
	maximumHeldBytes = 1 << 20
)

// buffers lends write buffers, so that a parked session holds none.
var buffers = sync.Pool{New: func() any { b := make([]byte, 0, outboundBytes+1024); return &b }}

// outbound collects what goes to a caller and writes it in large parts.
//
// Until the first part is written, the answer to a request can be taken back
// with rewind, and the request run elsewhere without the caller noticing.
type outbound struct {
	conn         net.Conn
	writeTimeout time.Duration
	// hold keeps back everything from the first CommandComplete on.
	hold bool

	// gate, if set, keeps the first part back until its read index is known.
	gate *gate

	// parsed counts the ParseComplete messages of the answer.
	parsed int

	buffer *[]byte
	// scratch is where short messages are made.
	scratch [16]byte
	mark    int
	written bool
	holding bool
	held    []byte
	err     error
}

// begin starts the answer to a request.
func (o *outbound) begin(hold bool) {
	o.hold = hold
	o.parsed = 0
	o.written = false
	o.gate = nil
	o.holding = false
	o.held = o.held[:0]
	o.mark = 0
	if o.buffer != nil {
		o.mark = len(*o.buffer)
	}
}

// rewind takes back the answer since begin and reports whether that was possible.
func (o *outbound) rewind() bool {
	if o.written {
		return false
	}
	o.gate = nil
	o.holding = false
	o.parsed = 0
	o.held = o.held[:0]
	if o.buffer != nil {
		*o.buffer = (*o.buffer)[:o.mark]
	}
	return true
}

// dropGated takes back an answer that ended early before its read index was known.
func (o *outbound) dropGated() {
	if o.gate != nil && !o.gate.word.Covered {
		o.rewind()
	}
}

// Frame implements exchanger.Output.
func (o *outbound) Frame(t byte, p []byte, _, _ bool) error {
	if t == follower.ParseComplete {
		o.parsed++
	}
	if o.hold && t == follower.CommandComplete {
		o.holding = true
	}
	if o.holding && len(o.held)+len(p) <= maximumHeldBytes {
		o.held = append(o.held, p...)
		return o.err
	}
	o.release()
	return o.write(p)
}

// release sends on what was held back.
func (o *outbound) release() {
	if len(o.held) > 0 {
		_ = o.write(o.held)
	}
	o.dropHeld()
}

// dropHeld forgets what was held back.
func (o *outbound) dropHeld() {
	o.holding = false
	o.hold = false
	o.held = o.held[:0]
	if cap(o.held) > parkedBytes {
		o.held = nil
	}
}

// send appends an encoded message.
func (o *outbound) send(m pgproto3.BackendMessage) {
	p, err := m.Encode(nil)
	if err != nil {
		o.err = errors.Annotate(err, "encode message to caller")
		return
	}
	_ = o.write(p)
}

// raw appends a message of type t with the body.
func (o *outbound) raw(t byte, body ...byte) {
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
		o.mark = 0
	}
	if len(*o.buffer)+len(p) > outboundBytes {
		if o.gate != nil && !o.gate.open(marker.Mark{}) {
			// The answer won't be shown, so what comes of it needs no room.
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

// flush writes all and gives the buffer back.
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
	o.mark = 0
}

// writeConn ends the connection of a caller that doesn't read, so that it
// can't hold a backend server's connection for good.
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
