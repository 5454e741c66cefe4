package adopter

import (
	"time"

	"github.com/cuminwick/cuminwick/internal/config/encoder"
	"github.com/cuminwick/cuminwick/internal/platform/accessor"
)

// MaximumSightAge is the maximum age of a relay's sight for a host to follow that relay. An older
// sight shows that the relay doesn't reach the platform either. The rest of the lease is the time to
// switch to another relay or to the platform.
const MaximumSightAge = DefaultLease / 2

// Sight is the head as one host forwards it to another.
type Sight struct {
	Version accessor.Version `cbor:"1,keyasint"`
	// Head is nil if the asking host already has Version. Its entries of the staged and the accepted
	// revision hold only number and digest, because it is sent to every host of a zone at every
	// change.
	Head *encoder.Head `cbor:"2,keyasint,omitempty"`
	// Age is the time from when the last call that showed Version was sent until the question
	// arrived, on the clock of the forwarding host; zero if the call was sent later.
	Age time.Duration `cbor:"3,keyasint"`
}

// Sight returns the sight for a host that has the head of version known, false if this host hasn't
// observed a head yet.
func (s *State) Sight(known accessor.Version, now time.Duration) (Sight, bool) {
	if !s.hasHead {
		return Sight{}, false
	}
	x := Sight{Version: s.Version, Age: now - s.headSentAt}
	if s.Version != known {
		h := s.head
		x.Head = &h
	}
	return x, true
}

// AsOfArrival returns the sight with the age as of a question that arrived d before the sight was
// taken.
//
// The asking host subtracts the age from the time when it sent the question. If the age were measured
// at the answer instead, the time for which the question was held back would count twice, and a relay
// that reaches the platform could seem not to: any event other than a new head, such as another
// host's report, makes the relay build its answer again.
func (x Sight) AsOfArrival(d time.Duration) Sight {
	x.Age = max(x.Age-d, 0)
	return x
}

// ObserveSight records a peer's sight that answered a question sent at asked.
//
// The age ends when the question arrived at the peer, and the question was sent before that. So the
// call that showed the head was sent no earlier than the age before the question. The lease therefore
// ends no later than if this host had made that call itself, however long the answer took and through
// however many hosts it was forwarded.
func (s *State) ObserveSight(x Sight, asked, now time.Duration) {
	switch {
	case x.Age < 0:
	case x.Head != nil:
		s.ObserveHead(*x.Head, x.Version, asked-x.Age, now)
	case x.Version == s.Version:
		s.ObserveHead(s.head, s.Version, asked-x.Age, now)
	}
}

// storeHead stores the head to be forwarded in sights; sent is when the call that showed it was sent.
func (s *State) storeHead(h encoder.Head, v accessor.Version, sent time.Duration) {
	h.History = h.History[:min(1, len(h.History))]
	if len(h.History) > 0 {
		h.History = []encoder.Entry{withoutDetails(h.History[0])}
	}
	if h.Staged != nil {
		e := withoutDetails(*h.Staged)
		h.Staged = &e
	}
	if !s.hasHead || v > s.Version || sent > s.headSentAt {
		s.headSentAt = sent
	}
	s.head = h
	s.hasHead = true
}

// withoutDetails returns e with only its revision and digest.
func withoutDetails(e encoder.Entry) encoder.Entry {
	return encoder.Entry{Revision: e.Revision, Digest: e.Digest}
}
