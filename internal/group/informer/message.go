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
	// KindQuestion is the kind of a Question to a serving host.
	KindQuestion encoder.Kind = "follow"
	// KindHandOver is the kind of a HandOver.
	KindHandOver encoder.Kind = "hand-over"
)

// MaximumAsks bounds the asks of one question.
const MaximumAsks = 256

// AskKind says what an ask waits for.
type AskKind uint8

// Kinds of ask.
const (
	// AskReadIndex requests a read index.
	AskReadIndex AskKind = iota + 1
	// AskAcknowledged and AskCommit wait as WaitAcknowledged and WaitCommit of driver.Driver do.
	AskAcknowledged
	AskCommit
	// AskCovered waits until the log of Server covers Mark.
	AskCovered
	// AskPrimary waits for a confirmed primary.
	AskPrimary
	// AskPollNow has all servers polled and waits until each has answered or failed.
	AskPollNow
)

// Ask is one condition to wait for or value to determine. Repeating an ask has no effect on the
// group.
type Ask struct {
	Kind   AskKind     `cbor:"1,keyasint"`
	Mark   marker.Mark `cbor:"2,keyasint,omitzero"`
	Server string      `cbor:"3,keyasint,omitempty"`
}

// State is the state of an ask.
type State uint8

// States of an ask.
const (
	// StatePending: there is no result yet; the ask has to be repeated.
	StatePending State = iota
	// StateDone: the condition holds or the value was determined.
	StateDone
	// StateSuperseded and StateUndetermined stand for driver.ErrSuperseded and
	// driver.ErrUndetermined.
	StateSuperseded
	StateUndetermined
)

// Result is the answer to an ask.
type Result struct {
	State State `cbor:"1,keyasint"`
	// Index is the read index that AskReadIndex requested.
	Index marker.Mark `cbor:"2,keyasint,omitzero"`
}

// Question requests the view of a group. With asks its answer is delayed until they have results,
// without asks until the version of the view differs from SeenVersion.
type Question struct {
	DatabaseGroup string `cbor:"1,keyasint"`
	// ServersDigest is the result of DigestServers at the host that asks. A host with other
	// servers configured might require another majority, so it answers with Serving false.
	ServersDigest uint64 `cbor:"2,keyasint"`
	Asks          []Ask  `cbor:"3,keyasint,omitempty"`
	// SeenVersion is the version of the view that the host that asks holds, zero for none.
	SeenVersion uint64 `cbor:"4,keyasint,omitempty"`
	// Hold is how long the answer may be delayed.
	Hold time.Duration `cbor:"5,keyasint,omitempty"`
}

// Answer holds the present view of the host and the results of the asks.
type Answer struct {
	// Serving says that the host runs a driver for exactly these servers.
	Serving bool `cbor:"1,keyasint"`
	// Version is the version of the view, see driver.Driver.Snapshot.
	Version uint64 `cbor:"2,keyasint,omitempty"`
	// HandingOver says that the host is about to move the primary.
	HandingOver bool `cbor:"3,keyasint,omitempty"`
	// View is nil if Positions replace it.
	View *View `cbor:"4,keyasint,omitempty"`
	// Results are in the order of the asks.
	Results []Result `cbor:"5,keyasint,omitempty"`
	// Positions replace View if the host that asks already holds this version of it. They take
	// a small part of its bytes.
	Positions []Position `cbor:"6,keyasint,omitempty"`
}

// Position holds what changes of a Server without a new version of the view.
type Position struct {
	_ struct{} `cbor:",toarray"`
	// Term and Last are the last entry of the server's log.
	Term marker.Term
	Last marker.Position
	// At is PolledAt of the Server.
	At time.Duration
}

// View is an observer.View as a message. Its times are relative to the moment at which the host
// received the question, so that clocks of two hosts aren't compared; earlier times are negative.
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

// Server is one backend server of a View. The fields are those of observer.Server.
type Server struct {
	Status    controller.Status `cbor:"1,keyasint"`
	Answered  bool              `cbor:"2,keyasint,omitempty"`
	PolledAt  time.Duration     `cbor:"3,keyasint,omitempty"`
	RoundTrip time.Duration     `cbor:"4,keyasint,omitempty"`
	Failures  int               `cbor:"5,keyasint,omitempty"`
	Refused   bool              `cbor:"6,keyasint,omitempty"`
	Fresh     bool              `cbor:"7,keyasint,omitempty"`
}

// HandOver requests that a serving host move the primary off the server From.
type HandOver struct {
	DatabaseGroup string `cbor:"1,keyasint"`
	// ServersDigest is as in Question.
	ServersDigest uint64 `cbor:"2,keyasint"`
	From          string `cbor:"3,keyasint"`
}

// HandedOver is the answer to a HandOver.
type HandedOver struct {
	// Serving is as in Answer.
	Serving bool `cbor:"1,keyasint"`
	// Failure says why the primary was not moved, empty if it was.
	Failure string `cbor:"2,keyasint,omitempty"`
}

// DigestServers returns a hash of the names and addresses of the group's servers, in their order.
func DigestServers(g declarer.DatabaseGroup) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, b := range g.BackendServers {
		_, _ = d.WriteString(b.Name)
		_, _ = d.WriteString("\x00" + b.Address + "\x00")
	}
	return d.Sum64()
}

// Pack converts v to a message; arrival is when the question was received.
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

// PackPositions returns the positions of the servers of v; arrival is as for Pack.
func PackPositions(v *observer.View, arrival time.Duration) []Position {
	l := make([]Position, len(v.Servers))
	for i, s := range v.Servers {
		l[i] = Position{Term: s.Status.Last.Term, Last: s.Status.Last.Position, At: s.PolledAt - arrival}
	}
	return l
}

// UnpackPositions returns a copy of the view o, of the same version, with the positions l. The
// times sent and now are as for View.Unpack.
func UnpackPositions(l []Position, o *observer.View, sent, now time.Duration) *observer.View {
	v := *o
	v.At = now
	v.Servers = append([]observer.Server(nil), o.Servers...)
	for i := range v.Servers[:min(len(l), len(v.Servers))] {
		s := &v.Servers[i]
		// Answers may arrive out of order. If a position of one term were taken for one of
		// another, a write could be acknowledged that no server holds.
		if at := l[i].At + sent; s.Answered && at > s.PolledAt && l[i].Term == s.Status.Last.Term {
			s.PolledAt, s.Status.Last.Position = at, l[i].Last
		}
	}
	return &v
}

// Unpack converts the message to a view of the named servers on the clock of the host that
// asked; sent is when the question was sent and now the present time. The question was received
// after it was sent, so the resulting times may be too early but never too late: no status
// counts as fresher than it is.
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
