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

// maximumPortals bounds the portals that a caller has open at a time.
const maximumPortals = 1000

// prepared is a statement that the caller executes or has parsed under a name
// of its own. At backend servers, where sessions share connections, it has a
// name made from its text and types, so that equal statements are prepared once.
type prepared struct {
	replayer.Prepared
	// statement is the classification of the text.
	statement classifier.Statement
}

// tail returns the Parse message after the name: text and parameter types.
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

// statements are the prepared statements and portals of one session.
type statements struct {
	classifier *classifier.Classifier
	replay     *replayer.Session
	// portals tells from which statement a portal was bound.
	portals map[string]*prepared
}

// plan is a batch that is ready for any backend server's connection.
type plan struct {
	batch batcher.Batch
	// parts are the statements that the batch executes.
	parts []*prepared
	// parsed are statements that the batch only parses or describes.
	parsed []*prepared
	// defined are the names that the caller's Parse messages define, in order.
	defined []string
}

// namesBytes is about what shared names of statements add to the messages.
const namesBytes = 128

// newPlan returns an empty plan with room for what comes of b.
func newPlan(b *batcher.Batch) *plan {
	p := &plan{}
	p.batch.Grow(len(b.Items)+1, b.Bytes()+namesBytes)
	return p
}

// split separates the first string of a message body from the rest.
func split(b []byte) (string, []byte, error) {
	n := bytes.IndexByte(b, 0)
	if n < 0 {
		return "", nil, ErrMalformed
	}
	return string(b[:n]), b[n+1:], nil
}

// define reads a Parse message and keeps its statement.
func (s *statements) define(body []byte) (string, *prepared, error) {
	n, t, err := split(body)
	if err != nil {
		return "", nil, errors.Annotate(err, "read parse message")
	}
	q, types, err := split(t)
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

// open notes the portal that is bound from d.
func (s *statements) open(portal string, d *prepared) error {
	if _, ok := s.portals[portal]; !ok && len(s.portals) >= maximumPortals {
		return errors.Annotatef(ErrTooManyPortals, "bind %q, limit %d", portal, maximumPortals)
	}
	if s.portals == nil {
		s.portals = make(map[string]*prepared)
	}
	s.portals[portal] = d
	return nil
}

// endPortals forgets the portals, which end with their transaction. Without
// this, a caller that binds a new name each time would have the host remember
// them all.
func (s *statements) endPortals() {
	clear(s.portals)
}

// forget takes back definitions that a backend server has not confirmed.
func (s *statements) forget(names []string) {
	for _, n := range names {
		s.replay.CloseStatement(n)
	}
}

// planner turns a caller's messages into a plan.
type planner struct {
	statements *statements
	plan       *plan
	// ensured holds the shared names that this batch has parsed already.
	ensured map[replayer.StatementID]struct{}
	// unnamedParsed says that the unnamed statement was parsed in this batch.
	unnamedParsed bool
}

// add takes the caller's message of item i of b.
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

// ensure parses d in this batch once; the pool leaves the message out where
// the connection already knows the statement.
func (p *planner) ensure(d *prepared, a batcher.Answer) {
	if _, ok := p.ensured[d.ID]; ok {
		if a == batcher.Pass {
			p.plan.batch.AddParse(batcher.Inject, string(d.ID), nil)
		}
		return
	}
	if p.ensured == nil {
		p.ensured = make(map[replayer.StatementID]struct{})
	}
	p.ensured[d.ID] = struct{}{}
	p.plan.batch.AddParse(a, string(d.ID), d.tail())
}

// refer makes sure that the statement so named is known at the connection and
// returns the name it has there.
func (p *planner) refer(name string) (*prepared, string, error) {
	d, err := p.statements.find(name)
	if err != nil {
		return nil, "", err
	}
	if name != "" {
		p.ensure(d, batcher.Swallow)
		return d, string(d.ID), nil
	}
	if !p.unnamedParsed {
		p.unnamedParsed = true
		p.plan.batch.AddParse(batcher.Swallow, "", d.tail())
	}
	return d, "", nil
}

func (p *planner) bind(body []byte) error {
	portal, rest, err := split(body)
	if err != nil {
		return errors.Annotate(err, "read bind message")
	}
	name, tail, err := split(rest)
	if err != nil {
		return errors.Annotate(err, "read bind message")
	}
	d, shared, err := p.refer(name)
	if err != nil {
		return err
	}
	if err := p.statements.open(portal, d); err != nil {
		return err
	}
	p.plan.batch.AddBody(batcher.Bind, batcher.Pass, []byte(portal), []byte{0}, []byte(shared), []byte{0}, tail)
	return nil
}

func (p *planner) describe(body []byte) error {
	if len(body) < 2 {
		return errors.Annotate(ErrMalformed, "read describe message")
	}
	name, _, err := split(body[1:])
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
	d, shared, err := p.refer(name)
	if err != nil {
		return err
	}
	p.plan.parsed = append(p.plan.parsed, d)
	p.plan.batch.AddBody(batcher.Describe, batcher.Pass, body[:1], []byte(shared), []byte{0})
	return nil
}

func (p *planner) execute(raw, body []byte) error {
	portal, _, err := split(body)
	if err != nil {
		return errors.Annotate(err, "read execute message")
	}
	if d := p.statements.portals[portal]; d != nil {
		p.plan.parts = append(p.plan.parts, d)
	}
	p.plan.batch.Add(batcher.Execute, batcher.Pass, raw)
	return nil
}

// close answers the close of a statement itself: at backend servers the
// statement stays prepared for other sessions.
func (p *planner) close(raw, body []byte) error {
	if len(body) < 2 {
		return errors.Annotate(ErrMalformed, "read close message")
	}
	name, _, err := split(body[1:])
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
