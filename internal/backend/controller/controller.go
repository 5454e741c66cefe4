// Package controller defines what cuminwick asks of a backend server beside SQL.
package controller

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/group/marker"
)

// ErrRefused says that the machine of a backend server answered, and that no
// server takes connections there. The way to it works, so that this is more than
// silence: the server has ended.
const ErrRefused = errors.ConstError("no server takes connections")

// ErrWrongServer says that another server answers at a backend server's address: its own
// process has ended, and one of another database group has taken the address over.
// Taken for the group's, that server would count towards a majority that doesn't hold
// the group's records, and be fenced or promoted in place of the right one.
const ErrWrongServer = errors.ConstError("another server answers at the address")

// Role is what a backend server does in its database group.
type Role string

// Roles of a backend server.
const (
	// RolePrimary accepts writes under its term.
	RolePrimary Role = "primary"
	// RoleReplica follows a primary and accepts reads.
	RoleReplica Role = "replica"
	// RoleFenced was a primary until a higher term was raised; it accepts reads.
	RoleFenced Role = "fenced"
)

// Status is one backend server's own word about itself.
type Status struct {
	// BackendServer is the server's name in its group.
	BackendServer string `cbor:"1,keyasint" json:"backend-server"`
	Role          Role   `cbor:"2,keyasint" json:"role"`
	// Term is the highest term the server has accepted; lower ones are refused.
	Term marker.Term `cbor:"3,keyasint" json:"term"`
	// Last is the last entry of the server's log, with the term that wrote it.
	Last marker.Mark `cbor:"4,keyasint" json:"last"`
	// TermStart is the position of the first record of Last.Term, the term-start record.
	TermStart marker.Position `cbor:"5,keyasint" json:"term-start"`
	// SinceLastContact is the time since the server last heard its primary, zero on a primary.
	SinceLastContact time.Duration `cbor:"6,keyasint" json:"since-heard"`
	// Following names the primary a replica follows, empty if none.
	Following string `cbor:"7,keyasint" json:"following"`
	// Leaving says that the server will stop soon.
	Leaving bool `cbor:"8,keyasint" json:"leaving"`
	// PreviousTerm is the term of the record before TermStart, zero if the server
	// doesn't say or there is none. With it any host tells whether a commit of
	// that term is part of the log; without it the commit's outcome stays open.
	PreviousTerm marker.Term `cbor:"9,keyasint" json:"previous-term"`
	// WriteTransactions counts the open transactions that have written, zero if the server
	// doesn't say. A planned hand-over waits for their end.
	WriteTransactions int `cbor:"10,keyasint" json:"writing"`
	// SystemIdentifier is shared by the servers of a group and differs from those of others,
	// zero if the server doesn't tell it.
	SystemIdentifier uint64 `cbor:"11,keyasint,omitempty" json:"-"`
}

// Control is the control side of one backend server.
//
// All calls go over a reserved connection and never wait for a slot. The real
// platform's form of these calls isn't known yet, see docs/ASSUMPTIONS.md.
type Control interface {
	// Status asks the server for its present state.
	Status(ctx context.Context) (Status, error)
	// RaiseTerm makes the server refuse writes and replication under lower terms.
	// A term that isn't higher than the accepted one is refused with an error.
	RaiseTerm(ctx context.Context, t marker.Term) (Status, error)
	// Promote makes the server primary under its accepted term t and lets it
	// write the term-start record.
	Promote(ctx context.Context, t marker.Term) (Status, error)
	// Follow makes the server a replica, under term t, of the server so named;
	// what its log holds beyond the common part is dropped.
	Follow(ctx context.Context, t marker.Term, backendServer, address string) (Status, error)
}
