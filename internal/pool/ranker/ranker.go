// Package ranker keeps the order of pool owners in step with the live entry hosts.
package ranker

import (
	"context"
	"sync/atomic"

	"github.com/cuminwick/cuminwick/internal/pool/assigner"
)

// Members tells which entry hosts are live.
type Members interface {
	// Live returns the live entry hosts, leaving ones marked as such.
	Live() []assigner.Host
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
}

// Ranker ranks entry hosts by the members it saw last. The exported fields are
// set before use.
type Ranker struct {
	Members Members
	// Notify, if set, is called after each change with the live hosts.
	Notify func(live []assigner.Host)

	assigner atomic.Pointer[assigner.Assigner]
}

// Owners returns the owner of s and its successors.
func (r *Ranker) Owners(s assigner.Server, n int) assigner.Owners {
	a := r.assigner.Load()
	if a == nil {
		return assigner.Owners{}
	}
	return a.Owners(s, n)
}

// Refresh takes the present members.
func (r *Ranker) Refresh() {
	l := r.Members.Live()
	r.assigner.Store(assigner.Compile(l))
	if r.Notify != nil {
		r.Notify(l)
	}
}

// Run follows the members until ctx ends.
func (r *Ranker) Run(ctx context.Context) error {
	for {
		c := r.Members.Changed()
		r.Refresh()
		select {
		case <-c:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
