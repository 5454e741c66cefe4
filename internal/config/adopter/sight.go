package adopter

import (
	"time"

	"github.com/cuminwick/cuminwick/internal/config/encoder"
	"github.com/cuminwick/cuminwick/internal/platform/accessor"
)

// MaximumSightAge is how old a relay's sight may be to follow that relay. An
// older one shows that the relay doesn't reach the platform either; what remains
// of the lease is the time to turn to another relay or to the platform.
const MaximumSightAge = DefaultLease / 2

// Sight is the head as one host passes it on to another.
type Sight struct {
	Version accessor.Version `cbor:"1,keyasint"`
	// Head is nil where the asking host has seen Version already. Of the staged and
	// the accepted revision it holds number and digest alone, as each of a zone's
	// hosts gets it at each change.
	Head *encoder.Head `cbor:"2,keyasint,omitempty"`
	// Age is how long before the question arrived, by the clock of the host that passes
	// it on, the call was sent that showed Version last; zero if it was sent later.
	Age time.Duration `cbor:"3,keyasint"`
}

// Sight returns what a host that has seen known is to be told, false before
// this host has seen anything.
func (s *State) Sight(known accessor.Version, now time.Duration) (Sight, bool) {
	if !s.hasSeen {
		return Sight{}, false
	}
	x := Sight{Version: s.Version, Age: now - s.seen}
	if s.Version != known {
		h := s.head
		x.Head = &h
	}
	return x, true
}

// AsOfArrival returns the sight for a question that arrived at d before the sight was taken.
//
// The asking host counts the age back from when it asked. Were it measured at the
// answer instead, the time that the question was held back would count twice, and a
// relay that reaches the platform would seem not to: any news that isn't a new
// sight, such as another host's report, has the relay make its answer anew.
func (x Sight) AsOfArrival(d time.Duration) Sight {
	x.Age = max(x.Age-d, 0)
	return x
}

// ObserveSight takes in a peer's sight that answered a question sent at asked.
//
// The question was sent before it arrived at the peer, up to where the age counts,
// so the call that showed the head was sent no earlier than the age before the question. The
// lease therefore ends no later than if this host had made that call itself,
// however long the answer took and however many hosts it came through.
func (s *State) ObserveSight(x Sight, asked, now time.Duration) {
	switch {
	case x.Age < 0:
	case x.Head != nil:
		s.ObserveHead(*x.Head, x.Version, asked-x.Age, now)
	case x.Version == s.Version:
		s.ObserveHead(s.head, s.Version, asked-x.Age, now)
	}
}

// keep notes the head to pass on; sent is when the call was sent that showed it.
func (s *State) keep(h encoder.Head, v accessor.Version, sent time.Duration) {
	h.History = h.History[:min(1, len(h.History))]
	if len(h.History) > 0 {
		h.History = []encoder.Entry{brief(h.History[0])}
	}
	if h.Staged != nil {
		e := brief(*h.Staged)
		h.Staged = &e
	}
	if !s.hasSeen || v > s.Version || sent > s.seen {
		s.seen = sent
	}
	s.head = h
	s.hasSeen = true
}

func brief(e encoder.Entry) encoder.Entry {
	return encoder.Entry{Revision: e.Revision, Digest: e.Digest}
}
