package lender

import (
	"sync"
	"time"

	"github.com/cuminwick/cuminwick/internal/limit/gate"
)

// unusedSlot is a slot that was granted along with a connection and hasn't been used yet.
//
// Another entry host is notified of its lease before it sends the first statement. If its
// availability zone is cut off in between, the statement never arrives, and the lease lasts until
// the link is detected as dead. A server has two or three slots, so a few such leases would block
// all writes of a database group during the whole network partition. After unusedSlotTimeout the
// slot goes to the next request in the queue; if the lease is used later, it waits for a new slot.
type unusedSlot struct {
	mu    sync.Mutex
	slot  *gate.Slot
	timer *time.Timer
}

// expire releases the slot after unusedSlotTimeout unless it is taken before.
func (u *unusedSlot) expire() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.timer = time.AfterFunc(unusedSlotTimeout, u.release)
}

// take returns the slot, or nil if it was taken or released before.
func (u *unusedSlot) take() *gate.Slot {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.timer != nil {
		u.timer.Stop()
	}
	s := u.slot
	u.slot = nil
	return s
}

// release gives the slot back to the gate unless it was taken.
func (u *unusedSlot) release() {
	if s := u.take(); s != nil {
		s.ReleaseUnused()
	}
}
