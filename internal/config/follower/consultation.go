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

// ErrNotRegistered says that a relay doesn't count the host that asked.
const ErrNotRegistered = errors.ConstError("relay holds no registration")

// Relays is the way to the relays of the host's zone.
type Relays interface {
	// Relays returns the hosts to ask, in order; none if this host is a relay.
	Relays() []string
	// Consult asks one of them.
	Consult(ctx context.Context, relay string, q Consultation) (Advice, error)
	// FetchFrom asks one of them for a file, which it may be about to get, on behalf
	// of a host that holds base's file, zero for none.
	FetchFrom(ctx context.Context, relay string, r, base declarer.Revision) (Delivery, error)
}

// Consultation asks a relay for the head, and may report to it.
type Consultation struct {
	// Known is the version of the head that the host has seen.
	Known accessor.Version `cbor:"1,keyasint"`
	// Wait is how long the relay may wait for what it has to tell.
	Wait time.Duration `cbor:"2,keyasint"`
	// Host and Incarnation say who asks.
	Host        string `cbor:"3,keyasint"`
	Incarnation string `cbor:"4,keyasint"`
	// Report is nil where only the head is asked for.
	Report *MemberReport `cbor:"5,keyasint,omitempty"`
}

// MemberReport is what a host tells its relay of itself.
type MemberReport struct {
	Member encoder.HostReport `cbor:"1,keyasint"`
	// Registrar is where the host is registered, empty if it asks to be.
	Registrar string `cbor:"2,keyasint,omitempty"`
	// Sequence numbers the host's reports.
	Sequence uint64 `cbor:"3,keyasint"`
	// Leaving says that the host doesn't count on this relay any more.
	Leaving bool `cbor:"4,keyasint,omitempty"`
}

// Advice answers a Consultation.
type Advice struct {
	// Sight is nil if the relay has seen nothing yet.
	Sight *adopter.Sight `cbor:"1,keyasint,omitempty"`
	// Registration is nil if the relay can't say that its object holds the host.
	Registration *Holding `cbor:"2,keyasint,omitempty"`
}

// Holding is what a relay's object holds of a host.
type Holding struct {
	Registrar string `cbor:"1,keyasint"`
	// Member is nil where the object holds just what the host reported.
	Member *encoder.HostReport `cbor:"2,keyasint,omitempty"`
	// Confirmed says that the head in the same answer was asked for after the
	// object was written.
	Confirmed bool `cbor:"3,keyasint,omitempty"`
}
