// Package matcher makes the cancel keys that callers get, and tells from a key which entry host holds its session.
package matcher

import "github.com/cespare/xxhash/v2"

// Key is the cancel key that a caller gets with its session. The process id
// names the entry host and the session there, so that any entry host can forward
// a cancel without a table of sessions.
type Key struct {
	ProcessID uint32
	// Secret is random, it alone shows that the cancel comes from the caller.
	Secret uint32
}

// HostID stands for an entry host in a key. Two hosts may share one; a cancel is
// then forwarded to both, and the secret decides.
type HostID uint16

const (
	// sessionBits of the process id number the session, the rest above it the host.
	// The topmost bit stays clear, as drivers take the id as a signed number.
	sessionBits = 15
	sessionMask = 1<<sessionBits - 1
)

// IDOf returns the id of an entry host's name.
func IDOf(host string) HostID {
	return HostID(xxhash.Sum64String(host))
}

// Host returns the id of the host that holds the key's session.
func (k Key) Host() HostID {
	return HostID(k.ProcessID >> sessionBits)
}

// NewKey makes a key of a session number, of which the low bits count.
func NewKey(h HostID, session, secret uint32) Key {
	return Key{ProcessID: uint32(h)<<sessionBits | session&sessionMask, Secret: secret}
}
