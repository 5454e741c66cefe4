// Package storekeeper stands in for the platform's object store and its promotion requests, with
// injected faults.
package storekeeper

import (
	"bytes"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
)

// Mode is how the store answers requests.
type Mode uint8

// Modes.
const (
	// ModeNormal answers requests.
	ModeNormal Mode = iota
	// ModeSilent accepts requests and never answers.
	ModeSilent
	// ModeBusy answers 503 to all requests.
	ModeBusy
	// ModeReset resets the connection of each request.
	ModeReset
)

// Fault is the faults of the store; the zero value is none.
type Fault struct {
	Mode Mode
	// Delay is added before each answer.
	Delay time.Duration
	// SilentWatches leaves watch calls without an answer. All other calls are answered.
	SilentWatches bool
	// LostAnswersPerMille is how many of a thousand changes are carried out and not answered.
	LostAnswersPerMille int
}

// ErrUnanswered is returned for a promotion that gets no answer.
const ErrUnanswered = errors.ConstError("promotion not answered")

// entryTTL is the time after which a server's entry that is not renewed expires.
const entryTTL = 3600 * time.Millisecond

// object is one object, as encoded in answers.
type object struct {
	Meta meta            `json:"meta"`
	Spec json.RawMessage `json:"spec"`
}

// meta is the metadata of an object.
type meta struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
}

// event is one change of an object, as encoded in answers.
type event struct {
	Object  object `json:"object"`
	Removed bool   `json:"removed"`

	kind string
}

// Store keeps objects by kind and name. Its exported field is set before use.
type Store struct {
	// Promote promotes the server of the group with a fencing token, for the host that holds the claim.
	// ErrUnanswered leaves the request without an answer; any other error refuses it.
	Promote func(group, server, holder string, token uint64) error

	mu       sync.Mutex
	revision uint64
	kinds    map[string]map[string]object
	events   []event
	// floor is the revision after which events are kept.
	floor uint64
	// changed is closed at the next change, nil while no caller waits for one.
	changed chan struct{}
	// renewed holds by name when each entry was last renewed.
	renewed map[string]time.Time
	fault   Fault
	// writes counts the changes that entry hosts requested.
	writes int
}

// SetFault replaces the store's faults; the zero value ends them.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

func (s *Store) currentFault() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault
}

// Put sets an object, as the operator or a server does, and returns its revision. An unchanged value
// keeps its revision. It returns an error if spec cannot be encoded.
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

// Renew is Put for an entry that expires unless it is renewed. It does nothing while the store does not
// answer requests.
func (s *Store) Renew(kind, name string, spec any) error {
	if s.currentFault().Mode != ModeNormal {
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

// RemoveExpired removes the entries of the kind that were not renewed within entryTTL.
func (s *Store) RemoveExpired(kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for n := range s.kinds[kind] {
		if time.Since(s.renewed[n]) > entryTTL {
			s.remove(kind, n)
		}
	}
}

// DropHistory drops all events, as a store may at any time.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events, s.floor = nil, s.revision
	s.notifyWaiters()
}

// set creates or replaces an object. The caller holds the mutex.
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

// remove deletes an object. The caller holds the mutex.
func (s *Store) remove(kind, name string) {
	o := s.kinds[kind][name]
	delete(s.kinds[kind], name)
	s.revision++
	s.record(event{Object: o, Removed: true, kind: kind})
}

// record adds an event, which is ordered by the store's revision and not by its object's. The caller
// holds the mutex.
func (s *Store) record(e event) {
	s.events = append(s.events, e)
	s.notifyWaiters()
}

// notifyWaiters wakes the requests that wait for a change. The caller holds the mutex.
func (s *Store) notifyWaiters() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// list returns the objects of a kind, sorted by name, and the store's revision.
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

// since returns the events of a kind after the revision, the store's revision, false if the history does
// not reach back to the given revision, and a channel that is closed at the next change.
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

// get returns one object, and false if it does not exist.
func (s *Store) get(kind, name string) (object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.kinds[kind][name]
	return o, ok
}

// losesAnswer counts a write and reports whether its answer is lost: LostAnswersPerMille of a thousand,
// spread evenly.
func (s *Store) losesAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	return s.fault.LostAnswersPerMille > 0 && s.writes*s.fault.LostAnswersPerMille%1000 < s.fault.LostAnswersPerMille
}
