package promoter

import (
	"context"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
	"github.com/cuminwick/cuminwick/internal/proxy/grouptracker"
	"github.com/cuminwick/cuminwick/internal/proxy/successor"
)

const (
	// recordInterval is the least time between two attempts to record the members of a group. A host
	// postpones its first attempt by recordDelayFactor times the delay of its detector, so that usually
	// one host makes the call.
	recordInterval    = 2 * time.Second
	recordDelayFactor = 10
)

// Members is what the platform holds about the servers of a group at one moment.
type Members struct {
	// Listed are the servers that it lists.
	Listed []declarer.Server
	// Recorded are the ids of the servers that may hold commits, as entry hosts have recorded them: those whose
	// entries have lapsed too.
	Recorded []string
	// Revision is that of the record, zero if there is none.
	Revision uint64
}

// membersQuery reads the members of a group from the platform.
type membersQuery struct {
	promoter *Promoter
	done     chan membersReply
}

type membersReply struct {
	members Members
	err     error
}

func (q *membersQuery) run(ctx context.Context) {
	m, err := q.promoter.readMembers(ctx)
	q.done <- membersReply{m, err}
}

// startMembersQuery starts reading the members of the group if a promotion depends on them.
func (p *Promoter) startMembersQuery(ctx context.Context, r successor.Reason) *membersQuery {
	q := &membersQuery{promoter: p, done: make(chan membersReply, 1)}
	if !p.needsMembers(r) {
		q.done <- membersReply{}
		return q
	}
	go q.run(ctx)
	return q
}

// needsMembers reports whether a promotion for the reason depends on all servers that may hold commits. The
// candidate of a planned switchover needs the log of the old primary only.
func (p *Promoter) needsMembers(r successor.Reason) bool {
	return p.synchronous() > 0 && r != successor.ReasonDraining
}

func (p *Promoter) readMembers(ctx context.Context) (Members, error) {
	c, cancel := context.WithTimeout(ctx, requiredStoreTimeout)
	defer cancel()
	m, err := p.Platform.Members(c, p.Group)
	slices.Sort(m.Recorded)
	return m, err
}

// learnMembers notes what was just read of the group's members.
func (p *Promoter) learnMembers(m Members) {
	before := p.recorded
	if m.Revision == 0 {
		before = nil // a record that is missing doesn't say that a server has left
	}
	p.listed, p.recorded = m.Listed, m.Recorded
	listed := make([]string, 0, len(m.Listed))
	for _, s := range m.Listed {
		listed = append(listed, s.ID)
	}
	p.Board.Do(p.Group, func(g *grouptracker.Group) { g.RecordMembers(listed, m.Recorded, before, p.Board.Time()) })
}

// addListed adds the servers that were read from the platform to those on the board, whose list may be older.
func addListed(s *successor.View, l []declarer.Server) {
	for _, x := range l {
		i := slices.IndexFunc(s.Servers, func(o *grouptracker.Server) bool { return o.ID == x.ID })
		if i < 0 {
			s.Servers = append(s.Servers, &grouptracker.Server{Server: x})
			continue
		}
		s.Servers[i].Draining = s.Servers[i].Draining || x.Draining
	}
}

// confirmMembers reads the members of the group once the replicas are paused, and updates what the promotion
// requires. It reports whether they could be read: a server that neither was paused nor counts as missing may
// have acknowledged commits.
func (p *Promoter) confirmMembers(ctx context.Context, x *promotion, l log.Interface) bool {
	began := p.Board.Time()
	m, err := p.readMembers(ctx)
	if err != nil {
		l.WithError(errors.Annotate(err, "list of servers not read")).Warn("no promotion ordered")
		return false
	}
	p.learnMembers(m)
	s := p.view()
	x.required.Servers, x.required.Absent, x.confirmedAt = len(s.Servers), s.Absent, began
	return true
}

// recordMembers records in the platform which servers may hold commits of a group that replicates
// synchronously. A host that starts after an entry has lapsed doesn't know of that server otherwise.
func (p *Promoter) recordMembers(ctx context.Context) {
	if p.synchronous() == 0 || !p.Roles.MayClaim(p.Group) {
		return
	}
	s := p.view()
	if s.Primary == nil {
		return
	}
	if slices.Equal(p.members(s), p.recorded) {
		p.recordAt = time.Time{}
		return
	}
	if p.recordAt.IsZero() {
		p.recordAt = time.Now().Add(recordDelayFactor * p.detector.Delay())
	}
	if time.Now().Before(p.recordAt) {
		return
	}
	p.recordAt = time.Now().Add(recordInterval)
	// The list is read with the record: a host whose list is older must not remove a server from the record.
	m, err := p.readMembers(ctx)
	if err != nil {
		p.Log.WithError(err).WithField("database-group", p.Group).Warn("members not read")
		return
	}
	p.learnMembers(m)
	p.updateRecord(ctx, m)
	p.listed = nil
}

// updateRecord replaces the record that was just read if this host knows better.
func (p *Promoter) updateRecord(ctx context.Context, m Members) {
	if l := p.members(p.view()); !slices.Equal(l, m.Recorded) {
		p.putMembers(ctx, l, m.Revision)
	}
}

// members returns the sorted ids of the servers that may hold commits as far as this host knows.
func (p *Promoter) members(s successor.View) []string {
	var l []string
	n := p.synchronous()
	p.Board.Do(p.Group, func(g *grouptracker.Group) {
		for _, x := range s.Servers {
			if !g.Departed(x.ID) {
				l = append(l, x.ID)
			}
		}
		l = append(l, g.AbsentServers(n, s.Now)...)
	})
	slices.Sort(l)
	return slices.Compact(l)
}

// putMembers replaces the record that has the revision.
func (p *Promoter) putMembers(ctx context.Context, ids []string, revision uint64) {
	c, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	l := p.Log.WithFields(log.Fields{"database-group": p.Group, "members": ids})
	err := p.Platform.PutMembers(c, p.Group, ids, revision)
	switch {
	case err == nil:
		p.recorded = ids
		l.Info("members recorded")
	case errors.Is(err, ErrMembersChanged): // by another host, and read again later
	default:
		l.WithError(err).Warn("members not recorded")
	}
}
