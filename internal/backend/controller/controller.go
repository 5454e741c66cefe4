// Package controller defines the control functions that report a backend server's state and change its role.
package controller

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/group/marker"
)

// ErrRefused is returned when the machine of a backend server responds but no server accepts
// connections there. The network path works, so unlike a timeout this shows that the server process
// has ended.
const ErrRefused = errors.ConstError("no server takes connections")

// ErrWrongServer is returned when a different server answers at a backend server's address, because
// the backend server's process has ended and a server of another database group now uses the
// address. If that server were accepted as a member of the group, it would count towards a majority
// that doesn't hold the group's records, and be fenced or promoted in place of the right one.
const ErrWrongServer = errors.ConstError("another server answers at the address")

// Role is the role of a backend server in its database group.
type Role string

// Roles of a backend server.
const (
	// RolePrimary accepts writes under its term.
	RolePrimary Role = "primary"
	// RoleReplica follows a primary and accepts reads.
	RoleReplica Role = "replica"
	// RoleFenced is a former primary that refuses writes because it has accepted a higher term. It
	// accepts reads.
	RoleFenced Role = "fenced"
)

// Status is the state that a backend server reports about itself.
type Status struct {
	// BackendServer is the server's name in its group.
	BackendServer string `cbor:"1,keyasint" json:"backend-server"`
	Role          Role   `cbor:"2,keyasint" json:"role"`
	// Term is the highest term that the server has accepted. It refuses lower ones.
	Term marker.Term `cbor:"3,keyasint" json:"term"`
	// Last is the term and position of the last record in the server's log.
	Last marker.Mark `cbor:"4,keyasint" json:"last"`
	// TermStart is the position of the first record of Last.Term, the term-start record.
	TermStart marker.Position `cbor:"5,keyasint" json:"term-start"`
	// SinceLastContact is the time since a replica last received anything from its primary, zero on a
	// primary.
	SinceLastContact time.Duration `cbor:"6,keyasint" json:"since-heard"`
	// Following names the primary a replica follows, empty if none.
	Following string `cbor:"7,keyasint" json:"following"`
	// Leaving reports that the server will stop soon.
	Leaving bool `cbor:"8,keyasint" json:"leaving"`
	// PreviousTerm is the term of the record before TermStart, zero if there is none or the server
	// doesn't report it. It lets any host decide whether a commit of that term is part of the log;
	// without it the commit's outcome stays unknown.
	PreviousTerm marker.Term `cbor:"9,keyasint" json:"previous-term"`
	// WriteTransactions is the number of open transactions that have written, zero if the server
	// doesn't report it. A planned hand-over waits until they have ended.
	WriteTransactions int `cbor:"10,keyasint" json:"writing"`
	// SystemIdentifier is the same on all servers of a group and differs between groups. It is zero
	// if the server doesn't report it.
	SystemIdentifier uint64 `cbor:"11,keyasint,omitempty" json:"-"`
}

// Control calls the control functions of one backend server.
//
// All calls use a reserved connection and never wait for a slot. The form of these calls on the real
// platform is unknown, see docs/ASSUMPTIONS.md.
type Control interface {
	// Status returns the server's current state.
	Status(ctx context.Context) (Status, error)
	// RaiseTerm makes the server refuse writes and replication under terms lower than t. It returns
	// an error if t isn't higher than the accepted term.
	RaiseTerm(ctx context.Context, t marker.Term) (Status, error)
	// Promote makes the server the primary of t, its accepted term, and has it write the term-start
	// record.
	Promote(ctx context.Context, t marker.Term) (Status, error)
	// Follow makes the server a replica of the named server under term t. Records of its log that
	// the named server doesn't have are dropped.
	Follow(ctx context.Context, t marker.Term, backendServer, address string) (Status, error)
}
