package classifier

import (
	"strconv"
	"strings"

	pg_query "github.com/pganalyze/pg_query_go/v6"
)

// CuminwickPrefix starts the names of the settings that cuminwick answers itself.
const CuminwickPrefix = "cuminwick."

// Settings of cuminwick itself.
const (
	// SettingMark is the session's signed mark.
	SettingMark = "cuminwick.mark"
	// SettingIdempotencyKey marks the next request as not repeatable.
	SettingIdempotencyKey = "cuminwick.idempotency_key"
	// SettingLastOutcome tells how the session's last request ended.
	SettingLastOutcome = "cuminwick.last_outcome"
	// SettingMaximumAge is how old data the session's reads may be.
	SettingMaximumAge = "cuminwick.maximum_age"
	// SettingTag is the tag of requests without one in their comment.
	SettingTag = "cuminwick.tag"
	// SettingServer names the backend server that the last request ran at.
	SettingServer = "cuminwick.server"
)

var ownSettings = map[string]bool{
	SettingMark:           true,
	SettingIdempotencyKey: true,
	SettingLastOutcome:    true,
	SettingMaximumAge:     true,
	SettingTag:            true,
	SettingServer:         true,
}

// Names that the grammar gives to SET TRANSACTION and its kin.
const (
	multiTransaction     = "TRANSACTION"
	multiCharacteristics = "SESSION CHARACTERISTICS"
)

func (s *Statement) addTransaction(t *pg_query.TransactionStmt) Part {
	p := Part{Chain: t.Chain, Name: t.SavepointName}
	switch t.Kind {
	case pg_query.TransactionStmtKind_TRANS_STMT_BEGIN, pg_query.TransactionStmtKind_TRANS_STMT_START:
		p.Kind = KindBegin
		p.modes(t.Options)
	case pg_query.TransactionStmtKind_TRANS_STMT_COMMIT:
		p.Kind = KindCommit
	case pg_query.TransactionStmtKind_TRANS_STMT_ROLLBACK:
		p.Kind = KindRollback
	case pg_query.TransactionStmtKind_TRANS_STMT_SAVEPOINT,
		pg_query.TransactionStmtKind_TRANS_STMT_RELEASE,
		pg_query.TransactionStmtKind_TRANS_STMT_ROLLBACK_TO:
		p.Kind = KindSavepoint
	default:
		p.Kind = KindWrite
		s.Refusal = RefusalTwoPhase
	}
	return p
}

// modes reads the transaction modes of BEGIN and SET TRANSACTION.
func (p *Part) modes(options []*pg_query.Node) {
	for _, o := range options {
		d := o.GetDefElem()
		c := d.GetArg().GetAConst()
		switch d.GetDefname() {
		case "transaction_isolation":
			p.Isolation = c.GetSval().GetSval()
		case "transaction_deferrable":
			p.Deferrable = c.GetIval().GetIval() != 0
		case "transaction_read_only":
			p.Access = AccessReadWrite
			if c.GetIval().GetIval() != 0 {
				p.Access = AccessReadOnly
			}
		}
	}
}

func (s *Statement) addSet(v *pg_query.VariableSetStmt) Part {
	p := Part{Name: strings.ToLower(v.Name), Local: v.IsLocal}
	switch v.Kind {
	case pg_query.VariableSetKind_VAR_SET_VALUE:
		p.Kind = KindSet
		p.values(v)
		if p.SQLValue == "" && !p.Local {
			s.pin(PinSetting)
		}
	case pg_query.VariableSetKind_VAR_SET_DEFAULT, pg_query.VariableSetKind_VAR_RESET:
		p.Kind = KindReset
	case pg_query.VariableSetKind_VAR_RESET_ALL:
		p.Kind = KindResetAll
	case pg_query.VariableSetKind_VAR_SET_MULTI:
		p.multi(v)
		if p.Kind == KindSetCharacteristics && p.Deferrable {
			s.pin(PinSetting)
		}
	default:
		p.Kind = KindWrite
	}
	return p
}

func (p *Part) multi(v *pg_query.VariableSetStmt) {
	switch v.Name {
	case multiTransaction:
		p.Kind = KindSetTransaction
		p.modes(v.Args)
	case multiCharacteristics:
		p.Kind = KindSetCharacteristics
		p.modes(v.Args)
	default:
		// SET TRANSACTION SNAPSHOT belongs to a snapshot of the primary.
		p.Kind = KindSetTransaction
	}
}

// values sets Value and SQLValue from the right side of a SET, neither if it
// isn't made of constants, as in SET TIME ZONE INTERVAL '1' HOUR.
func (p *Part) values(v *pg_query.VariableSetStmt) {
	var l []string
	for _, a := range v.Args {
		c := a.GetAConst()
		if c == nil {
			return
		}
		l = append(l, literal(c))
		p.Value = plain(c)
	}
	if len(l) > 1 {
		p.Value = ""
	}
	p.SQLValue = strings.Join(l, ", ")
}

func plain(c *pg_query.A_Const) string {
	switch v := c.Val.(type) {
	case *pg_query.A_Const_Ival:
		return strconv.Itoa(int(v.Ival.Ival))
	case *pg_query.A_Const_Fval:
		return v.Fval.Fval
	case *pg_query.A_Const_Boolval:
		return strconv.FormatBool(v.Boolval.Boolval)
	}
	return c.GetSval().GetSval()
}

func literal(c *pg_query.A_Const) string {
	if _, ok := c.Val.(*pg_query.A_Const_Sval); ok {
		return Quote(plain(c))
	}
	return plain(c)
}

// Quote returns v as a string constant that reads the same under either value
// of standard_conforming_strings.
func Quote(v string) string {
	q := "'" + strings.ReplaceAll(v, "'", "''") + "'"
	if !strings.Contains(v, `\`) {
		return q
	}
	return "E" + strings.ReplaceAll(q, `\`, `\\`)
}
