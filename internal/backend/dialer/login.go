package dialer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
)

// ErrStrayRead is returned when pgconn consumed bytes beyond the login, because a read was pending
// after it or the server sent more than the answer.
const ErrStrayRead = errors.ConstError("login took bytes of the connection's next user")

// loginConn is the connection that pgconn uses for the login.
//
// pgconn reads in the background while one of its writes takes long, as happens on a busy machine,
// and such a read may still be pending when the connection is taken over. It would consume the
// first bytes of the next answer, so that the connection appears unresponsive, or delay a check
// whether the connection is still open, because only one goroutine at a time can read from a socket.
// So release ends that read first.
type loginConn struct {
	net.Conn

	mu           sync.Mutex
	pendingReads int
	strayBytes   int
	released     bool
	// readsEnded is closed when released is set and no read is pending.
	readsEnded chan struct{}
}

// wrapDial returns a dial function whose connections are of type loginConn.
func wrapDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &loginConn{Conn: c, readsEnded: make(chan struct{})}, nil
	}
}

// Read reads for pgconn. It returns net.ErrClosed after release.
func (l *loginConn) Read(b []byte) (int, error) {
	if !l.beginRead() {
		return 0, net.ErrClosed
	}
	n, err := l.Conn.Read(b)
	l.endRead(n)
	return n, err
}

func (l *loginConn) beginRead() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.released {
		return false
	}
	l.pendingReads++
	return true
}

func (l *loginConn) endRead(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pendingReads--
	if !l.released {
		return
	}
	l.strayBytes += n
	if l.pendingReads == 0 {
		close(l.readsEnded)
	}
}

// release returns the underlying connection, from which pgconn reads nothing further. It returns
// ErrStrayRead if a pending read consumed bytes.
func (l *loginConn) release() (net.Conn, error) {
	if l.close() {
		// A deadline in the past ends the pending reads.
		if err := l.SetReadDeadline(time.Now().Add(-time.Second)); err != nil {
			return nil, errors.Annotate(err, "end reads of the login")
		}
		<-l.readsEnded
	}
	if l.strayBytes > 0 {
		return nil, errors.Annotatef(ErrStrayRead, "%d bytes", l.strayBytes)
	}
	return l.Conn, errors.Trace(l.SetReadDeadline(time.Time{}))
}

// close prevents further reads and reports whether any are pending.
func (l *loginConn) close() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.released = true
	return l.pendingReads > 0
}
