// Package accessor defines the interface to the platform's object service and host list.
package accessor

import (
	"context"

	"github.com/juju/errors"
)

// Version counts the changes of one object. It is zero for an absent object.
type Version uint64

// Object is one value in the platform's object service.
type Object struct {
	// Kind groups objects, for instance configuration or database-group.
	Kind string `json:"kind"`
	// Name is unique within the kind.
	Name string `json:"name"`
	// Version is raised by the service at each change.
	Version Version `json:"version"`
	// Writer is the id that the writer passed to Put, so that a writer whose answer was lost can
	// recognize its own change when it reads the object.
	Writer string `json:"writer"`
	// Value has at most MaximumValueBytes.
	Value []byte `json:"value"`
}

// MaximumValueBytes is the size of the largest value that the object service stores.
const MaximumValueBytes = 1 << 20

// HostState is the state of a host in the host list.
type HostState string

// States in the host list.
const (
	// HostLive is the state of a host in service.
	HostLive HostState = "live"
	// HostLeaving is the state of a host that will stop soon.
	HostLeaving HostState = "leaving"
)

// HostKind distinguishes entry hosts from backend servers.
type HostKind string

// Kinds of host in the host list.
const (
	// EntryHost is a host that runs cuminwick serve.
	EntryHost HostKind = "entry-host"
	// BackendServer is a server of a database group.
	BackendServer HostKind = "backend-server"
)

// Host is one entry of the host list. The list lags behind the actual state.
type Host struct {
	Name             string    `json:"name"`
	Kind             HostKind  `json:"kind"`
	AvailabilityZone string    `json:"availability-zone"`
	Region           string    `json:"region"`
	Address          string    `json:"address"`
	State            HostState `json:"state"`
}

// Errors of the platform. After any other error it is unknown whether a put took effect.
const (
	// ErrNotFound is returned for an absent object.
	ErrNotFound = errors.ConstError("object not found")
	// ErrConflict is returned if a put's version isn't the present one. Nothing was changed.
	ErrConflict = errors.ConstError("object version conflict")
	// ErrTooLarge is returned for a value above MaximumValueBytes. Nothing was changed.
	ErrTooLarge = errors.ConstError("object value too large")
	// ErrUnchanged is returned by a watch whose wait ended without a change. It proves that the
	// object was still unchanged at some time after the watch was sent.
	ErrUnchanged = errors.ConstError("object unchanged")
)

// Platform is the object service and the host list. The service counts each call, and a watch as one
// call however long it waits.
type Platform interface {
	// Get returns one object, or ErrNotFound.
	Get(ctx context.Context, kind, name string) (Object, error)
	// Put stores o if the stored version equals o.Version (zero if there must be no object) and
	// returns it with its new version. Otherwise it returns ErrConflict. After errors other than
	// ErrConflict and ErrTooLarge the change may have taken effect.
	Put(ctx context.Context, o Object) (Object, error)
	// List returns all objects of a kind, ordered by name.
	List(ctx context.Context, kind string) ([]Object, error)
	// Watch waits until the object's version is above after and returns the object. If the service
	// ends the wait first, it returns ErrUnchanged, or ErrNotFound if there is no object.
	Watch(ctx context.Context, kind, name string, after Version) (Object, error)
	// Hosts returns the host list.
	Hosts(ctx context.Context) ([]Host, error)
}
