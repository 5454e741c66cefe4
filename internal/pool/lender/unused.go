package lender

import (
	"sync"
	"time"

	"github.com/cuminwick/cuminwick/internal/limit/gate"
)

// unused is a slot that was granted with a connection and has run nothing yet.
//
// Another entry host gets to know of its lease before it sends the statement. Was
// its zone cut off in between, the statement never comes, and the lease lasts
// until the link is found to be dead. A server has two or three slots: kept that
// long, a few such leases stopped all writes of a group for as long as the cut.
// After unusedLimit the slot goes to the next in the queue, and the lease waits
// for another one should it be used after all.
type unused struct {
	mu    sync.Mutex
	slot  *gate.Slot
	timer *time.Timer
}

// expire gives the slot back after unusedLimit, if it isn't taken before.
func (u *unused) expire() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.timer = time.AfterFunc(unusedLimit, u.giveBack)
}

// take returns the slot, nil if it is gone.
func (u *unused) take() *gate.Slot {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.timer != nil {
		u.timer.Stop()
	}
	s := u.slot
	u.slot = nil
	return s
}

func (u *unused) giveBack() {
	if s := u.take(); s != nil {
		s.ReleaseUnused()
	}
}
