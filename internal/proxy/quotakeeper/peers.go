package quotakeeper

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

// peers holds a connection to each host that is asked.
type peers struct {
	dial func(ctx context.Context, h declarer.Host) (Peer, error)
	// lost, if not nil, is called with a host that has begun to fail.
	lost func(host string, err error)

	mu   sync.Mutex
	open map[string]*link
	// skippedUntil holds until when a host is skipped, by name.
	skippedUntil map[string]time.Time
}

// link is a connection that is open or being opened.
type link struct {
	address string
	// done is closed when peer or err is set.
	done chan struct{}
	peer Peer
	err  error
	// listed is set once the other host has answered that it lists this one.
	listed atomic.Bool
}

// get returns the connection to the host, which it opens if there is none.
func (p *peers) get(ctx context.Context, h declarer.Host) (*link, error) {
	l, first := p.connection(h)
	if first {
		l.peer, l.err = p.dial(ctx, h)
		close(l.done)
		if l.err != nil {
			p.fail(h.Name, l, l.err)
		}
	}
	select {
	case <-l.done:
		return l, l.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// present returns the open connection to the host, nil if there is none.
func (p *peers) present(h declarer.Host) *link {
	p.mu.Lock()
	l := p.open[h.Name]
	p.mu.Unlock()
	if l == nil {
		return nil
	}
	select {
	case <-l.done:
	default:
		return nil
	}
	if l.err != nil {
		return nil
	}
	return l
}

// connection returns the connection to the host, and whether the caller has to open it.
func (p *peers) connection(h declarer.Host) (l *link, first bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.open[h.Name]; l != nil && l.address == h.Address && !l.ended() {
		return l, false
	}
	if p.open == nil {
		p.open = make(map[string]*link)
	}
	l = &link{address: h.Address, done: make(chan struct{})}
	p.open[h.Name] = l
	return l, true
}

// ended reports whether the connection was open and the other host has closed it.
func (l *link) ended() bool {
	select {
	case <-l.done:
		return l.peer != nil && l.peer.Ended()
	default:
		return false
	}
}

// lossGap is the time after the end of a skip from which on a failure of the same host is reported anew.
const lossGap = 3 * time.Second

// fail closes a connection that has failed, and skips its host for a while.
func (p *peers) fail(host string, l *link, err error) {
	if l.peer != nil {
		l.peer.Close()
	}
	if p.skip(host, l) && p.lost != nil {
		p.lost(host, err)
	}
}

// skip skips a host whose connection has failed, and reports whether it had not failed lately.
func (p *peers) skip(host string, l *link) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[host] == l {
		delete(p.open, host)
	}
	if p.skippedUntil == nil {
		p.skippedUntil = make(map[string]time.Time)
	}
	begins := time.Since(p.skippedUntil[host]) > lossGap
	p.skippedUntil[host] = time.Now().Add(hostPause)
	return begins
}

func (p *peers) skipped(host string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Now().Before(p.skippedUntil[host])
}

// forgetListed drops what other hosts have answered about their lists.
func (p *peers) forgetListed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.open {
		l.listed.Store(false)
	}
}
