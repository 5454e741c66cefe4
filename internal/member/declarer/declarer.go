// Package declarer declares the member records and gossip messages of entry hosts.
package declarer

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is the state of a member. Within one incarnation a member only moves to higher states.
type State uint8

// States of a member.
const (
	// Live members serve callers and own pools.
	Live State = iota
	// Leaving members finish their transactions and accept no new work.
	Leaving
	// Dead members have departed, or two observers couldn't reach them.
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

// MarshalText returns the state's name.
func (s State) MarshalText() ([]byte, error) {
	return []byte(s.String()), nil
}

// Member is the record of one entry host.
type Member struct {
	Host             string `cbor:"1,keyasint" json:"host"`
	AvailabilityZone string `cbor:"2,keyasint" json:"availability-zone"`
	Region           string `cbor:"3,keyasint" json:"region"`
	// Address is the host and port at which peers dial the member.
	Address string `cbor:"4,keyasint" json:"address"`
	// Incarnation distinguishes the starts of a host. The host also increases it to refute an
	// outdated record of itself.
	Incarnation uint64 `cbor:"5,keyasint" json:"incarnation"`
	State       State  `cbor:"6,keyasint,omitempty" json:"state"`
}

// Supersedes reports whether m is a newer record of the same host than o.
func (m Member) Supersedes(o Member) bool {
	if m.Incarnation != o.Incarnation {
		return m.Incarnation > o.Incarnation
	}
	return m.State > o.State
}

// Digest returns a hash of the host, incarnation and state. Digests of several records are combined
// by exclusive or, so that their order doesn't matter.
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

// ZoneBeat is the heartbeat of an availability zone.
type ZoneBeat struct {
	AvailabilityZone string `cbor:"1,keyasint"`
	// Counter is incremented regularly by the first relay of the zone.
	Counter uint64 `cbor:"2,keyasint"`
}

// Message is a heartbeat with updates that the receiver may not have. It fits into a datagram and
// may be lost.
type Message struct {
	// Digest is the combined digest of all members of the sender's view that aren't dead.
	Digest uint64 `cbor:"1,keyasint"`
	// Updates holds records that have changed.
	Updates []Member `cbor:"2,keyasint,omitempty"`
	// Zones holds zone counters that have increased.
	Zones []ZoneBeat `cbor:"3,keyasint,omitempty"`
	// ReplyRequested is set in heartbeats to other zones, because their relays send their own
	// heartbeats to different hosts. It isn't set in replies.
	ReplyRequested bool `cbor:"4,keyasint,omitempty"`
}

// ZoneDigest is the combined digest of one zone's members that aren't dead.
type ZoneDigest struct {
	AvailabilityZone string `cbor:"1,keyasint"`
	Digest           uint64 `cbor:"2,keyasint"`
}

// SyncRequest requests the members of all zones whose digest differs at the receiver.
type SyncRequest struct {
	// Self is the record of the requesting host, which the receiver may not have.
	Self Member `cbor:"1,keyasint"`
	// Digests holds one digest for each zone that the requesting host has members of.
	Digests []ZoneDigest `cbor:"2,keyasint"`
}

// SyncAnswer holds all members of the zones whose digests differ, and all zone counters.
type SyncAnswer struct {
	Members []Member   `cbor:"1,keyasint"`
	Zones   []ZoneBeat `cbor:"2,keyasint"`
}

// View is the state of all entry hosts as one of them has observed it. It is immutable.
type View struct {
	// Self is the record of the observing host.
	Self Member `json:"self"`
	// Members holds all hosts including Self, sorted by zone and name.
	Members []Member `json:"members"`
	Zones   []Zone   `json:"zones"`
}

// Zone is the state of an availability zone as one host has observed it.
type Zone struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	// Live is the number of members in state Live.
	Live int `json:"live"`
	// Relays holds the hosts that exchange heartbeats with other zones, in order of rank.
	Relays []string `json:"relays"`
	// CutOff reports that no heartbeat of the zone has been received for several intervals. Its
	// members keep their last known states.
	CutOff bool `json:"cut-off"`
	// SinceHeartbeat is the time since the last heartbeat of the zone, zero before the first one and
	// for the observing host's own zone. In JSON it is a number of nanoseconds.
	SinceHeartbeat time.Duration `json:"since-heard"`
	// Unreachable holds live members of the observing host's own zone that it can't reach, while no
	// second observer has confirmed that they are dead.
	Unreachable []string `json:"unheard,omitempty"`
}
