package replicator

import (
	"slices"
	"sort"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/backend/controller"
	"github.com/cuminwick/cuminwick/internal/group/marker"
)

// Record is one log entry: all changes of one committed transaction, none in a term-start record.
type Record struct {
	Mark    marker.Mark `cbor:"1,keyasint" json:"mark"`
	Changes []Change    `cbor:"2,keyasint,omitempty" json:"changes,omitempty"`
}

// Segment is the range of consecutive log positions that one term wrote.
type Segment struct {
	Term  marker.Term     `cbor:"1,keyasint" json:"term"`
	First marker.Position `cbor:"2,keyasint" json:"first"`
	Last  marker.Position `cbor:"3,keyasint" json:"last"`
}

// write appends one record under the server's term, applies it and returns its mark. The caller
// holds the mutex.
func (s *Store) write(c []Change) marker.Mark {
	m := marker.Mark{Term: s.term, Position: s.last().Position + 1}
	s.appendRecord(Record{Mark: m, Changes: c})
	s.notifyChanged()
	return m
}

// appendRecord appends one record and applies its changes; the caller holds the mutex.
func (s *Store) appendRecord(r Record) {
	s.log = append(s.log, r)
	for i := range r.Changes {
		s.apply(&r.Changes[i])
	}
}

// History returns the log's segments in order, one per term.
func (s *Store) History() []Segment {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return s.history()
}

// history finds each segment's end by binary search, since terms never decrease along the log. The
// caller holds the mutex.
func (s *Store) history() []Segment {
	var h []Segment
	for i := 0; i < len(s.log); {
		t := s.log[i].Mark.Term
		n := sort.Search(len(s.log)-i, func(k int) bool { return s.log[i+k].Mark.Term > t })
		h = append(h, Segment{Term: t, First: s.log[i].Mark.Position, Last: s.log[i+n-1].Mark.Position})
		i += n
	}
	return h
}

// CommonPosition returns the last position up to which two logs are equal, zero if there is none.
//
// Only one primary writes under a term, and a replica appends only records that continue its log, so
// equal terms at a position mean that the logs are equal up to there.
func CommonPosition(a, b []Segment) marker.Position {
	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			if a[i].Term == b[j].Term {
				return min(a[i].Last, b[j].Last)
			}
		}
	}
	return 0
}

// ReadRecords returns at most n records that follow position p. It returns ErrTermRefused if the
// server is not primary under term t.
func (s *Store) ReadRecords(t marker.Term, p marker.Position, n int) ([]Record, error) {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	if s.role != controller.RolePrimary || s.term != t {
		return nil, errors.Annotatef(ErrTermRefused, "read records of %s under term %d: server is %s at term %d", s.Name, t, s.role, s.term)
	}
	if int(p) >= len(s.log) {
		return nil, nil
	}
	r := s.log[p:]
	if len(r) > n {
		r = r[:n]
	}
	return slices.Clone(r), nil
}

// Truncate drops the records after position p and reports whether there were any. It returns
// ErrTermRefused if the server is not a replica under term t.
func (s *Store) Truncate(t marker.Term, p marker.Position) (bool, error) {
	s.lock()
	defer s.mutex.Unlock()
	if t != s.term || s.role != controller.RoleReplica {
		return false, errors.Annotatef(ErrTermRefused, "truncate %s under %d at %d", s.Name, t, s.term)
	}
	if int(p) >= len(s.log) {
		return false, nil
	}
	s.dropped = append(s.dropped, s.log[p:]...)
	s.rebuild(s.log[:p])
	return true, nil
}

// rebuild replaces the log by the records r and the tables by the result of applying them. The
// caller holds the mutex.
func (s *Store) rebuild(r []Record) {
	s.log = nil
	s.tables = map[string]*table{}
	s.epoch++
	for _, e := range r {
		s.appendRecord(e)
	}
	s.notifyChanged()
}

// Append adds and applies records that the primary of term t sent. It returns ErrTermRefused if the
// server is not a replica under t, and ErrDiverged for a record that does not continue the log.
func (s *Store) Append(t marker.Term, r []Record) error {
	s.lock()
	defer s.mutex.Unlock()
	if t != s.term || s.role != controller.RoleReplica {
		return errors.Annotatef(ErrTermRefused, "append to %s under term %d at term %d", s.Name, t, s.term)
	}
	for _, e := range r {
		if e.Mark.Position != s.last().Position+1 || e.Mark.Term < s.last().Term {
			return errors.Annotatef(ErrDiverged, "append %v after %v on %s", e.Mark, s.last(), s.Name)
		}
		s.appendRecord(e)
	}
	s.notifyChanged()
	return nil
}
