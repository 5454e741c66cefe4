package replicator

import (
	"sync"
	"time"

	"github.com/cuminwick/cuminwick/internal/group/marker"
)

// following tells whom a store follows and when it last heard that primary.
//
// It has a mutex of its own. Under the store's, the replica's stream would wait
// while a large record is applied: the replica would report a silence during
// which its primary sent all the time, and entry hosts would replace it.
type following struct {
	mutex  sync.Mutex
	leader PrimaryServer
	term   marker.Term
	heard  time.Time
}

// set notes whom the store follows, under which accepted term.
func (f *following) set(l PrimaryServer, t marker.Term) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.leader = l
	f.term = t
}

func (f *following) get() (PrimaryServer, marker.Term) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.leader, f.term
}

// hear notes that the primary of term t was heard. One of an earlier term
// counts for nothing, however long it goes on sending.
func (f *following) hear(t marker.Term, now time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if t == f.term && now.After(f.heard) {
		f.heard = now
	}
}

// reset lets the time of silence begin at now.
func (f *following) reset(now time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.heard = now
}

// silence is how long before now the primary was last heard.
func (f *following) silence(now time.Time) time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return max(0, now.Sub(f.heard))
}
