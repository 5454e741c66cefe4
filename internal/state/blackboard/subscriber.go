package blackboard

import "slices"

// Subscriber is told when a section changes.
type Subscriber[S any] struct {
	// Version returns the version of the section of interest.
	Version func(s *S) uint64
	// C gets a value after a change. It holds one, so a subscriber that is
	// behind learns of several changes at once and then reads the latest state.
	C chan struct{}
}

// Subscribe tells x of changes from now on; x.C is made if it is nil.
func (b *Board[S]) Subscribe(x *Subscriber[S]) {
	if x.C == nil {
		x.C = make(chan struct{}, 1)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.subscribers = append(b.subscribers, x)
}

// Unsubscribe ends what Subscribe began.
func (b *Board[S]) Unsubscribe(x *Subscriber[S]) {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := slices.Index(b.subscribers, x)
	if i >= 0 {
		b.subscribers = slices.Delete(b.subscribers, i, i+1)
	}
}

func (b *Board[S]) notify(old, s *S) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, x := range b.subscribers {
		if x.Version(old) != x.Version(s) {
			x.signal()
		}
	}
}

func (x *Subscriber[S]) signal() {
	select {
	case x.C <- struct{}{}:
	default:
	}
}
