package replicator

import (
	"slices"
	"sort"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/backend/controller"
	"github.com/cuminwick/cuminwick/internal/group/marker"
)

// Record is one log entry: all changes of one committed transaction.
type Record struct {
	Mark    marker.Mark `cbor:"1,keyasint" json:"mark"`
	Changes []Change    `cbor:"2,keyasint,omitempty" json:"changes,omitempty"`
}

// Segment is the run of records that one term wrote.
type Segment struct {
	Term  marker.Term     `cbor:"1,keyasint" json:"term"`
	First marker.Position `cbor:"2,keyasint" json:"first"`
	Last  marker.Position `cbor:"3,keyasint" json:"last"`
}

// write appends one record under the server's term and applies it; the caller holds the mutex.
func (s *Store) write(c []Change) marker.Mark {
	m := marker.Mark{Term: s.term, Position: s.last().Position + 1}
	s.appendRecord(Record{Mark: m, Changes: c})
	s.notifyChanged()
	return m
}

func (s *Store) appendRecord(r Record) {
	s.log = append(s.log, r)
	for i := range r.Changes {
		s.apply(&r.Changes[i])
	}
}

// History returns the log's segments in order, one a term.
func (s *Store) History() []Segment {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	return s.history()
}

// history finds each segment's end by binary search, since terms only grow along the log.
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

// CommonPosition returns the last position that two logs share.
//
// One primary writes a term, and a replica takes only records that continue its
// log, so equal terms at a position mean equal logs up to there.
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

// ReadRecords returns at most n records that follow position p, while the server leads under term t.
func (s *Store) ReadRecords(t marker.Term, p marker.Position, n int) ([]Record, error) {
	s.mutex.RLock()
	defer s.mutex.RUnlock()
	if s.role != controller.RolePrimary || s.term != t {
		return nil, errors.Annotatef(ErrTermRefused, "feed from %s under %d: %s at %d", s.Name, t, s.role, s.term)
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

// Truncate drops what follows position p and reports whether anything was dropped.
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

// rebuild replaces the tables by what the records r bring about.
func (s *Store) rebuild(r []Record) {
	s.log = nil
	s.tables = map[string]*table{}
	s.epoch++
	for _, e := range r {
		s.appendRecord(e)
	}
	s.notifyChanged()
}

// Append adds records that a primary of term t sent.
func (s *Store) Append(t marker.Term, r []Record) error {
	s.lock()
	defer s.mutex.Unlock()
	if t != s.term || s.role != controller.RoleReplica {
		return errors.Annotatef(ErrTermRefused, "append to %s under %d at %d", s.Name, t, s.term)
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
