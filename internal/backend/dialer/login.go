package dialer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
)

// ErrStrayRead says that the login's library still read from a connection when it
// handed it over, and that this took bytes which were meant for others.
const ErrStrayRead = errors.ConstError("login took bytes of the connection's next user")

// login is a connection as the library that logs in sees it.
//
// The library reads in the background while a write of its own takes long, as it
// does on a busy machine, and such a read may still wait when the connection is
// handed over. It would take the first bytes of the next answer, so that the
// connection looks silent, or, as only one goroutine at a time may look at a
// socket, hold up whoever looks whether the connection is still open. So release
// ends that read first.
type login struct {
	net.Conn

	mu       sync.Mutex
	readers  int
	stray    int
	released bool
	// quiet is closed when released and no reader is left.
	quiet chan struct{}
}

// loginDial makes dial return connections that can be taken back from the library.
func loginDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &login{Conn: c, quiet: make(chan struct{})}, nil
	}
}

// Read reads for the library.
func (l *login) Read(b []byte) (int, error) {
	if !l.enter() {
		return 0, net.ErrClosed
	}
	n, err := l.Conn.Read(b)
	l.leave(n)
	return n, err
}

func (l *login) enter() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.released {
		return false
	}
	l.readers++
	return true
}

func (l *login) leave(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.readers--
	if !l.released {
		return
	}
	l.stray += n
	if l.readers == 0 {
		close(l.quiet)
	}
}

// release takes the connection from the library, which reads nothing more of it.
func (l *login) release() (net.Conn, error) {
	if l.close() {
		// A time that has passed ends the reads that wait.
		if err := l.SetReadDeadline(time.Now().Add(-time.Second)); err != nil {
			return nil, errors.Annotate(err, "end reads of the login")
		}
		<-l.quiet
	}
	if l.stray > 0 {
		return nil, errors.Annotatef(ErrStrayRead, "%d bytes", l.stray)
	}
	return l.Conn, errors.Trace(l.SetReadDeadline(time.Time{}))
}

// close lets no further read begin and reports whether there are any to wait for.
func (l *login) close() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.released = true
	return l.readers > 0
}
