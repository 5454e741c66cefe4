package blackboard

import "slices"

// Subscriber is notified when a section changes.
type Subscriber[S any] struct {
	// Version returns the version of the section of interest.
	Version func(s *S) uint64
	// C receives a value after a change. Its buffer holds one value, so several changes that a slow
	// subscriber hasn't handled yet cause one notification, after which it reads the latest state.
	C chan struct{}
}

// Subscribe notifies x of changes from now on. It creates x.C if that is nil.
func (b *Board[S]) Subscribe(x *Subscriber[S]) {
	if x.C == nil {
		x.C = make(chan struct{}, 1)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.subscribers = append(b.subscribers, x)
}

// Unsubscribe ends the notifications of x. It does nothing if x isn't subscribed.
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
