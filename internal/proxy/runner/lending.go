package runner

import (
	"net"
	"time"

	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/proxy/connpooler"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
	"github.com/cuminwick/cuminwick/internal/proxy/grouptracker"
	"github.com/cuminwick/cuminwick/internal/proxy/lender"
)

// lend serves another host that borrows this host's connections to a server, until the link ends.
func (h *Host) lend(c net.Conn, server string) {
	l := &lender.Link{
		Borrower: h.NewBorrower(c),
		Work:     &h.work,
		Position: func(maximum time.Duration) (marker.Mark, time.Duration, bool) {
			return h.sharePosition(server, maximum)
		},
		Pool: func(byCustomer bool) *connpooler.Pool { return h.pools.ownPool(server, byCustomer) },

		Ranked:                 h.Board.Ranked,
		IdleTransactionTimeout: h.Board.IdleTransactionTimeout,
		OnAnswer: func() {
			s, ok := h.pools.find(server)
			if ok {
				h.Board.Do(s.Group, func(g *grouptracker.Group) { g.RecordAnswer(server, h.Board.Time(), 0, marker.Mark{}) })
			}
		},
	}
	l.Run()
}

const (
	// sharedObservationDivisor sets after which part of the age that a borrower allows the primary is
	// asked again for its position, one in this many, so that earlier positions are at hand.
	sharedObservationDivisor = 4
	// shareTimeout bounds the wait for a position if none is at hand.
	shareTimeout = 300 * time.Millisecond
)

// sharePosition returns for another host the earliest known position that the server had as its group's
// primary within maximum, and how long ago it had it. The age is a lower bound on this host's clock
// only, so that the other host can subtract it from the time of its question.
func (h *Host) sharePosition(server string, maximum time.Duration) (m marker.Mark, age time.Duration, ok bool) {
	s, listed := h.pools.find(server)
	if o, owned := h.pools.owner(s); !listed || owned && o.Name != h.Name {
		return marker.Mark{}, 0, false // this host would ask another one in turn
	}
	m, age, ok = h.earliestPosition(s, maximum)
	if latest, known := h.latestPositionAge(s.Group); !known || latest > maximum/sharedObservationDivisor {
		h.observer.Observe(s.Group, maximum, !ok, time.Now().Add(shareTimeout))
	}
	if !ok {
		return h.earliestPosition(s, maximum)
	}
	return m, age, ok
}

// earliestPosition returns the earliest position that the server had as the primary within maximum,
// and its age. There is none while the server isn't the primary.
func (h *Host) earliestPosition(s declarer.Server, maximum time.Duration) (m marker.Mark, age time.Duration, ok bool) {
	h.Board.Do(s.Group, func(g *grouptracker.Group) {
		now := h.Board.Time()
		p := g.Primary()
		o, found := g.EarliestPosition(now - maximum)
		if found && p != nil && p.ID == s.ID {
			m, age, ok = g.ToNewestTerm(o.Mark), now-o.PolledAt, true
		}
	})
	return m, age, ok
}

// latestPositionAge returns the age of the latest confirmed position of the group's primary.
func (h *Host) latestPositionAge(group string) (age time.Duration, known bool) {
	h.Board.Do(group, func(g *grouptracker.Group) {
		o, ok := g.LatestConfirmation()
		age, known = h.Board.Time()-o.PolledAt, ok
	})
	return age, known
}

// answeredWithin reports whether the server has answered this host within d.
func (h *Host) answeredWithin(s declarer.Server, d time.Duration) bool {
	alive := false
	h.Board.Do(s.Group, func(g *grouptracker.Group) {
		x := g.Find(s.ID)
		alive = x != nil && x.AnsweredAt != 0 && h.Board.Time()-x.AnsweredAt < d
	})
	return alive
}
