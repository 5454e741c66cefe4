package server

import (
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cuminwick/cuminwick/internal/outcome/recorder"
	"github.com/cuminwick/cuminwick/internal/pool/exchanger"
	"github.com/cuminwick/cuminwick/internal/statement/classifier"
	"github.com/cuminwick/cuminwick/internal/wire/batcher"
)

// textOID is PostgreSQL's type id of text.
const textOID = 25

// localAnswer is the answer to a statement that no backend server sees.
type localAnswer struct {
	// column and value are the only row, no row without a column.
	column string
	value  string
	tag    string
	// act is done when the statement is executed.
	act func() *failure
}

// answerHere returns the answer to a plan that is answered without a backend server.
func (s *Session) answerHere(p *plan) (localAnswer, bool) {
	d := single(p)
	if d == nil || len(d.statement.Parts) > 1 {
		return localAnswer{}, false
	}
	c := &d.statement
	switch {
	case c.CuminwickSetting:
		return s.answerOwn(part(c)), true
	case len(p.parts) == 0:
		return localAnswer{}, false
	case dropsStatements(c) && !s.pinned && s.lease == nil:
		return s.answerDrop(c), true
	case s.lease != nil:
		return localAnswer{}, false
	case c.Kind == classifier.KindBegin && s.status == exchanger.Idle:
		return s.answerBegin(c.IdempotencyKey, part(c)), true
	case c.Kind == classifier.KindCommit || c.Kind == classifier.KindRollback:
		return s.answerEnd(c)
	default:
		return localAnswer{}, false
	}
}

// single returns the only statement that a plan is about.
func single(p *plan) *prepared {
	all := p.all()
	if len(all) == 0 || len(p.parts) > 1 {
		return nil
	}
	for _, d := range all {
		if d.statement.Kind != all[0].statement.Kind || d.statement.CuminwickSetting != all[0].statement.CuminwickSetting {
			return nil
		}
	}
	return all[0]
}

// part returns a statement's only part.
func part(c *classifier.Statement) classifier.Part {
	if len(c.Parts) == 0 {
		return classifier.Part{Kind: c.Kind}
	}
	return c.Parts[0]
}

// dropsStatements reports whether c drops all prepared statements, which
// belong to the session here and not to a connection.
func dropsStatements(c *classifier.Statement) bool {
	p := part(c)
	return c.Kind == classifier.KindDeallocate && p.Name == "" || c.Kind == classifier.KindDiscard && strings.EqualFold(p.Name, "all")
}

func (s *Session) answerDrop(c *classifier.Statement) localAnswer {
	p := part(c)
	if c.Kind == classifier.KindDeallocate {
		return localAnswer{tag: "DEALLOCATE ALL", act: func() *failure {
			s.replay.Apply(p)
			return nil
		}}
	}
	return localAnswer{tag: "DISCARD ALL", act: func() *failure { return s.discardAll(p) }}
}

func (s *Session) discardAll(p classifier.Part) *failure {
	if s.status != exchanger.Idle {
		return notRun(codeActiveTransaction, "DISCARD ALL cannot run inside a transaction block", nil)
	}
	s.replay.Apply(p)
	s.key = ""
	return nil
}

func (s *Session) answerOwn(p classifier.Part) localAnswer {
	n := strings.ToLower(p.Name)
	switch p.Kind {
	case classifier.KindShow:
		return localAnswer{column: n, value: s.show(n), tag: "SHOW"}
	case classifier.KindSet:
		return localAnswer{tag: "SET", act: func() *failure { return s.set(n, p.Value) }}
	default:
		return localAnswer{tag: "RESET", act: func() *failure { return s.set(n, "") }}
	}
}

func (s *Session) show(name string) string {
	switch name {
	case classifier.SettingMark:
		t, err := s.Marks.Sign(s.marks.Marks)
		if err != nil {
			return ""
		}
		return t
	case classifier.SettingIdempotencyKey:
		return s.key
	case classifier.SettingTag:
		return s.tag
	case classifier.SettingMaximumAge:
		return s.maximumAge
	case classifier.SettingServer:
		return s.choice.Server
	case classifier.SettingLastOutcome:
		if s.last.request == 0 {
			return ""
		}
		return string(s.last.outcome) + " " + s.numbered(s.last.request)
	default:
		return ""
	}
}

func (s *Session) set(name, value string) *failure {
	switch name {
	case classifier.SettingMark:
		if value == "" {
			return nil
		}
		if err := s.takeMark(value); err != nil {
			return describe(err)
		}
		return nil
	case classifier.SettingIdempotencyKey:
		return s.setKey(value)
	case classifier.SettingTag:
		s.tag = value
		return nil
	case classifier.SettingMaximumAge:
		return s.setMaximumAge(value)
	default:
		return notRun(codeInvalidParameter, "setting "+name+" can't be changed", nil)
	}
}

func (s *Session) setKey(key string) *failure {
	if key != "" {
		if err := recorder.CheckKey(key); err != nil {
			return notRun(codeInvalidParameter, "idempotency key refused: "+err.Error(), err)
		}
	}
	s.key = key
	return nil
}

func (s *Session) setMaximumAge(v string) *failure {
	if v == "" {
		s.maximumAge = ""
		return nil
	}
	if d, err := time.ParseDuration(v); err != nil || d < 0 {
		return notRun(codeInvalidParameter, "maximum age "+strconv.Quote(v)+" is no duration such as 5s", err)
	}
	s.maximumAge = v
	return nil
}

// answerBegin remembers a BEGIN until the first statement decides where the
// transaction runs; a caller that pauses after BEGIN holds no connection.
func (s *Session) answerBegin(key string, p classifier.Part) localAnswer {
	b := &beginning{key: key, readOnly: p.Access == classifier.AccessReadOnly, sql: beginSQL(p)}
	return localAnswer{tag: "BEGIN", act: func() *failure {
		s.begun = b
		s.status = exchanger.InTransaction
		return nil
	}}
}

func beginSQL(p classifier.Part) string {
	q := "BEGIN"
	if p.Isolation != "" {
		q += " ISOLATION LEVEL " + p.Isolation
	}
	switch p.Access {
	case classifier.AccessReadOnly:
		q += " READ ONLY"
	case classifier.AccessReadWrite:
		q += " READ WRITE"
	}
	if p.Deferrable {
		q += " DEFERRABLE"
	}
	return q
}

// answerEnd ends a transaction that no backend server has begun, or one that
// was lost with its connection.
func (s *Session) answerEnd(c *classifier.Statement) (localAnswer, bool) {
	if s.begun == nil && s.status != exchanger.Failed {
		return localAnswer{}, false
	}
	tag := "COMMIT"
	if c.Kind == classifier.KindRollback || s.status == exchanger.Failed {
		tag = "ROLLBACK"
	}
	return localAnswer{tag: tag, act: func() *failure {
		s.begun = nil
		s.status = exchanger.Idle
		return nil
	}}, true
}

// answerLocally answers each message of a plan.
func (s *Session) answerLocally(p *plan, a localAnswer, t byte) error {
	for i := range p.batch.Items {
		if p.batch.Items[i].Answer == batcher.Swallow {
			continue
		}
		if f := s.answerItem(&p.batch, i, a); f != nil {
			return s.refuseExtended(f, t)
		}
	}
	if t != batcher.Flush {
		s.ready()
	}
	return nil
}

func (s *Session) answerItem(b *batcher.Batch, i int, a localAnswer) *failure {
	switch b.Items[i].Type {
	case batcher.Parse:
		s.out.send(&pgproto3.ParseComplete{})
	case batcher.Bind:
		s.out.send(&pgproto3.BindComplete{})
	case batcher.Close:
		s.out.send(&pgproto3.CloseComplete{})
	case batcher.Describe:
		if b.Body(i)[0] == 'S' {
			s.out.send(&pgproto3.ParameterDescription{})
		}
		s.describeRow(a, true)
	case batcher.Query:
		return s.executeLocal(a, true)
	case batcher.Execute:
		return s.executeLocal(a, false)
	}
	return nil
}

func (s *Session) describeRow(a localAnswer, extended bool) {
	if a.column == "" {
		if extended {
			s.out.send(&pgproto3.NoData{})
		}
		return
	}
	f := pgproto3.FieldDescription{Name: []byte(a.column), DataTypeOID: textOID, DataTypeSize: -1, TypeModifier: -1}
	s.out.send(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{f}})
}

func (s *Session) executeLocal(a localAnswer, describe bool) *failure {
	if a.act != nil {
		if f := a.act(); f != nil {
			return f
		}
	}
	if describe {
		s.describeRow(a, false)
	}
	if a.column != "" {
		s.out.send(&pgproto3.DataRow{Values: [][]byte{[]byte(a.value)}})
	}
	s.out.send(&pgproto3.CommandComplete{CommandTag: []byte(a.tag)})
	return nil
}
