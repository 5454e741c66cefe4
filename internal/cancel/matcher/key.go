// Package matcher creates the cancel keys of sessions and finds the entry host that holds the session of a key.
package matcher

import "github.com/cespare/xxhash/v2"

// Key is the cancel key that a caller receives at the start of its session. The process id encodes
// the entry host and the session there, so that any entry host can forward a cancel request without
// a table of sessions.
type Key struct {
	ProcessID uint32
	// Secret is random. It alone proves that a cancel request comes from the session's caller.
	Secret uint32
}

// HostID identifies an entry host in a key. Two hosts may share an id. A cancel request is then
// forwarded to both, and the secret determines which one acts on it.
type HostID uint16

const (
	// sessionBits is the number of low bits of the process id that hold the session number. The 16
	// bits above hold the host id. The highest bit stays clear, because drivers read the process id
	// as a signed number.
	sessionBits = 15
	sessionMask = 1<<sessionBits - 1
)

// IDOf returns the id of the entry host with this name.
func IDOf(host string) HostID {
	return HostID(xxhash.Sum64String(host))
}

// Host returns the id of the host that holds the key's session.
func (k Key) Host() HostID {
	return HostID(k.ProcessID >> sessionBits)
}

// NewKey returns the key of a session of host h. Only the low sessionBits of session are used.
func NewKey(h HostID, session, secret uint32) Key {
	return Key{ProcessID: uint32(h)<<sessionBits | session&sessionMask, Secret: secret}
}
