package storekeeper

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/clock/scheduler"
	"github.com/cuminwick/cuminwick/internal/platform/accessor"
)

// Errors of the stand-in, in addition to those of accessor.
const (
	// ErrOutage is returned by every call during an outage.
	ErrOutage = errors.ConstError("platform outage")
	// ErrAnswerLost is returned by a put that took effect but whose answer does not reach the client.
	ErrAnswerLost = errors.ConstError("answer lost")
)

// DefaultWait is how long a watch waits if Store.Wait is not set.
const DefaultWait = 4 * time.Second

// Calls holds the number of calls of each operation.
type Calls struct {
	Get   int `json:"get"`
	Put   int `json:"put"`
	List  int `json:"list"`
	Watch int `json:"watch"`
	Hosts int `json:"hosts"`
}

// Total returns the number of all calls.
func (c Calls) Total() int {
	return c.Get + c.Put + c.List + c.Watch + c.Hosts
}

type key struct {
	kind, name string
}

// Store keeps objects in memory and injects faults. It implements accessor.Platform, so that tests
// need no sockets. The zero value is an empty store.
type Store struct {
	// Wait is how long a call of Watch waits at most, DefaultWait if zero.
	Wait time.Duration

	mutex   sync.Mutex
	objects map[key]accessor.Object
	changed chan struct{}
	calls   Calls
	faults  Faults
	hosts   hostList
}

var _ accessor.Platform = (*Store)(nil)

// Get returns one object, or accessor.ErrNotFound.
func (s *Store) Get(ctx context.Context, kind, name string) (accessor.Object, error) {
	if err := s.startCall(ctx, func(c *Calls) { c.Get++ }); err != nil {
		return accessor.Object{}, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	o, ok := s.objects[key{kind, name}]
	if !ok {
		return accessor.Object{}, accessor.ErrNotFound
	}
	return o, nil
}

// Put stores o and returns it with its new version. It returns accessor.ErrConflict if the version of o
// is not the stored one, and accessor.ErrTooLarge for a value that is too large.
func (s *Store) Put(ctx context.Context, o accessor.Object) (accessor.Object, error) {
	if err := s.startCall(ctx, func(c *Calls) { c.Put++ }); err != nil {
		return accessor.Object{}, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	o, err := s.replace(o)
	if err != nil {
		return accessor.Object{}, err
	}
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		return accessor.Object{}, ErrAnswerLost
	}
	return o, nil
}

// replace stores o under the next version; the caller holds the mutex.
func (s *Store) replace(o accessor.Object) (accessor.Object, error) {
	if len(o.Value) > accessor.MaximumValueBytes {
		return o, accessor.ErrTooLarge
	}
	k := key{o.Kind, o.Name}
	if s.objects[k].Version != o.Version {
		return o, accessor.ErrConflict
	}
	if s.objects == nil {
		s.objects = map[key]accessor.Object{}
	}
	o.Version++
	o.Value = slices.Clone(o.Value)
	s.objects[k] = o
	s.wakeWatches()
	return o, nil
}

// List returns all objects of a kind, ordered by name.
func (s *Store) List(ctx context.Context, kind string) ([]accessor.Object, error) {
	if err := s.startCall(ctx, func(c *Calls) { c.List++ }); err != nil {
		return nil, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	l := []accessor.Object{}
	for k, o := range s.objects {
		if k.kind == kind {
			l = append(l, o)
		}
	}
	slices.SortFunc(l, func(a, b accessor.Object) int { return cmp.Compare(a.Name, b.Name) })
	return l, nil
}

// Watch returns the object as soon as its version is above after. If s.Wait passes first, it returns
// accessor.ErrUnchanged, or accessor.ErrNotFound if there is no such object.
func (s *Store) Watch(ctx context.Context, kind, name string, after accessor.Version) (accessor.Object, error) {
	d := s.Wait
	if d <= 0 {
		d = DefaultWait
	}
	return s.watch(ctx, kind, name, after, d)
}

// watch is Watch with the wait d.
func (s *Store) watch(ctx context.Context, kind, name string, after accessor.Version, d time.Duration) (accessor.Object, error) {
	if err := s.startCall(ctx, func(c *Calls) { c.Watch++ }); err != nil {
		return accessor.Object{}, err
	}
	t := time.NewTimer(d)
	defer t.Stop()
	for {
		o, c, err := s.lookUp(key{kind, name})
		if err != nil {
			return accessor.Object{}, err
		}
		if o.Version > after {
			return o, nil
		}
		select {
		case <-c:
		case <-t.C:
			return accessor.Object{}, watchTimeoutError(o)
		case <-ctx.Done():
			return accessor.Object{}, ctx.Err()
		}
	}
}

// lookUp returns the object, zero if absent, and a channel that is closed at the next change. During
// an outage it returns ErrOutage.
func (s *Store) lookUp(k key) (accessor.Object, <-chan struct{}, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.faults.Outage {
		return accessor.Object{}, nil, ErrOutage
	}
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.objects[k], s.changed, nil
}

// watchTimeoutError returns the error of a watch that timed out: accessor.ErrNotFound if o is absent,
// accessor.ErrUnchanged otherwise.
func watchTimeoutError(o accessor.Object) error {
	if o.Version == 0 {
		return accessor.ErrNotFound
	}
	return accessor.ErrUnchanged
}

// wakeWatches makes all watches look up their objects again; the caller holds the mutex.
func (s *Store) wakeWatches() {
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
}

// Calls returns the counts since the start or the last ResetCalls.
func (s *Store) Calls() Calls {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.calls
}

// ResetCalls sets all counts to zero.
func (s *Store) ResetCalls() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.calls = Calls{}
}

// startCall counts a call and applies latency and outage to it.
func (s *Store) startCall(ctx context.Context, count func(*Calls)) error {
	s.mutex.Lock()
	count(&s.calls)
	f := s.faults
	s.mutex.Unlock()
	if err := scheduler.Pause(ctx, f.Latency); err != nil {
		return err
	}
	if f.Outage {
		return ErrOutage
	}
	return nil
}
