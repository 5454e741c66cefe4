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

// textOID is the OID of PostgreSQL's type text.
const textOID = 25

// localAnswer is the answer to a statement that isn't sent to a backend server.
type localAnswer struct {
	// column and value are the only row. Without a column there is no row.
	column string
	value  string
	tag    string
	// act runs when the statement is executed, nil for nothing.
	act func() *failure
}

// findLocalAnswer returns the answer to a plan that doesn't need a backend server.
func (s *Session) findLocalAnswer(p *plan) (localAnswer, bool) {
	d := onlyStatement(p)
	if d == nil || len(d.statement.Parts) > 1 {
		return localAnswer{}, false
	}
	c := &d.statement
	switch {
	case c.CuminwickSetting:
		return s.answerOwnSetting(onlyPart(c)), true
	case len(p.executed) == 0:
		return localAnswer{}, false
	case dropsStatements(c) && !s.pinned && s.lease == nil:
		return s.answerDropStatements(c), true
	case s.lease != nil:
		return localAnswer{}, false
	case c.Kind == classifier.KindBegin && s.status == exchanger.Idle:
		return s.answerBegin(c.IdempotencyKey, onlyPart(c)), true
	case c.Kind == classifier.KindCommit || c.Kind == classifier.KindRollback:
		return s.answerEnd(c)
	default:
		return localAnswer{}, false
	}
}

// onlyStatement returns the statement of a plan that consists of a single one, else nil.
func onlyStatement(p *plan) *prepared {
	all := p.all()
	if len(all) == 0 || len(p.executed) > 1 {
		return nil
	}
	for _, d := range all {
		if d.statement.Kind != all[0].statement.Kind || d.statement.CuminwickSetting != all[0].statement.CuminwickSetting {
			return nil
		}
	}
	return all[0]
}

// onlyPart returns the only part of a statement.
func onlyPart(c *classifier.Statement) classifier.Part {
	if len(c.Parts) == 0 {
		return classifier.Part{Kind: c.Kind}
	}
	return c.Parts[0]
}

// dropsStatements reports whether c drops all prepared statements. Prepared statements belong to the
// session and not to a connection.
func dropsStatements(c *classifier.Statement) bool {
	p := onlyPart(c)
	return c.Kind == classifier.KindDeallocate && p.Name == "" || c.Kind == classifier.KindDiscard && strings.EqualFold(p.Name, "all")
}

func (s *Session) answerDropStatements(c *classifier.Statement) localAnswer {
	p := onlyPart(c)
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
	s.idempotencyKey = ""
	return nil
}

func (s *Session) answerOwnSetting(p classifier.Part) localAnswer {
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
		return s.idempotencyKey
	case classifier.SettingTag:
		return s.tag
	case classifier.SettingMaximumAge:
		return s.maximumAge
	case classifier.SettingServer:
		return s.choice.Server
	case classifier.SettingLastOutcome:
		if s.lastOutcome.request == 0 {
			return ""
		}
		return string(s.lastOutcome.outcome) + " " + s.requestIDOf(s.lastOutcome.request)
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
		if err := s.restoreMark(value); err != nil {
			return describe(err)
		}
		return nil
	case classifier.SettingIdempotencyKey:
		return s.setIdempotencyKey(value)
	case classifier.SettingTag:
		s.tag = value
		return nil
	case classifier.SettingMaximumAge:
		return s.setMaximumAge(value)
	default:
		return notRun(codeInvalidParameter, "setting "+name+" can't be changed", nil)
	}
}

func (s *Session) setIdempotencyKey(key string) *failure {
	if key != "" {
		if err := recorder.CheckKey(key); err != nil {
			return notRun(codeInvalidParameter, "idempotency key refused: "+err.Error(), err)
		}
	}
	s.idempotencyKey = key
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

// answerBegin stores a BEGIN until the first statement decides where the transaction runs. A caller
// that pauses after BEGIN therefore holds no connection.
func (s *Session) answerBegin(key string, p classifier.Part) localAnswer {
	b := &deferredBegin{key: key, readOnly: p.Access == classifier.AccessReadOnly, sql: beginSQL(p)}
	return localAnswer{tag: "BEGIN", act: func() *failure {
		s.deferredBegin = b
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

// answerEnd ends a transaction that hasn't begun at a backend server, or whose connection was lost.
func (s *Session) answerEnd(c *classifier.Statement) (localAnswer, bool) {
	if s.deferredBegin == nil && s.status != exchanger.Failed {
		return localAnswer{}, false
	}
	tag := "COMMIT"
	if c.Kind == classifier.KindRollback || s.status == exchanger.Failed {
		tag = "ROLLBACK"
	}
	return localAnswer{tag: tag, act: func() *failure {
		s.deferredBegin = nil
		s.status = exchanger.Idle
		return nil
	}}, true
}

// answerLocally answers each message of a plan with a.
func (s *Session) answerLocally(p *plan, a localAnswer, t byte) error {
	for i := range p.batch.Items {
		if p.batch.Items[i].Answer == batcher.Discard {
			continue
		}
		if f := s.answerItem(&p.batch, i, a); f != nil {
			return s.refuseExtended(f, t)
		}
	}
	if t != batcher.Flush {
		s.readyForQuery()
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
