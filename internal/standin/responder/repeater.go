package responder

import (
	"bytes"
	"net"
	"sync"
	"time"
)

// repeater is the writer of a connection. It sends some answers once more, if the server's faults say
// so.
type repeater struct {
	server *Server
	conn   net.Conn

	mutex sync.Mutex
	// active says that the login is complete.
	active bool
}

// delayStep spreads the delays of the repetitions evenly.
const delayStep = 7919 * time.Microsecond

// Write sends p, which is an answer or a part of one.
func (r *repeater) Write(p []byte) (int, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	n, err := r.conn.Write(p)
	f, _ := r.server.faults.Get()
	if t := f.Repetition; err == nil && r.active && t.Every > 0 {
		if k := r.server.answers.Add(1); k%int64(t.Every) == 0 {
			o := &repetition{repeater: r, answer: bytes.Clone(p)}
			time.AfterFunc(time.Duration(k)*delayStep%max(1, t.MaximumDelay), o.run)
		}
	}
	return n, err
}

func (r *repeater) activate() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.active = true
}

// repetition is an answer that is sent again.
type repetition struct {
	repeater *repeater
	answer   []byte
}

func (o *repetition) run() {
	o.repeater.mutex.Lock()
	defer o.repeater.mutex.Unlock()
	// The client may have closed the connection.
	if _, err := o.repeater.conn.Write(o.answer); err == nil {
		o.repeater.server.repeated.Add(1)
	}
}
