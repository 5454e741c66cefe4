package runner

import (
	"net"
	"time"

	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/proxy/connpooler"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
	"github.com/cuminwick/cuminwick/internal/proxy/grouptracker"
	"github.com/cuminwick/cuminwick/internal/proxy/lender"
	"github.com/cuminwick/cuminwick/internal/proxy/successor"
)

// lend serves another host that borrows this host's connections to a server, until the link ends.
func (h *Host) lend(c net.Conn, server string) {
	l := &lender.Link{
		Borrower:     h.NewBorrower(c),
		ActiveLeases: &h.activeLeases,
		Pool:         func() *connpooler.Pool { return h.pools.ownPool(server) },
		OnAnswer: func() {
			s, ok := h.pools.find(server)
			if ok {
				h.Board.Do(s.Group, func(g *grouptracker.Group) { g.RecordAnswer(server, h.Board.Time(), 0, marker.Mark{}) })
			}
		},
	}
	l.Run()
}

// aliveWindow is how long a server counts as alive after its last answer.
const aliveWindow = 500 * time.Millisecond

// alive reports whether the server has answered this host within aliveWindow.
func (h *Host) alive(s declarer.Server) bool { return h.answeredWithin(s, aliveWindow) }

// answered reports whether the server has answered this host within successor.DownAfter, the time
// after which another host that has received no answer may replace it.
func (h *Host) answered(s declarer.Server) bool { return h.answeredWithin(s, successor.DownAfter) }

func (h *Host) answeredWithin(s declarer.Server, d time.Duration) bool {
	alive := false
	h.Board.Do(s.Group, func(g *grouptracker.Group) {
		x := g.Find(s.ID)
		alive = x != nil && x.AnsweredAt != 0 && h.Board.Time()-x.AnsweredAt < d
	})
	return alive
}
