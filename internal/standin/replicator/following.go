package replicator

import (
	"sync"
	"time"

	"github.com/cuminwick/cuminwick/internal/group/marker"
)

// primaryContact tells whom a store follows and when it last heard that primary.
//
// It has a mutex of its own. Under the store's, the replica's stream would wait
// while a large record is applied: the replica would report a silence during
// which its primary sent all the time, and entry hosts would replace it.
type primaryContact struct {
	mutex       sync.Mutex
	primary     PrimaryServer
	term        marker.Term
	lastContact time.Time
}

// set notes whom the store follows, under which accepted term.
func (f *primaryContact) set(l PrimaryServer, t marker.Term) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.primary = l
	f.term = t
}

func (f *primaryContact) get() (PrimaryServer, marker.Term) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.primary, f.term
}

// noteContact notes that the primary of term t was heard. One of an earlier term
// counts for nothing, however long it goes on sending.
func (f *primaryContact) noteContact(t marker.Term, now time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if t == f.term && now.After(f.lastContact) {
		f.lastContact = now
	}
}

// reset lets the time of silence begin at now.
func (f *primaryContact) reset(now time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.lastContact = now
}

// sinceContact is how long before now the primary was last heard.
func (f *primaryContact) sinceContact(now time.Time) time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return max(0, now.Sub(f.lastContact))
}
