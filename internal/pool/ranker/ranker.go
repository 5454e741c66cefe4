// Package ranker updates the order of pool owners when the set of live entry hosts changes.
package ranker

import (
	"context"
	"sync/atomic"

	"github.com/cuminwick/cuminwick/internal/pool/assigner"
)

// Members provides the live entry hosts.
type Members interface {
	// Live returns the live entry hosts, with Leaving set for those that are leaving.
	Live() []assigner.Host
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
}

// Ranker ranks the entry hosts that were live at the last Refresh. The exported fields are set
// before Run.
type Ranker struct {
	Members Members
	// Notify, if set, is called with the live hosts after each Refresh.
	Notify func(live []assigner.Host)

	assigner atomic.Pointer[assigner.Assigner]
}

// Owners returns the owner of s and up to n-1 successors, or none before the first Refresh.
func (r *Ranker) Owners(s assigner.Server, n int) assigner.Owners {
	a := r.assigner.Load()
	if a == nil {
		return assigner.Owners{}
	}
	return a.Owners(s, n)
}

// Refresh loads the current members and calls Notify.
func (r *Ranker) Refresh() {
	l := r.Members.Live()
	r.assigner.Store(assigner.Compile(l))
	if r.Notify != nil {
		r.Notify(l)
	}
}

// Run calls Refresh at the start and after each change of the members until ctx ends.
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
