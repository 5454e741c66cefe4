package executor

import (
	"context"
	"fmt"
	"strings"

	pgquery "github.com/pganalyze/pg_query_go/v6"

	"github.com/cuminwick/cuminwick/internal/group/marker"
)

// control runs a transaction statement.
func (s *Session) control(t *pgquery.TransactionStmt) (*Result, error) {
	switch t.Kind {
	case pgquery.TransactionStmtKind_TRANS_STMT_BEGIN, pgquery.TransactionStmtKind_TRANS_STMT_START:
		return s.begin(t)
	case pgquery.TransactionStmtKind_TRANS_STMT_COMMIT:
		return s.commit()
	case pgquery.TransactionStmtKind_TRANS_STMT_ROLLBACK:
		return s.rollback()
	case pgquery.TransactionStmtKind_TRANS_STMT_SAVEPOINT:
		return s.savepoint(t.SavepointName)
	case pgquery.TransactionStmtKind_TRANS_STMT_RELEASE:
		return s.release(t.SavepointName)
	case pgquery.TransactionStmtKind_TRANS_STMT_ROLLBACK_TO:
		return s.rollbackTo(t.SavepointName)
	}
	return nil, failure(codeFeatureNotSupported, "%s is not supported by the stand-in", t.Kind)
}

func (s *Session) begin(t *pgquery.TransactionStmt) (*Result, error) {
	r := &Result{Tag: "BEGIN"}
	if t.Kind == pgquery.TransactionStmtKind_TRANS_STMT_START {
		r.Tag = "START TRANSACTION"
	}
	if s.explicit {
		r.Notice = "there is already a transaction in progress"
		return r, nil
	}
	s.ensure()
	s.explicit = true
	for _, o := range t.Options {
		d := o.GetDefElem()
		if d.GetDefname() == "transaction_read_only" {
			s.readOnly = d.Arg.GetAConst().GetIval().GetIval() != 0
		}
	}
	return r, nil
}

func (s *Session) commit() (*Result, error) {
	if !s.explicit {
		return &Result{Tag: "COMMIT", Notice: "there is no transaction in progress"}, nil
	}
	if s.failed {
		return s.rollback()
	}
	m, err := s.Commit(s.transaction)
	s.committed = m
	if err == nil {
		s.undo = nil
	}
	s.explicit = false
	s.end()
	return &Result{Tag: "COMMIT"}, err
}

func (s *Session) rollback() (*Result, error) {
	r := &Result{Tag: "ROLLBACK"}
	if !s.explicit {
		r.Notice = "there is no transaction in progress"
		return r, nil
	}
	s.restore(s.undo)
	s.committed = marker.Mark{}
	s.end()
	return r, nil
}

func (s *Session) savepoint(name string) (*Result, error) {
	if !s.explicit {
		return nil, failure(codeNoTransaction, "SAVEPOINT can only be used in transaction blocks")
	}
	s.savepoints = append(s.savepoints, savepoint{name: name, changes: s.transaction.Savepoint()})
	return &Result{Tag: "SAVEPOINT"}, nil
}

// find returns the number of the latest savepoint so named.
func (s *Session) find(name string) (int, error) {
	if !s.explicit {
		return 0, failure(codeNoTransaction, "savepoints can only be used in transaction blocks")
	}
	for i := len(s.savepoints) - 1; i >= 0; i-- {
		if s.savepoints[i].name == name {
			return i, nil
		}
	}
	return 0, failure(codeInvalidSavepoint, "savepoint %q does not exist", name)
}

func (s *Session) release(name string) (*Result, error) {
	i, err := s.find(name)
	if err != nil {
		return nil, err
	}
	s.savepoints = s.savepoints[:i]
	return &Result{Tag: "RELEASE"}, nil
}

func (s *Session) rollbackTo(name string) (*Result, error) {
	i, err := s.find(name)
	if err != nil {
		return nil, err
	}
	s.transaction.RollbackTo(s.savepoints[i].changes)
	s.savepoints = s.savepoints[:i+1]
	s.failed = false
	return &Result{Tag: "ROLLBACK"}, nil
}

// oneRow returns a result of one row.
func oneRow(c []Column, row []any, tag string) *Result {
	return &Result{Columns: c, Next: sliced([][]any{row}), Tag: tag}
}

// sliced returns rows one by one.
func sliced(rows [][]any) func(context.Context) ([]any, error) {
	i := 0
	return func(context.Context) ([]any, error) {
		if i >= len(rows) {
			return nil, nil
		}
		i++
		return rows[i-1], nil
	}
}

// NeedsSlot reports whether a statement works on data, so that it waits for a slot.
func NeedsSlot(n *pgquery.Node) bool {
	switch x := n.GetNode().(type) {
	case *pgquery.Node_TransactionStmt, *pgquery.Node_VariableSetStmt, *pgquery.Node_VariableShowStmt,
		*pgquery.Node_DiscardStmt, *pgquery.Node_PrepareStmt, *pgquery.Node_DeallocateStmt:
		return false
	case *pgquery.Node_SelectStmt:
		return !asksControl(x.SelectStmt)
	}
	return true
}

// asksControl reports whether a statement calls the control functions only.
func asksControl(q *pgquery.SelectStmt) bool {
	if len(q.FromClause) == 1 {
		_, ok := controls[rangeFunction(q.FromClause[0])]
		return ok
	}
	if len(q.FromClause) > 1 || len(q.TargetList) != 1 {
		return false
	}
	f := q.TargetList[0].GetResTarget().GetVal().GetFuncCall()
	return strings.HasPrefix(lastName(f.GetFuncname()), "cuminwick_")
}

// Copy text form: one escape table for both directions.
var copyEscapes = strings.NewReplacer("\\", `\\`, "\b", `\b`, "\f", `\f`, "\n", `\n`, "\r", `\r`, "\t", `\t`, "\v", `\v`)

// CopyLine returns a row in COPY's text form.
func CopyLine(columns []Column, row []any) []byte {
	var b strings.Builder
	for i, v := range row {
		if i > 0 {
			b.WriteByte('\t')
		}
		if v == nil {
			b.WriteString(`\N`)
			continue
		}
		fmt.Fprint(&b, copyEscapes.Replace(string(FormatText(columns[i].Type, v))))
	}
	b.WriteByte('\n')
	return []byte(b.String())
}
