// Package cachesyncer lets the entry hosts of a region read the platform's object store through
// one of them.
//
// The store counts every call against its rate limits, long polls included, and those limits
// grow more slowly than the number of entry hosts. The same holds for the bandwidth between the
// store's region and another one. Each host keeps what it has read in a Mirror, which serves
// other hosts. A Selector reads from another host's mirror, or from the store if there is no
// host to read from.
package cachesyncer

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"
)

// Entry is one object of the store in its encoded form.
type Entry struct {
	Name string `json:"name"`
	// Revision is the store's revision at the object's last change.
	Revision uint64 `json:"revision"`
	// Value is the object as its writer encoded it, nil if the object was removed.
	Value json.RawMessage `json:"value,omitempty"`
	// Removed reports that the object was removed from the store.
	Removed bool `json:"removed,omitempty"`
	// Base is an earlier value of a large object that the requester probably has, nil if unknown.
	// The new value can be sent as a difference to it.
	Base json.RawMessage `json:"-"`
}

// Page is a list of objects or of changes, as of a revision of the store.
type Page struct {
	Entries  []Entry `json:"entries"`
	Revision uint64  `json:"as-of"`
	// AgeMilliseconds is how long ago the store confirmed that there are no changes after the revision, in a page without
	// entries that another host has sent. It is zero if that is unknown.
	AgeMilliseconds int64 `json:"age-ms,omitempty"`
	// Invalid describes the entries that couldn't be read. Those whose name can't be told are left out of
	// Entries, the others have no readable value.
	Invalid []error `json:"-"`
}

// age returns how long ago the store confirmed the page, zero if that is unknown.
func (p Page) age() time.Duration { return time.Duration(p.AgeMilliseconds) * time.Millisecond }

// Reader reads one kind of object.
type Reader interface {
	// List returns all objects and the revision from which to watch.
	List(ctx context.Context) (Page, error)
	// Watch waits up to wait for changes after the given revision. If there are none in that
	// time, it returns an empty page with the revision that it has reached. It returns
	// ErrCompacted if the changes since the given revision are not retained.
	Watch(ctx context.Context, after uint64, wait time.Duration) (Page, error)
}

// Errors of readers.
const (
	// ErrCompacted means that changes since the requested revision are not retained.
	ErrCompacted = errors.ConstError("changes aren't kept so long")
	// ErrStale means that a host's mirror is not current with the store.
	ErrStale = errors.ConstError("host has lost the store")
	// ErrUnconfirmed means that a host may have read through one that has lost the store, and not know that yet.
	ErrUnconfirmed = errors.ConstError("host has what the lost one had")
)
