// Package accessor defines what cuminwick asks of the platform's object service and host list.
package accessor

import (
	"context"

	"github.com/juju/errors"
)

// Version counts the changes of one object; zero stands for an absent object.
type Version uint64

// Object is one value in the platform's object service.
type Object struct {
	// Kind groups objects, for instance configuration or database-group.
	Kind string `json:"kind"`
	// Name is unique within the kind.
	Name string `json:"name"`
	// Version is set by the service at each change.
	Version Version `json:"version"`
	// Writer is the id that the writer gave with the put, so that a writer
	// whose answer was lost can tell its own change when it reads back.
	Writer string `json:"writer"`
	// Value holds at most MaximumValueBytes.
	Value []byte `json:"value"`
}

// MaximumValueBytes is the largest value the object service holds.
const MaximumValueBytes = 1 << 20

// HostState is how the host list sees a host.
type HostState string

// States in the host list.
const (
	// HostLive is a host in service.
	HostLive HostState = "live"
	// HostLeaving is a host that will stop soon.
	HostLeaving HostState = "leaving"
)

// HostKind tells entry hosts from backend servers.
type HostKind string

// Kinds of host in the host list.
const (
	// EntryHost runs cuminwick serve.
	EntryHost HostKind = "entry-host"
	// BackendServer is an instance of a database group.
	BackendServer HostKind = "backend-server"
)

// Host is one line of the host list, which lags behind the truth.
type Host struct {
	Name             string    `json:"name"`
	Kind             HostKind  `json:"kind"`
	AvailabilityZone string    `json:"availability-zone"`
	Region           string    `json:"region"`
	Address          string    `json:"address"`
	State            HostState `json:"state"`
}

// Errors of the platform; all others leave the effect of a put unknown.
const (
	// ErrNotFound is returned for an absent object.
	ErrNotFound = errors.ConstError("object not found")
	// ErrConflict is returned when a put's version isn't the present one; nothing changed.
	ErrConflict = errors.ConstError("object version conflict")
	// ErrTooLarge is returned for a value above MaximumValueBytes; nothing changed.
	ErrTooLarge = errors.ConstError("object value too large")
	// ErrUnchanged is returned by a watch whose wait ended without a change,
	// which proves that the object was unchanged after the watch was sent.
	ErrUnchanged = errors.ConstError("object unchanged")
)

// Platform is the object service and the host list. Each call is counted by
// the service, a waiting watch as one.
type Platform interface {
	// Get returns one object, or ErrNotFound.
	Get(ctx context.Context, kind, name string) (Object, error)
	// Put stores o if the stored version equals o.Version (zero: absent) and
	// returns it with its new version, or ErrConflict. After any other error
	// the change may have taken effect.
	Put(ctx context.Context, o Object) (Object, error)
	// List returns all objects of a kind, ordered by name.
	List(ctx context.Context, kind string) ([]Object, error)
	// Watch waits until the object's version is above after and returns it;
	// it returns ErrUnchanged or ErrNotFound if the service ended the wait
	// without a change or without the object.
	Watch(ctx context.Context, kind, name string, after Version) (Object, error)
	// Hosts returns the host list.
	Hosts(ctx context.Context) ([]Host, error)
}
