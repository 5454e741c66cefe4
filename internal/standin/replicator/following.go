package replicator

import (
	"sync"
	"time"

	"github.com/cuminwick/cuminwick/internal/group/marker"
)

// primaryContact holds the primary that a store follows and the time of the last contact with it.
//
// It has a mutex of its own. With the store's mutex, the replica's stream would wait while a large
// record is applied: the replica would report a long time without contact although its primary sent
// all the time, and entry hosts would replace that primary.
type primaryContact struct {
	mutex       sync.Mutex
	primary     PrimaryServer
	term        marker.Term
	lastContact time.Time
}

// set records the primary that the store follows and the accepted term.
func (f *primaryContact) set(l PrimaryServer, t marker.Term) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.primary = l
	f.term = t
}

// get returns the primary that the store follows, zero if none, and the accepted term.
func (f *primaryContact) get() (PrimaryServer, marker.Term) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.primary, f.term
}

// noteContact records that the primary of term t sent something at now. Contact with a primary of
// another term is ignored, however long that primary continues to send.
func (f *primaryContact) noteContact(t marker.Term, now time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if t == f.term && now.After(f.lastContact) {
		f.lastContact = now
	}
}

// reset sets the time of the last contact to now.
func (f *primaryContact) reset(now time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.lastContact = now
}

// sinceContact returns the time since the last contact with the primary.
func (f *primaryContact) sinceContact(now time.Time) time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return max(0, now.Sub(f.lastContact))
}
