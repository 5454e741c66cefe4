package server

import (
	"bytes"
	"encoding/binary"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/session/replayer"
	"github.com/cuminwick/cuminwick/internal/statement/classifier"
	"github.com/cuminwick/cuminwick/internal/wire/batcher"
)

// Errors of prepared statements and malformed messages.
const (
	ErrMalformed        = errors.ConstError("malformed message")
	ErrUnknownStatement = errors.ConstError("prepared statement does not exist")
	ErrTooManyPortals   = errors.ConstError("too many portals in a transaction")
)

// maximumPortals bounds the open portals of a session.
const maximumPortals = 1000

// prepared is a statement that the caller executes or has parsed. On backend servers, whose
// connections are shared by sessions, it has a name derived from its text and parameter types, so
// that equal statements are prepared once.
type prepared struct {
	replayer.Prepared
	// statement is the classification of the text.
	statement classifier.Statement
}

// tail returns the part of the Parse message after the name: text and parameter types.
func (p *prepared) tail() []byte {
	b := make([]byte, 0, len(p.Text)+3+4*len(p.Types))
	b = append(b, p.Text...)
	b = append(b, 0)
	b = binary.BigEndian.AppendUint16(b, uint16(len(p.Types)))
	for _, t := range p.Types {
		b = binary.BigEndian.AppendUint32(b, t)
	}
	return b
}

// statements holds the prepared statements and portals of one session.
type statements struct {
	classifier *classifier.Classifier
	replay     *replayer.Session
	// portals holds the statement of each open portal, by portal name.
	portals map[string]*prepared
}

// plan is a batch that can be sent on any connection to a backend server.
type plan struct {
	batch batcher.Batch
	// executed are the statements that the batch executes.
	executed []*prepared
	// parsed are statements that the batch only parses or describes.
	parsed []*prepared
	// defined are the names that the caller's Parse messages define, in order.
	defined []string
}

// sharedNameBytes is the approximate number of bytes by which the shared names of statements
// lengthen a batch.
const sharedNameBytes = 128

// newPlan returns an empty plan with room for the messages of b.
func newPlan(b *batcher.Batch) *plan {
	p := &plan{}
	p.batch.Grow(len(b.Items)+1, b.Size()+sharedNameBytes)
	return p
}

// cutString returns the first string of a message body and the rest of the body.
func cutString(b []byte) (string, []byte, error) {
	n := bytes.IndexByte(b, 0)
	if n < 0 {
		return "", nil, ErrMalformed
	}
	return string(b[:n]), b[n+1:], nil
}

// onlyString returns the string that a message body consists of.
func onlyString(b []byte) (string, error) {
	s, rest, err := cutString(b)
	if err == nil && len(rest) > 0 {
		err = ErrMalformed
	}
	return s, err
}

// define reads a Parse message and stores its statement. It returns the caller's name for the
// statement.
func (s *statements) define(body []byte) (string, *prepared, error) {
	n, t, err := cutString(body)
	if err != nil {
		return "", nil, errors.Annotate(err, "read parse message")
	}
	q, types, err := cutString(t)
	if err != nil || len(types) < 2 || len(types) != 2+4*int(binary.BigEndian.Uint16(types)) {
		return "", nil, errors.Annotate(ErrMalformed, "read parse message")
	}
	l := make([]uint32, 0, len(types)/4)
	for b := types[2:]; len(b) > 0; b = b[4:] {
		l = append(l, binary.BigEndian.Uint32(b))
	}
	c, err := s.classifier.Classify(q)
	if err != nil {
		return "", nil, errors.Annotate(err, "classify statement")
	}
	p, err := s.replay.Parse(n, q, l)
	if err != nil {
		return "", nil, err
	}
	return n, &prepared{Prepared: p, statement: c}, nil
}

func (s *statements) find(name string) (*prepared, error) {
	p, ok := s.replay.Statement(name)
	if !ok {
		return nil, errors.Annotatef(ErrUnknownStatement, "%q", name)
	}
	c, err := s.classifier.Classify(p.Text)
	if err != nil {
		return nil, errors.Annotate(err, "classify statement")
	}
	return &prepared{Prepared: p, statement: c}, nil
}

// openPortal stores the statement from which a portal is bound.
func (s *statements) openPortal(portal string, d *prepared) error {
	if _, ok := s.portals[portal]; !ok && len(s.portals) >= maximumPortals {
		return errors.Annotatef(ErrTooManyPortals, "bind %q, limit %d", portal, maximumPortals)
	}
	if s.portals == nil {
		s.portals = make(map[string]*prepared)
	}
	s.portals[portal] = d
	return nil
}

// closePortals removes the portals, which end with their transaction. Otherwise the portals of a
// caller that binds a new name each time would accumulate.
func (s *statements) closePortals() {
	clear(s.portals)
}

// forget removes definitions that a backend server has not confirmed.
func (s *statements) forget(names []string) {
	for _, n := range names {
		s.replay.CloseStatement(n)
	}
}

// rowLimitBytes is the size of the row limit in an Execute message.
const rowLimitBytes = 4

// isBindTail reports whether b is a Bind message after the names: the parameters' formats, the
// parameters and the results' formats.
func isBindTail(b []byte) bool {
	b, ok := skipFormats(b)
	if !ok || len(b) < 2 {
		return false
	}
	n := int(binary.BigEndian.Uint16(b))
	b = b[2:]
	for range n {
		if len(b) < 4 {
			return false
		}
		l := max(0, int(int32(binary.BigEndian.Uint32(b))))
		if int32(binary.BigEndian.Uint32(b)) < -1 || l > len(b)-4 {
			return false
		}
		b = b[4+l:]
	}
	b, ok = skipFormats(b)
	return ok && len(b) == 0
}

// skipFormats returns what follows a list of format codes.
func skipFormats(b []byte) ([]byte, bool) {
	if len(b) < 2 {
		return nil, false
	}
	n := 2 + 2*int(binary.BigEndian.Uint16(b))
	if len(b) < n {
		return nil, false
	}
	return b[n:], true
}

// planner converts a caller's messages to a plan.
type planner struct {
	statements *statements
	plan       *plan
	// parsedIDs holds the statements that this batch already parses.
	parsedIDs map[replayer.StatementID]struct{}
	// unnamedParsed says that this batch already parses the unnamed statement.
	unnamedParsed bool
}

// add adds the caller's message of item i of b.
func (p *planner) add(b *batcher.Batch, i int) error {
	t := b.Items[i].Type
	switch t {
	case batcher.Parse:
		return p.parse(b.Body(i))
	case batcher.Bind:
		return p.bind(b.Body(i))
	case batcher.Describe:
		return p.describe(b.Body(i))
	case batcher.Execute:
		return p.execute(b.Raw(i), b.Body(i))
	case batcher.Close:
		return p.close(b.Raw(i), b.Body(i))
	default:
		p.plan.batch.Add(t, batcher.Pass, b.Raw(i))
		return nil
	}
}

func (p *planner) parse(body []byte) error {
	n, d, err := p.statements.define(body)
	if err != nil {
		return err
	}
	p.plan.parsed = append(p.plan.parsed, d)
	p.plan.defined = append(p.plan.defined, n)
	if n == "" {
		p.unnamedParsed = true
		p.plan.batch.AddParse(batcher.Pass, "", d.tail())
		return nil
	}
	p.ensure(d, batcher.Pass)
	return nil
}

// ensure adds a Parse of d unless the batch has one. The pool omits the message if the statement is
// already prepared on the connection.
func (p *planner) ensure(d *prepared, a batcher.Answer) {
	if _, ok := p.parsedIDs[d.ID]; ok {
		if a == batcher.Pass {
			p.plan.batch.AddParse(batcher.Inject, string(d.ID), nil)
		}
		return
	}
	if p.parsedIDs == nil {
		p.parsedIDs = make(map[replayer.StatementID]struct{})
	}
	p.parsedIDs[d.ID] = struct{}{}
	p.plan.batch.AddParse(a, string(d.ID), d.tail())
}

// resolve ensures that the named statement is prepared on the connection, and returns it with its
// name there.
func (p *planner) resolve(name string) (*prepared, string, error) {
	d, err := p.statements.find(name)
	if err != nil {
		return nil, "", err
	}
	if name != "" {
		p.ensure(d, batcher.Discard)
		return d, string(d.ID), nil
	}
	if !p.unnamedParsed {
		p.unnamedParsed = true
		p.plan.batch.AddParse(batcher.Discard, "", d.tail())
	}
	return d, "", nil
}

func (p *planner) bind(body []byte) error {
	portal, rest, err := cutString(body)
	if err != nil {
		return errors.Annotate(err, "read bind message")
	}
	name, tail, err := cutString(rest)
	if err != nil || !isBindTail(tail) {
		return errors.Annotate(ErrMalformed, "read bind message")
	}
	d, shared, err := p.resolve(name)
	if err != nil {
		return err
	}
	if err := p.statements.openPortal(portal, d); err != nil {
		return err
	}
	p.plan.batch.AddBody(batcher.Bind, batcher.Pass, []byte(portal), []byte{0}, []byte(shared), []byte{0}, tail)
	return nil
}

func (p *planner) describe(body []byte) error {
	if len(body) < 2 {
		return errors.Annotate(ErrMalformed, "read describe message")
	}
	name, err := onlyString(body[1:])
	if err != nil {
		return errors.Annotate(err, "read describe message")
	}
	if body[0] != 'P' && body[0] != 'S' {
		return errors.Annotatef(ErrMalformed, "describe %q", body[0])
	}
	if body[0] == 'P' {
		p.plan.batch.AddBody(batcher.Describe, batcher.Pass, body)
		return nil
	}
	d, shared, err := p.resolve(name)
	if err != nil {
		return err
	}
	p.plan.parsed = append(p.plan.parsed, d)
	p.plan.batch.AddBody(batcher.Describe, batcher.Pass, body[:1], []byte(shared), []byte{0})
	return nil
}

func (p *planner) execute(raw, body []byte) error {
	portal, limit, err := cutString(body)
	if err != nil || len(limit) != rowLimitBytes {
		return errors.Annotate(ErrMalformed, "read execute message")
	}
	if d := p.statements.portals[portal]; d != nil {
		p.plan.executed = append(p.plan.executed, d)
	}
	p.plan.batch.Add(batcher.Execute, batcher.Pass, raw)
	return nil
}

// close answers the Close of a statement without the backend server, where the statement stays
// prepared for other sessions.
func (p *planner) close(raw, body []byte) error {
	if len(body) < 2 {
		return errors.Annotate(ErrMalformed, "read close message")
	}
	name, err := onlyString(body[1:])
	if err != nil {
		return errors.Annotate(err, "read close message")
	}
	if body[0] != 'P' && body[0] != 'S' {
		return errors.Annotatef(ErrMalformed, "close %q", body[0])
	}
	if body[0] == 'P' {
		delete(p.statements.portals, name)
		p.plan.batch.Add(batcher.Close, batcher.Pass, raw)
		return nil
	}
	p.statements.replay.CloseStatement(name)
	p.plan.batch.AddBody(batcher.Close, batcher.Inject)
	return nil
}
