// Package declarer holds what entry hosts tell each other about their members.
package declarer

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is what is known of a member. At one incarnation a higher state is the
// later one.
type State uint8

// States of a member.
const (
	// Live takes callers and owns pools.
	Live State = iota
	// Leaving finishes its transactions and takes nothing new.
	Leaving
	// Dead has said goodbye, or two observers couldn't reach it.
	Dead
)

// String returns the state's name.
func (s State) String() string {
	switch s {
	case Live:
		return "live"
	case Leaving:
		return "leaving"
	}
	return "dead"
}

// MarshalText writes the state's name.
func (s State) MarshalText() ([]byte, error) {
	return []byte(s.String()), nil
}

// Member is one entry host.
type Member struct {
	Host             string `cbor:"1,keyasint" json:"host"`
	AvailabilityZone string `cbor:"2,keyasint" json:"availability-zone"`
	Region           string `cbor:"3,keyasint" json:"region"`
	// Address is where peers dial it.
	Address string `cbor:"4,keyasint" json:"address"`
	// Incarnation tells this start of the host from others; the host itself
	// raises it to contradict a wrong word about it.
	Incarnation uint64 `cbor:"5,keyasint" json:"incarnation"`
	State       State  `cbor:"6,keyasint,omitempty" json:"state"`
}

// Supersedes reports whether m is later news of a host than o.
func (m Member) Supersedes(o Member) bool {
	if m.Incarnation != o.Incarnation {
		return m.Incarnation > o.Incarnation
	}
	return m.State > o.State
}

// Digest returns a hash of the record. Digests of several records are combined
// by exclusive or, so that their order doesn't count.
func (m Member) Digest() uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(m.Host)
	var b [9]byte
	for i := range 8 {
		b[i] = byte(m.Incarnation >> (8 * i))
	}
	b[8] = byte(m.State)
	_, _ = d.Write(b[:])
	return d.Sum64()
}

// ZoneBeat shows that an availability zone is heard of. Its first relay counts up.
type ZoneBeat struct {
	AvailabilityZone string `cbor:"1,keyasint"`
	Counter          uint64 `cbor:"2,keyasint"`
}

// Message is a heartbeat with the news that the receiver may lack. It fits
// into a datagram and may be lost.
type Message struct {
	// Digest is over all members that the sender knows.
	Digest  uint64     `cbor:"1,keyasint"`
	Updates []Member   `cbor:"2,keyasint,omitempty"`
	Zones   []ZoneBeat `cbor:"3,keyasint,omitempty"`
	// ReplyRequested is set towards relays of other zones, whose own heartbeats go
	// elsewhere. A reply doesn't set it.
	ReplyRequested bool `cbor:"4,keyasint,omitempty"`
}

// ZoneDigest sums up what a host knows of one zone's members.
type ZoneDigest struct {
	AvailabilityZone string `cbor:"1,keyasint"`
	Digest           uint64 `cbor:"2,keyasint"`
}

// SyncRequest asks for the members of zones whose digests differ.
type SyncRequest struct {
	// Self is the asking host, which may be new to the other one.
	Self    Member       `cbor:"1,keyasint"`
	Digests []ZoneDigest `cbor:"2,keyasint"`
}

// SyncAnswer holds all members of the zones that differ.
type SyncAnswer struct {
	Members []Member   `cbor:"1,keyasint"`
	Zones   []ZoneBeat `cbor:"2,keyasint"`
}

// View is what one entry host knows of all of them. It isn't changed once it
// has been handed out.
type View struct {
	Self Member `json:"self"`
	// Members holds all hosts, this one included, by zone and name.
	Members []Member `json:"members"`
	Zones   []Zone   `json:"zones"`
}

// Zone is an availability zone as one host sees it.
type Zone struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	// Live counts its members in service.
	Live int `json:"live"`
	// Relays speak for the zone, the first one before the others.
	Relays []string `json:"relays"`
	// CutOff says that nothing is heard of the zone, for the time SinceHeartbeat
	// (in nanoseconds as JSON). Its members stand as they were last known.
	CutOff         bool          `json:"cut-off"`
	SinceHeartbeat time.Duration `json:"since-heard"`
	// Unreachable are live members of this host's own zone that it can't reach,
	// while no second observer confirms that they are dead.
	Unreachable []string `json:"unheard,omitempty"`
}
