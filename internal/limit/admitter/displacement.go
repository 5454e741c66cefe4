package admitter

// displace refuses an entry of a full queue in favour of e, if entryToDisplace returns one, and
// reports whether it did.
func (q *Queue) displace(e *Entry) bool {
	v := q.entryToDisplace(e)
	if v == nil {
		return false
	}
	q.remove(v)
	q.refuse(v, ReasonQueueFull)
	if v.team != e.team {
		q.dropIdle(v.team)
	}
	return true
}

// entryToDisplace returns the waiting entry that e displaces, nil if none. Entries of less important
// levels come first, then those of customers with a lower priority. Otherwise a write displaces a read of
// its own team: a refused write may have to be entered again by a user, while a read is simply repeated.
// Otherwise e displaces the last entry of the team with the longest queue relative to its share, so that
// no team can fill the queue and keep the others out.
func (q *Queue) entryToDisplace(e *Entry) *Entry {
	l := e.level
	for k := uint8(OrderCount - 1); k > l; k-- {
		if v := q.lastOf(k, nil); v != nil {
			return v
		}
	}
	if v := q.lastOf(l, e); v != nil {
		return v
	}
	if e.Class == ClassWrite {
		if v := e.team.last(ClassRead, l); v != nil {
			return v
		}
	}
	var longest *team
	for _, t := range q.waitingTeams {
		if longest == nil || t.queuedAt[l]*longest.share > longest.queuedAt[l]*t.share {
			longest = t
		}
	}
	if longest == nil || longest == e.team || (e.team.queuedAt[l]+1)*longest.share >= longest.queuedAt[l]*e.team.share {
		return nil
	}
	if v := longest.last(ClassRead, l); v != nil {
		return v
	}
	return longest.last(ClassWrite, l)
}

// lastOf returns the last waiting entry of level l, nil if there is none. With e, it only regards entries
// of a lower customer's priority than that of e whose teams have at least as long a queue, relative to
// their shares, as that of e would have: a customer of high priority can't fill the queue alone.
func (q *Queue) lastOf(l uint8, e *Entry) *Entry {
	if q.queued[l] == 0 {
		return nil
	}
	var last *Entry
	for _, t := range q.waitingTeams {
		n := t.queuedAt[l]
		if n == 0 || e != nil && (e.team.queuedAt[l]+1)*t.share > n*e.team.share {
			continue
		}
		for c := ClassRead; c <= ClassWrite; c++ {
			v := t.last(c, l)
			if v == nil || e != nil && v.Importance <= e.Importance {
				continue
			}
			if last == nil || v.displacedBefore(last) {
				last = v
			}
		}
	}
	return last
}

// displacedBefore reports whether e is displaced rather than o of the same level: first the lower priority
// of the customer, then the longest queue relative to the team's share, then reads.
func (e *Entry) displacedBefore(o *Entry) bool {
	if e.Importance != o.Importance {
		return e.Importance > o.Importance
	}
	if e.team == o.team {
		return e.Class == ClassRead && o.Class != ClassRead
	}
	l := e.level
	a, b := e.team.queuedAt[l]*o.team.share, o.team.queuedAt[l]*e.team.share
	return a > b || a == b && e.sequence > o.sequence
}
