package classifier

import (
	"strconv"
	"strings"

	pg_query "github.com/pganalyze/pg_query_go/v6"
)

// CuminwickPrefix is the prefix of the names of cuminwick's own settings, which it answers without a
// backend server.
const CuminwickPrefix = "cuminwick."

// Settings of cuminwick itself, which callers access with SET, RESET and SHOW.
const (
	// SettingMark is the session's signed mark.
	SettingMark = "cuminwick.mark"
	// SettingIdempotencyKey is the idempotency key of the session's next write or transaction, which
	// must not be executed twice.
	SettingIdempotencyKey = "cuminwick.idempotency_key"
	// SettingLastOutcome is the outcome of the session's last request.
	SettingLastOutcome = "cuminwick.last_outcome"
	// SettingMaximumAge is the maximum age of the data that the session's reads may return.
	SettingMaximumAge = "cuminwick.maximum_age"
	// SettingTag is the tag of requests whose leading comment has none.
	SettingTag = "cuminwick.tag"
	// SettingServer is the name of the backend server that executed the last request.
	SettingServer = "cuminwick.server"
)

var cuminwickSettings = map[string]bool{
	SettingMark:           true,
	SettingIdempotencyKey: true,
	SettingLastOutcome:    true,
	SettingMaximumAge:     true,
	SettingTag:            true,
	SettingServer:         true,
}

// Names that PostgreSQL's grammar gives to SET TRANSACTION and SET SESSION CHARACTERISTICS.
const (
	multiTransaction     = "TRANSACTION"
	multiCharacteristics = "SESSION CHARACTERISTICS"
)

func (s *Statement) addTransaction(t *pg_query.TransactionStmt) Part {
	p := Part{Chain: t.Chain, Name: t.SavepointName}
	switch t.Kind {
	case pg_query.TransactionStmtKind_TRANS_STMT_BEGIN, pg_query.TransactionStmtKind_TRANS_STMT_START:
		p.Kind = KindBegin
		p.readModes(t.Options)
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

// readModes sets the transaction modes from the options of BEGIN, SET TRANSACTION or SET SESSION
// CHARACTERISTICS.
func (p *Part) readModes(options []*pg_query.Node) {
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
		p.readValues(v)
		if ChangesSyntax(p.Name, p.Value) {
			s.refuse(RefusalSyntaxSetting)
		}
		if p.SQLValue == "" && !p.Local {
			s.pin(PinSetting)
		}
	case pg_query.VariableSetKind_VAR_SET_DEFAULT, pg_query.VariableSetKind_VAR_RESET:
		p.Kind = KindReset
	case pg_query.VariableSetKind_VAR_RESET_ALL:
		p.Kind = KindResetAll
	case pg_query.VariableSetKind_VAR_SET_MULTI:
		p.readMulti(v)
		if p.Kind == KindSetCharacteristics && p.Deferrable {
			s.pin(PinSetting)
		}
	default:
		p.Kind = KindWrite
	}
	return p
}

// readMulti handles the forms of SET that set several transaction modes at once.
func (p *Part) readMulti(v *pg_query.VariableSetStmt) {
	switch v.Name {
	case multiTransaction:
		p.Kind = KindSetTransaction
		p.readModes(v.Args)
	case multiCharacteristics:
		p.Kind = KindSetCharacteristics
		p.readModes(v.Args)
	default:
		// SET TRANSACTION SNAPSHOT imports a snapshot of the primary and has no modes.
		p.Kind = KindSetTransaction
	}
}

// readValues sets Value and SQLValue from the right side of a SET. It leaves both empty if the right
// side doesn't only consist of constants, as in SET TIME ZONE INTERVAL '1' HOUR.
func (p *Part) readValues(v *pg_query.VariableSetStmt) {
	var l []string
	for _, a := range v.Args {
		c := a.GetAConst()
		if c == nil {
			return
		}
		l = append(l, constantSQL(c))
		p.Value = constantText(c)
	}
	if len(l) > 1 {
		p.Value = ""
	}
	p.SQLValue = strings.Join(l, ", ")
}

// constantText returns the value of a constant without quotes.
func constantText(c *pg_query.A_Const) string {
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

// constantSQL returns a constant as SQL, with strings quoted.
func constantSQL(c *pg_query.A_Const) string {
	if _, ok := c.Val.(*pg_query.A_Const_Sval); ok {
		return Quote(constantText(c))
	}
	return constantText(c)
}

// Quote returns v as an SQL string constant that has the same meaning under either value of
// standard_conforming_strings.
func Quote(v string) string {
	q := "'" + strings.ReplaceAll(v, "'", "''") + "'"
	if !strings.Contains(v, `\`) {
		return q
	}
	return "E" + strings.ReplaceAll(q, `\`, `\\`)
}
