package informer

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cuminwick/cuminwick/internal/backend/controller"
	"github.com/cuminwick/cuminwick/internal/config/declarer"
	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/group/observer"
	"github.com/cuminwick/cuminwick/internal/peer/encoder"
)

const (
	// KindQuestion asks a serving host about a database group.
	KindQuestion encoder.Kind = "follow"
	// KindHandOver has a serving host move a group's primary.
	KindHandOver encoder.Kind = "hand-over"
)

// MaximumAsks bounds the asks of one question.
const MaximumAsks = 256

// AskKind says what is asked.
type AskKind uint8

// Kinds of ask.
const (
	// AskReadIndex asks for a read index.
	AskReadIndex AskKind = iota + 1
	// AskAcknowledged and AskCommit wait as WaitAcknowledged and WaitCommit do.
	AskAcknowledged
	AskCommit
	// AskCovered waits until the server covers the mark.
	AskCovered
	// AskPrimary waits for a confirmed primary.
	AskPrimary
	// AskPollNow has all servers polled anew.
	AskPollNow
)

// Ask is one thing to wait for. Asking again changes nothing.
type Ask struct {
	Kind   AskKind     `cbor:"1,keyasint"`
	Mark   marker.Mark `cbor:"2,keyasint,omitzero"`
	Server string      `cbor:"3,keyasint,omitempty"`
}

// State is what has become of an ask.
type State uint8

// States of an ask.
const (
	// StatePending: nothing yet, ask again.
	StatePending State = iota
	// StateDone: it is met.
	StateDone
	// StateSuperseded and StateUndetermined are the driver's errors.
	StateSuperseded
	StateUndetermined
)

// Result answers an ask.
type Result struct {
	State State `cbor:"1,keyasint"`
	// Index is the read index.
	Index marker.Mark `cbor:"2,keyasint,omitzero"`
}

// Question asks about a group. Without asks it waits for a change of the view.
type Question struct {
	DatabaseGroup string `cbor:"1,keyasint"`
	// ServersDigest is the Digest of the group at the asker. A host that counts other
	// servers would take another number for a majority.
	ServersDigest uint64 `cbor:"2,keyasint"`
	Asks          []Ask  `cbor:"3,keyasint,omitempty"`
	// SeenVersion is the version of the view that the asker has, zero for none.
	SeenVersion uint64 `cbor:"4,keyasint,omitempty"`
	// Hold is how long the answer may be kept back.
	Hold time.Duration `cbor:"5,keyasint,omitempty"`
}

// Answer tells what the host sees now.
type Answer struct {
	// Serving is false if the host has no driver for just these servers.
	Serving bool `cbor:"1,keyasint"`
	// Version numbers View.
	Version uint64 `cbor:"2,keyasint,omitempty"`
	// HandingOver says that the host is about to move the primary.
	HandingOver bool     `cbor:"3,keyasint,omitempty"`
	View        *View    `cbor:"4,keyasint,omitempty"`
	Results     []Result `cbor:"5,keyasint,omitempty"`
	// Positions stand in for View where the asker has this version of it. They
	// spare most of the bytes of an answer.
	Positions []Position `cbor:"6,keyasint,omitempty"`
}

// Position is what goes on changing of a Server.
type Position struct {
	_    struct{} `cbor:",toarray"`
	Term marker.Term
	Last marker.Position
	At   time.Duration
}

// View is an observer.View. Its times count from the moment at which the host got
// the question, so that no clocks are compared: those before it are negative.
type View struct {
	Primary         string            `cbor:"1,keyasint,omitempty"`
	Term            marker.Term       `cbor:"2,keyasint"`
	HighestTerm     marker.Term       `cbor:"3,keyasint"`
	Obstacle        observer.Obstacle `cbor:"4,keyasint,omitempty"`
	Reason          observer.Reason   `cbor:"5,keyasint,omitempty"`
	LeavingSince    time.Duration     `cbor:"6,keyasint,omitempty"`
	NoMajoritySince time.Duration     `cbor:"7,keyasint,omitempty"`
	Servers         []Server          `cbor:"8,keyasint"`
}

// Server is one backend server of a View.
type Server struct {
	Status    controller.Status `cbor:"1,keyasint"`
	Answered  bool              `cbor:"2,keyasint,omitempty"`
	PolledAt  time.Duration     `cbor:"3,keyasint,omitempty"`
	RoundTrip time.Duration     `cbor:"4,keyasint,omitempty"`
	Failures  int               `cbor:"5,keyasint,omitempty"`
	Refused   bool              `cbor:"6,keyasint,omitempty"`
	Fresh     bool              `cbor:"7,keyasint,omitempty"`
}

// HandOver asks to move the primary off a server.
type HandOver struct {
	DatabaseGroup string `cbor:"1,keyasint"`
	ServersDigest uint64 `cbor:"2,keyasint"`
	From          string `cbor:"3,keyasint"`
}

// HandedOver answers a HandOver.
type HandedOver struct {
	Serving bool `cbor:"1,keyasint"`
	// Failure says why the primary was not moved, empty if it was.
	Failure string `cbor:"2,keyasint,omitempty"`
}

// DigestServers stands for the servers of a group.
func DigestServers(g declarer.DatabaseGroup) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, b := range g.BackendServers {
		_, _ = d.WriteString(b.Name)
		_, _ = d.WriteString("\x00" + b.Address + "\x00")
	}
	return d.Sum64()
}

// Pack makes the message of v; arrival is when the question came.
func Pack(v *observer.View, arrival time.Duration) View {
	m := View{
		Primary:         v.Primary,
		Term:            v.Term,
		HighestTerm:     v.HighestTerm,
		Obstacle:        v.Obstacle,
		Reason:          v.Reason,
		LeavingSince:    v.LeavingSince - arrival,
		NoMajoritySince: v.NoMajoritySince - arrival,
	}
	for _, s := range v.Servers {
		o := Server{Status: s.Status, Answered: s.Answered, PolledAt: s.PolledAt - arrival, RoundTrip: s.RoundTrip, Failures: s.Failures, Refused: s.Refused, Fresh: s.Fresh}
		o.Status.BackendServer = s.Name
		m.Servers = append(m.Servers, o)
	}
	return m
}

// PackPositions makes the message of what goes on changing in v.
func PackPositions(v *observer.View, arrival time.Duration) []Position {
	l := make([]Position, len(v.Servers))
	for i, s := range v.Servers {
		l[i] = Position{Term: s.Status.Last.Term, Last: s.Status.Last.Position, At: s.PolledAt - arrival}
	}
	return l
}

// UnpackPositions makes the view out of the one before it of the same version.
func UnpackPositions(l []Position, o *observer.View, sent, now time.Duration) *observer.View {
	v := *o
	v.At = now
	v.Servers = append([]observer.Server(nil), o.Servers...)
	for i := range v.Servers[:min(len(l), len(v.Servers))] {
		s := &v.Servers[i]
		// Answers may overtake each other. A position of one term taken for one of
		// another would have a write acknowledged that nobody holds.
		if at := l[i].At + sent; s.Answered && at > s.PolledAt && l[i].Term == s.Status.Last.Term {
			s.PolledAt, s.Status.Last.Position = at, l[i].Last
		}
	}
	return &v
}

// Unpack makes the view of the named servers on the asker's clock; sent is when
// the question went out and now the present time. The question came after it was
// sent, so a time comes out too early rather than too late: nothing counts as
// fresher than it is.
func (m *View) Unpack(names []string, sent, now time.Duration) *observer.View {
	v := &observer.View{
		At:              now,
		Primary:         m.Primary,
		Term:            m.Term,
		HighestTerm:     m.HighestTerm,
		Obstacle:        m.Obstacle,
		Confirmed:       m.Obstacle == observer.ObstacleNone,
		Reason:          m.Reason,
		LeavingSince:    m.LeavingSince + sent,
		NoMajoritySince: m.NoMajoritySince + sent,
		Servers:         make([]observer.Server, len(names)),
	}
	for i, n := range names {
		v.Servers[i] = m.server(n, sent)
		if v.Servers[i].Fresh {
			v.Reachable++
		}
		if n == v.Primary {
			v.Leaving = v.Servers[i].Status.Leaving
		}
	}
	return v
}

func (m *View) server(name string, sent time.Duration) observer.Server {
	for i := range m.Servers {
		s := &m.Servers[i]
		if s.Status.BackendServer != name {
			continue
		}
		o := observer.Observation{Status: s.Status, Answered: s.Answered, RoundTrip: s.RoundTrip, Failures: s.Failures, Refused: s.Refused}
		if s.Answered {
			o.PolledAt = s.PolledAt + sent
		}
		return observer.Server{Name: name, Observation: o, Fresh: s.Fresh}
	}
	return observer.Server{Name: name}
}
