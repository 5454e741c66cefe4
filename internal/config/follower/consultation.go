package follower

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/config/adopter"
	"github.com/cuminwick/cuminwick/internal/config/declarer"
	"github.com/cuminwick/cuminwick/internal/config/encoder"
	"github.com/cuminwick/cuminwick/internal/platform/accessor"
)

// ErrNotRegistered reports that a relay's object doesn't hold the host that reported to it.
const ErrNotRegistered = errors.ConstError("relay holds no registration")

// Relays gives access to the relays of the host's availability zone.
type Relays interface {
	// Relays returns the names of the relays in the order in which to try them; none if
	// this host is itself a relay.
	Relays() []string
	// Consult sends q to one relay and returns its answer.
	Consult(ctx context.Context, relay string, q Consultation) (Advice, error)
	// FetchFrom gets the file of revision r from one relay, which may wait for a file
	// that it doesn't hold yet. base is the revision whose file the caller holds, zero
	// for none; the relay may then return a change from it.
	FetchFrom(ctx context.Context, relay string, r, base declarer.Revision) (Delivery, error)
}

// Consultation asks a relay for the head of the configuration, and may carry a report.
type Consultation struct {
	// Known is the version of the latest head that the asking host has seen.
	Known accessor.Version `cbor:"1,keyasint"`
	// Wait is how long the relay may hold the answer back until it has something new.
	Wait time.Duration `cbor:"2,keyasint"`
	// Host and Incarnation identify the asking host.
	Host        string `cbor:"3,keyasint"`
	Incarnation string `cbor:"4,keyasint"`
	// Report is nil if only the head is asked for.
	Report *MemberReport `cbor:"5,keyasint,omitempty"`
}

// MemberReport is what a host reports to its relay about itself.
type MemberReport struct {
	Member encoder.HostReport `cbor:"1,keyasint"`
	// Registrar identifies the relay's object in which the host is registered (see
	// Holding.Registrar), empty if the host asks to be registered.
	Registrar string `cbor:"2,keyasint,omitempty"`
	// Sequence numbers the host's reports in ascending order.
	Sequence uint64 `cbor:"3,keyasint"`
	// Leaving asks the relay to remove the host from its object, because the host stops
	// or is registered elsewhere.
	Leaving bool `cbor:"4,keyasint,omitempty"`
}

// Advice answers a Consultation.
type Advice struct {
	// Sight is the relay's latest view of the head, nil if it has not read the head yet.
	Sight *adopter.Sight `cbor:"1,keyasint,omitempty"`
	// Registration is nil if the relay can't state that its object holds the host.
	Registration *Holding `cbor:"2,keyasint,omitempty"`
}

// Holding is what a relay's object holds about a host.
type Holding struct {
	// Registrar identifies the relay's object.
	Registrar string `cbor:"1,keyasint"`
	// Member is what the object holds, nil if that equals what the host reported.
	Member *encoder.HostReport `cbor:"2,keyasint,omitempty"`
	// Confirmed is set if the relay requested the head in the same answer after its
	// object was written.
	Confirmed bool `cbor:"3,keyasint,omitempty"`
}
