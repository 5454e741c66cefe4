package matcher

import (
	"crypto/subtle"
	"encoding/binary"

	"github.com/juju/errors"
)

// ErrSessions is returned when the host holds as many sessions as keys can name.
const ErrSessions = errors.ConstError("no free session number for a cancel key")

// Generation counts the uses of one pooled connection.
type Generation uint64

// RequestID counts the requests of one session, from 1.
type RequestID uint64

// Target is where a request runs.
type Target struct {
	// BackendServer and Connection name the pooled connection, Owner the entry
	// host that owns it.
	BackendServer string
	Owner         string
	Connection    uint64
	Generation    Generation
}

// Effect is what a cancel has to do.
type Effect uint8

// Effects of a cancel.
const (
	// EffectNone is a cancel for no session of this host, or one without a request.
	EffectNone Effect = iota
	// EffectDropped is a queued request that will not run: answer its caller at
	// once and cancel its place in the queue.
	EffectDropped
	// EffectForward is a running request: send the cancel to Action.Target.
	EffectForward
)

// Action is the answer to a cancel.
type Action struct {
	Effect  Effect
	Request RequestID
	Target  Target
}

// session is the state of one session's present request.
type session struct {
	secret    uint32
	last      RequestID
	present   RequestID
	cancelled bool
	running   bool
	target    Target
}

// Matcher holds the cancel keys of one entry host's sessions. Host is set before
// use; it belongs to one goroutine or is used under a lock.
type Matcher struct {
	Host string

	sessions map[uint32]*session
	next     uint32
}

// Open gives a new session its key. Secret must be random.
func (m *Matcher) Open(secret uint32) (Key, error) {
	if m.sessions == nil {
		m.sessions = map[uint32]*session{}
	}
	if len(m.sessions) >= MaximumSessions {
		return Key{}, ErrSessions
	}
	// Numbers are given in turn, so that a key isn't reused soon.
	for {
		m.next = m.next%MaximumSessions + 1
		if m.sessions[m.next] == nil {
			break
		}
	}
	m.sessions[m.next] = &session{secret: secret}
	return keyOf(IDOf(m.Host), m.next, secret), nil
}

// Close ends a session. A cancel that comes later finds nothing.
func (m *Matcher) Close(k Key) {
	if m.find(k) != nil {
		delete(m.sessions, k.slot())
	}
}

// Begin notes that the session has a new request, queued at first.
func (m *Matcher) Begin(k Key) RequestID {
	s := m.find(k)
	if s == nil {
		return 0
	}
	s.last++
	s.present, s.cancelled, s.running, s.target = s.last, false, false, Target{}
	return s.present
}

// Start notes where request r starts to run, before its first byte is sent. It
// returns false if r was cancelled in the meantime: then nothing may be sent,
// because its caller is told that it did not run.
func (m *Matcher) Start(k Key, r RequestID, t Target) bool {
	s := m.find(k)
	if s == nil || s.present != r || s.cancelled {
		return false
	}
	s.running = true
	s.target = t
	return true
}

// End notes that request r is over.
func (m *Matcher) End(k Key, r RequestID) {
	s := m.find(k)
	if s != nil && s.present == r {
		s.present, s.running = 0, false
	}
}

// Cancel returns what a cancel with key k has to do.
func (m *Matcher) Cancel(k Key) Action {
	s := m.find(k)
	switch {
	case s == nil || s.present == 0:
		return Action{}
	case s.running:
		return Action{Effect: EffectForward, Request: s.present, Target: s.target}
	case s.cancelled:
		return Action{}
	}
	s.cancelled = true
	return Action{Effect: EffectDropped, Request: s.present}
}

func (m *Matcher) find(k Key) *session {
	s := m.sessions[k.slot()]
	if s == nil || k.Host() != IDOf(m.Host) || !equal(s.secret, k.Secret) {
		return nil
	}
	return s
}

// equal takes the same time for all secrets, so that none can be found by timing.
func equal(a, b uint32) bool {
	var x, y [4]byte
	binary.BigEndian.PutUint32(x[:], a)
	binary.BigEndian.PutUint32(y[:], b)
	return subtle.ConstantTimeCompare(x[:], y[:]) == 1
}
