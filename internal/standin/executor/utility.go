package executor

import (
	"context"
	"fmt"
	"strings"

	pgquery "github.com/pganalyze/pg_query_go/v6"

	"github.com/cuminwick/cuminwick/internal/group/marker"
)

// runTransactionStatement runs a transaction statement.
func (s *Session) runTransactionStatement(t *pgquery.TransactionStmt) (*Result, error) {
	switch t.Kind {
	case pgquery.TransactionStmtKind_TRANS_STMT_BEGIN, pgquery.TransactionStmtKind_TRANS_STMT_START:
		return s.begin(t)
	case pgquery.TransactionStmtKind_TRANS_STMT_COMMIT:
		return s.commit()
	case pgquery.TransactionStmtKind_TRANS_STMT_ROLLBACK:
		return s.rollback()
	case pgquery.TransactionStmtKind_TRANS_STMT_SAVEPOINT:
		return s.createSavepoint(t.SavepointName)
	case pgquery.TransactionStmtKind_TRANS_STMT_RELEASE:
		return s.releaseSavepoint(t.SavepointName)
	case pgquery.TransactionStmtKind_TRANS_STMT_ROLLBACK_TO:
		return s.rollbackToSavepoint(t.SavepointName)
	}
	return nil, pgError(codeFeatureNotSupported, "%s is not supported by the stand-in", t.Kind)
}

func (s *Session) begin(t *pgquery.TransactionStmt) (*Result, error) {
	r := &Result{Tag: "BEGIN"}
	if t.Kind == pgquery.TransactionStmtKind_TRANS_STMT_START {
		r.Tag = "START TRANSACTION"
	}
	if s.inTransactionBlock {
		r.Notice = "there is already a transaction in progress"
		return r, nil
	}
	s.ensureTransaction()
	s.inTransactionBlock = true
	for _, o := range t.Options {
		d := o.GetDefElem()
		if d.GetDefname() == "transaction_read_only" {
			s.readOnly = d.Arg.GetAConst().GetIval().GetIval() != 0
		}
	}
	return r, nil
}

// commit runs COMMIT, which rolls a failed transaction block back.
func (s *Session) commit() (*Result, error) {
	if !s.inTransactionBlock {
		return &Result{Tag: "COMMIT", Notice: "there is no transaction in progress"}, nil
	}
	if s.failed {
		return s.rollback()
	}
	m, err := s.Commit(s.transaction)
	s.lastCommitMark = m
	if err == nil {
		s.settingsBeforeSet = nil
	}
	s.inTransactionBlock = false
	s.endTransaction()
	return &Result{Tag: "COMMIT"}, err
}

func (s *Session) rollback() (*Result, error) {
	r := &Result{Tag: "ROLLBACK"}
	if !s.inTransactionBlock {
		r.Notice = "there is no transaction in progress"
		return r, nil
	}
	s.restoreSettings(s.settingsBeforeSet)
	s.lastCommitMark = marker.Mark{}
	s.endTransaction()
	return r, nil
}

func (s *Session) createSavepoint(name string) (*Result, error) {
	if !s.inTransactionBlock {
		return nil, pgError(codeNoTransaction, "SAVEPOINT can only be used in transaction blocks")
	}
	s.savepoints = append(s.savepoints, savepoint{name: name, changeCount: s.transaction.Savepoint()})
	return &Result{Tag: "SAVEPOINT"}, nil
}

// findSavepoint returns the index of the latest savepoint with the given name.
func (s *Session) findSavepoint(name string) (int, error) {
	if !s.inTransactionBlock {
		return 0, pgError(codeNoTransaction, "savepoints can only be used in transaction blocks")
	}
	for i := len(s.savepoints) - 1; i >= 0; i-- {
		if s.savepoints[i].name == name {
			return i, nil
		}
	}
	return 0, pgError(codeInvalidSavepoint, "savepoint %q does not exist", name)
}

func (s *Session) releaseSavepoint(name string) (*Result, error) {
	i, err := s.findSavepoint(name)
	if err != nil {
		return nil, err
	}
	s.savepoints = s.savepoints[:i]
	return &Result{Tag: "RELEASE"}, nil
}

func (s *Session) rollbackToSavepoint(name string) (*Result, error) {
	i, err := s.findSavepoint(name)
	if err != nil {
		return nil, err
	}
	s.transaction.RollbackTo(s.savepoints[i].changeCount)
	s.savepoints = s.savepoints[:i+1]
	s.failed = false
	return &Result{Tag: "ROLLBACK"}, nil
}

// singleRowResult returns a result with one row.
func singleRowResult(c []Column, row []any, tag string) *Result {
	return &Result{Columns: c, Next: sliceIterator([][]any{row}), Tag: tag}
}

// sliceIterator returns an iterator over rows.
func sliceIterator(rows [][]any) func(context.Context) ([]any, error) {
	i := 0
	return func(context.Context) ([]any, error) {
		if i >= len(rows) {
			return nil, nil
		}
		i++
		return rows[i-1], nil
	}
}

// NeedsSlot reports whether a statement must hold an execution slot. Transaction
// control, settings, prepared statement management and calls of control functions need none.
func NeedsSlot(n *pgquery.Node) bool {
	switch x := n.GetNode().(type) {
	case *pgquery.Node_TransactionStmt, *pgquery.Node_VariableSetStmt, *pgquery.Node_VariableShowStmt,
		*pgquery.Node_DiscardStmt, *pgquery.Node_PrepareStmt, *pgquery.Node_DeallocateStmt:
		return false
	case *pgquery.Node_SelectStmt:
		return !callsControlFunctionsOnly(x.SelectStmt)
	}
	return true
}

// callsControlFunctionsOnly reports whether a SELECT only calls one function of the stand-in server: a
// control function in the FROM clause, or any cuminwick function as the single target.
func callsControlFunctionsOnly(q *pgquery.SelectStmt) bool {
	if len(q.FromClause) == 1 {
		_, ok := controlFunctions[rangeFunctionName(q.FromClause[0])]
		return ok
	}
	if len(q.FromClause) > 1 || len(q.TargetList) != 1 {
		return false
	}
	f := q.TargetList[0].GetResTarget().GetVal().GetFuncCall()
	return strings.HasPrefix(lastName(f.GetFuncname()), "cuminwick_")
}

// copyEscapes escapes a value for COPY's text format. copyUnescapes is its inverse.
var copyEscapes = strings.NewReplacer("\\", `\\`, "\b", `\b`, "\f", `\f`, "\n", `\n`, "\r", `\r`, "\t", `\t`, "\v", `\v`)

// CopyLine returns a row as a line of COPY's text format.
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
