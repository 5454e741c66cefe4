// Package linker keeps the QUIC connections between this entry host and its peers.
package linker

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
)

// Code says why a connection or stream was closed.
type Code uint64

// Codes of closed connections and aborted streams.
const (
	// CodeDone closes without a reason for concern.
	CodeDone Code = iota
	// CodeIdle closes a connection that nobody used for a while.
	CodeIdle
	// CodeSilent closes a connection on which nothing arrives while a new one works.
	CodeSilent
	// CodeStopping closes the connections of a host that stops.
	CodeStopping
	// CodeRejected closes a connection from a host that isn't let in.
	CodeRejected
	// CodeAborted ends a stream whose transaction was given up.
	CodeAborted
)

// Link is one connection to a peer. Both sides open streams on it.
type Link struct {
	// Host is the peer's name, from its certificate.
	Host string
	// Dialed says that this host dialed it.
	Dialed bool
	Conn   *quic.Conn

	streams atomic.Int64
	// added is when the table took the link in.
	added time.Time
	// used is when a stream last began or ended, or a datagram came or went, in
	// nanoseconds since 1970.
	used atomic.Int64
	// probe belongs to the loop that looks for silent links.
	probe probe

	mu sync.Mutex
	// sockets are those made for this link alone.
	sockets []*quic.Transport
}

// OwnTransport has t, which was made for this link alone, closed when the link ends.
func (l *Link) OwnTransport(t *quic.Transport) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sockets = append(l.sockets, t)
}

// release closes what the link owns.
func (l *Link) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, t := range l.sockets {
		_ = t.Close()
		_ = t.Conn.Close()
	}
	l.sockets = nil
}

// probe remembers what a link had received at the last look.
type probe struct {
	sent     uint64
	received uint64
	silent   int
}

// Touch notes that the link is in use.
func (l *Link) Touch() {
	l.used.Store(time.Now().UnixNano())
}

// BeginStream counts a stream in.
func (l *Link) BeginStream() {
	l.streams.Add(1)
	l.Touch()
}

// EndStream counts a stream out.
func (l *Link) EndStream() {
	l.Touch()
	l.streams.Add(-1)
}

// Streams returns how many streams are open, from either side.
func (l *Link) Streams() int {
	return int(l.streams.Load())
}

// Alive reports whether the connection is still open.
func (l *Link) Alive() bool {
	return l.Conn.Context().Err() == nil
}

// Close closes the connection; streams on it fail.
func (l *Link) Close(c Code) {
	_ = l.Conn.CloseWithError(quic.ApplicationErrorCode(c), "")
}

// IdleSince reports whether no stream is open and the link is unused since t.
func (l *Link) IdleSince(t time.Time) bool {
	return l.Streams() == 0 && l.used.Load() < t.UnixNano()
}

// CheckTraffic compares the connection with the last look. Quiet says that no packet
// has come since, and silent for how many looks in a row packets were sent and
// none came: even a peer that has nothing to say acknowledges them.
func (l *Link) CheckTraffic() (quiet bool, silent int) {
	s := l.Conn.ConnectionStats()
	p := &l.probe
	switch {
	case s.PacketsReceived != p.received:
		p.silent = 0
	case s.PacketsSent != p.sent:
		p.silent++
	}
	quiet = s.PacketsReceived == p.received
	p.received = s.PacketsReceived
	p.sent = s.PacketsSent
	return quiet, p.silent
}

// Table holds the links of this host. Its zero value is ready once Self is set.
type Table struct {
	// Self is this host's name.
	Self string

	mu sync.Mutex
	// preferred is the link by which new streams to a host go.
	preferred map[string]*Link
	all       map[*Link]struct{}
	closed    Traffic
}

// Traffic counts bytes of QUIC packets, without UDP and IP headers.
type Traffic struct {
	Sent, Received uint64
}

// Add takes a link in. Where two hosts dial each other at once, both prefer
// the connection that the host of the lesser name dialed, and the other one
// falls idle: one connection remains for each pair.
func (t *Table) Add(l *Link) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.all == nil {
		t.preferred = map[string]*Link{}
		t.all = map[*Link]struct{}{}
	}
	t.all[l] = struct{}{}
	l.added = time.Now()
	l.used.Store(l.added.UnixNano())
	if o := t.preferred[l.Host]; o == nil || !o.Alive() || t.prefers(l, o) {
		t.preferred[l.Host] = l
	}
}

// race is how long after one link another one can still come from both hosts
// dialing each other at once.
const race = 3 * time.Second

// prefers reports whether l goes before o, an older link to the same host. A
// link that is dialed although there is one is dialed because the peer, or this
// host, found the older one dead.
func (t *Table) prefers(l, o *Link) bool {
	if l.Dialed == o.Dialed || l.added.Sub(o.added) > race {
		return true
	}
	return l.Dialed == (t.Self < l.Host)
}

// Remove takes l out, once its connection has ended.
func (t *Table) Remove(l *Link) {
	defer l.release()
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.all[l]; !ok {
		return
	}
	delete(t.all, l)
	s := l.Conn.ConnectionStats()
	t.closed.Sent += s.BytesSent
	t.closed.Received += s.BytesReceived
	t.unprefer(l)
}

// Unprefer keeps new streams off l; open ones go on.
func (t *Table) Unprefer(l *Link) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unprefer(l)
}

func (t *Table) unprefer(l *Link) {
	if t.preferred[l.Host] != l {
		return
	}
	delete(t.preferred, l.Host)
	for o := range t.all {
		if o != l && o.Host == l.Host && o.Alive() {
			t.preferred[l.Host] = o
		}
	}
}

// Find returns the link for new streams to host, nil if there is none.
func (t *Table) Find(host string) *Link {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.preferred[host]
	if l == nil || !l.Alive() {
		return nil
	}
	return l
}

// All returns every link.
func (t *Table) All() []*Link {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := make([]*Link, 0, len(t.all))
	for l := range t.all {
		a = append(a, l)
	}
	return a
}

// Traffic returns what all links have sent and received so far.
func (t *Table) Traffic() Traffic {
	t.mu.Lock()
	defer t.mu.Unlock()
	x := t.closed
	for l := range t.all {
		s := l.Conn.ConnectionStats()
		x.Sent += s.BytesSent
		x.Received += s.BytesReceived
	}
	return x
}
