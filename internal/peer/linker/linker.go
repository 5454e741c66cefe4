// Package linker keeps the QUIC connections between this entry host and its peers.
package linker

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
)

// Code is the QUIC application error code of a closed connection or an aborted stream.
type Code uint64

// Codes of closed connections and aborted streams.
const (
	// CodeDone closes a connection or stream normally.
	CodeDone Code = iota
	// CodeIdle closes a connection that wasn't used for a while.
	CodeIdle
	// CodeSilent closes a connection on which nothing arrives while a new connection works.
	CodeSilent
	// CodeStopping closes the connections of a host that stops.
	CodeStopping
	// CodeRejected closes a connection to a host whose certificate isn't accepted.
	CodeRejected
	// CodeAborted ends a stream whose transaction was aborted.
	CodeAborted
)

// Link is a QUIC connection to a peer. Both sides open streams on it.
type Link struct {
	// Host is the peer's name, from its certificate.
	Host string
	// Dialed reports whether this host dialed the connection.
	Dialed bool
	Conn   *quic.Conn

	// streams is the number of open streams.
	streams atomic.Int64
	// addedAt is when the link was added to the table.
	addedAt time.Time
	// lastUsed is when a stream was last opened or closed, or a datagram sent or received, in
	// nanoseconds of Unix time.
	lastUsed atomic.Int64
	// lastCheck is the state of the last CheckTraffic. Only the loop that checks the links uses it.
	lastCheck trafficCheck

	mu sync.Mutex
	// transports are the sockets that were opened for this link only.
	transports []*quic.Transport
}

// OwnTransport makes the link close t, which was opened for this link only, when the link ends.
func (l *Link) OwnTransport(t *quic.Transport) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.transports = append(l.transports, t)
}

// closeTransports closes the transports that the link owns.
func (l *Link) closeTransports() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, t := range l.transports {
		_ = t.Close()
		_ = t.Conn.Close()
	}
	l.transports = nil
}

// trafficCheck holds what a link had sent and received at the last CheckTraffic.
type trafficCheck struct {
	// sent and received count packets.
	sent     uint64
	received uint64
	// silent counts the silent checks since a packet was last received.
	silent int
}

// Touch records that the link is in use now.
func (l *Link) Touch() {
	l.lastUsed.Store(time.Now().UnixNano())
}

// BeginStream counts an opened stream.
func (l *Link) BeginStream() {
	l.streams.Add(1)
	l.Touch()
}

// EndStream counts the end of a stream.
func (l *Link) EndStream() {
	l.Touch()
	l.streams.Add(-1)
}

// Streams returns the number of open streams, opened by either side.
func (l *Link) Streams() int {
	return int(l.streams.Load())
}

// Alive reports whether the connection is still open.
func (l *Link) Alive() bool {
	return l.Conn.Context().Err() == nil
}

// Close closes the connection with the code c. Streams on it fail.
func (l *Link) Close(c Code) {
	_ = l.Conn.CloseWithError(quic.ApplicationErrorCode(c), "")
}

// IdleSince reports whether no stream is open and the link hasn't been used since t.
func (l *Link) IdleSince(t time.Time) bool {
	return l.Streams() == 0 && l.lastUsed.Load() < t.UnixNano()
}

// CheckTraffic compares the traffic of the connection with the last check. quiet reports whether no
// packet has been received since then. silent is the number of silent checks since a packet was
// last received: checks at which packets had been sent and none received. A live peer acknowledges
// packets even if it has nothing to send.
func (l *Link) CheckTraffic() (quiet bool, silent int) {
	s := l.Conn.ConnectionStats()
	p := &l.lastCheck
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

// Table holds the links of this host. Its zero value is ready for use once Self is set.
type Table struct {
	// Self is this host's name.
	Self string

	mu sync.Mutex
	// preferred holds the link for new streams to each host, by its name.
	preferred map[string]*Link
	all       map[*Link]struct{}
	// closedTraffic is the traffic of the removed links.
	closedTraffic Traffic
}

// Traffic holds the bytes of QUIC packets sent and received, without UDP and IP headers.
type Traffic struct {
	Sent, Received uint64
}

// Add adds a link. If two hosts dial each other simultaneously, both prefer the connection dialed
// by the host whose name sorts first. The other connection becomes idle and is closed, so that one
// connection remains for each pair of hosts.
func (t *Table) Add(l *Link) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.all == nil {
		t.preferred = map[string]*Link{}
		t.all = map[*Link]struct{}{}
	}
	t.all[l] = struct{}{}
	l.addedAt = time.Now()
	l.lastUsed.Store(l.addedAt.UnixNano())
	if o := t.preferred[l.Host]; o == nil || !o.Alive() || t.prefers(l, o) {
		t.preferred[l.Host] = l
	}
}

// simultaneousDialWindow is the maximum time between two links that result from two hosts dialing
// each other simultaneously.
const simultaneousDialWindow = 3 * time.Second

// prefers reports whether l is preferred to o, an older link to the same host. A link that was
// dialed later than simultaneousDialWindow after o, or by the same side, is preferred: it was
// dialed because one side had found o to be dead.
func (t *Table) prefers(l, o *Link) bool {
	if l.Dialed == o.Dialed || l.addedAt.Sub(o.addedAt) > simultaneousDialWindow {
		return true
	}
	return l.Dialed == (t.Self < l.Host)
}

// Remove removes l after its connection has ended, and closes its transports.
func (t *Table) Remove(l *Link) {
	defer l.closeTransports()
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.all[l]; !ok {
		return
	}
	delete(t.all, l)
	s := l.Conn.ConnectionStats()
	t.closedTraffic.Sent += s.BytesSent
	t.closedTraffic.Received += s.BytesReceived
	t.unprefer(l)
}

// Unprefer excludes l from new streams, in favor of another live link to the host if there is one.
// Open streams on l continue.
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

// Find returns the link for new streams to host, or nil if there is none that is alive.
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

// Traffic returns the total traffic of all links, including those that were removed.
func (t *Table) Traffic() Traffic {
	t.mu.Lock()
	defer t.mu.Unlock()
	x := t.closedTraffic
	for l := range t.all {
		s := l.Conn.ConnectionStats()
		x.Sent += s.BytesSent
		x.Received += s.BytesReceived
	}
	return x
}
