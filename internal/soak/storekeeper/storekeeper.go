// Package storekeeper stands in for the platform's object store and for its orders, with
// the faults that a soak asks for.
package storekeeper

import (
	"bytes"
	"encoding/json"
	"slices"
	"sync"
	"time"
)

// Mode is how a store doesn't answer.
type Mode uint8

// Ways.
const (
	// ModeNormal is a store that answers.
	ModeNormal Mode = iota
	// ModeSilent takes calls and never answers.
	ModeSilent
	// ModeBusy answers 503.
	ModeBusy
	// ModeReset breaks connections off.
	ModeReset
)

// Fault is what is wrong with the store.
type Fault struct {
	Mode Mode
	// Delay is added to each answer.
	Delay time.Duration
	// LostAnswersPerMille is how many of a thousand writes are done and not answered.
	LostAnswersPerMille int
}

// lapse is how long an entry of a server is kept that isn't renewed.
const lapse = 3600 * time.Millisecond

// object is one object on the wire.
type object struct {
	Meta meta            `json:"meta"`
	Spec json.RawMessage `json:"spec"`
}

type meta struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
}

// event is one change.
type event struct {
	Object  object `json:"object"`
	Removed bool   `json:"removed"`

	kind string
}

// Store keeps objects by kind and name. Its exported field is set before use.
type Store struct {
	// Promote carries an order out; an error refuses it.
	Promote func(group, server string, token uint64) error

	mu       sync.Mutex
	revision uint64
	kinds    map[string]map[string]object
	events   []event
	// floor is the revision from which events are kept.
	floor   uint64
	changed chan struct{}
	renewed map[string]time.Time
	fault   Fault
	writes  int
}

// SetFault sets what is wrong with the store, the zero value for nothing.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

func (s *Store) broken() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault
}

// Put sets an object as the operator or a server does, and returns its revision. The same
// value again changes nothing.
func (s *Store) Put(kind, name string, spec any) (uint64, error) {
	b, err := json.Marshal(spec)
	if err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.kinds[kind][name]; ok && bytes.Equal(o.Spec, b) {
		return o.Meta.Revision, nil
	}
	return s.set(kind, name, b).Meta.Revision, nil
}

// Renew is Put for an entry that lapses unless it is renewed. A store that doesn't answer
// takes no renewal.
func (s *Store) Renew(kind, name string, spec any) error {
	if s.broken().Mode != ModeNormal {
		return nil
	}
	if _, err := s.Put(kind, name, spec); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.renewed == nil {
		s.renewed = make(map[string]time.Time)
	}
	s.renewed[name] = time.Now()
	return nil
}

// RemoveExpired removes the entries of the kind that weren't renewed in time.
func (s *Store) RemoveExpired(kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for n := range s.kinds[kind] {
		if time.Since(s.renewed[n]) > lapse {
			s.remove(kind, n)
		}
	}
}

// DropHistory drops the history, as a store may at any time.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events, s.floor = nil, s.revision
	s.announce()
}

// set changes an object. The mutex is held.
func (s *Store) set(kind, name string, spec json.RawMessage) object {
	if s.kinds == nil {
		s.kinds = make(map[string]map[string]object)
	}
	if s.kinds[kind] == nil {
		s.kinds[kind] = make(map[string]object)
	}
	s.revision++
	o := object{Meta: meta{Name: name, Revision: s.revision}, Spec: spec}
	s.kinds[kind][name] = o
	s.record(event{Object: o, kind: kind})
	return o
}

// remove drops an object. The mutex is held.
func (s *Store) remove(kind, name string) {
	o := s.kinds[kind][name]
	delete(s.kinds[kind], name)
	s.revision++
	s.record(event{Object: o, Removed: true, kind: kind})
}

func (s *Store) record(e event) {
	// A change orders by the store's revision, whatever the object's is.
	s.events = append(s.events, e)
	s.announce()
}

// announce wakes the waiting calls. The mutex is held.
func (s *Store) announce() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// list returns the objects of a kind in order of their names.
func (s *Store) list(kind string) ([]object, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := make([]object, 0, len(s.kinds[kind]))
	for _, o := range s.kinds[kind] {
		l = append(l, o)
	}
	slices.SortFunc(l, func(a, b object) int { return bytes.Compare([]byte(a.Meta.Name), []byte(b.Meta.Name)) })
	return l, s.revision
}

// since returns the changes of a kind after the revision, false if they aren't kept, and
// what is closed at the next change.
func (s *Store) since(kind string, after uint64) ([]event, uint64, bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.floor {
		return nil, 0, false, nil
	}
	// Each change raises the revision by one, so the changes after the floor are numbered.
	var l []event
	for i, e := range s.events {
		if s.floor+uint64(i)+1 > after && e.kind == kind {
			l = append(l, e)
		}
	}
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return l, s.revision, true, s.changed
}

// get returns one object.
func (s *Store) get(kind, name string) (object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.kinds[kind][name]
	return o, ok
}

// lose reports whether the answer to this write is to be lost: one in so many, in turn.
func (s *Store) lose() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	return s.fault.LostAnswersPerMille > 0 && s.writes*s.fault.LostAnswersPerMille%1000 < s.fault.LostAnswersPerMille
}
