// Package executor runs parsed SQL statements over one stand-in backend server's tables.
package executor

import (
	"context"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/juju/errors"
	pgquery "github.com/pganalyze/pg_query_go/v6"

	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/standin/replicator"
)

// ServerVersion is the PostgreSQL version that the stand-in reports.
const ServerVersion = "16.4"

// Result is what one statement brings about.
type Result struct {
	// Columns is nil for a statement that returns no rows.
	Columns []Column
	// Next returns the next row, nil after the last one.
	Next func(ctx context.Context) ([]any, error)
	// Tag is the command tag, empty if it is SELECT with the number of rows.
	Tag string
	// CopyIn is set for COPY FROM STDIN.
	CopyIn *CopyIn
	// CopyOut says that the rows go out in COPY's text form.
	CopyOut bool
	// Notice is a warning to send before the tag, empty if none.
	Notice string
}

// PreparedStatement is one prepared statement.
type PreparedStatement struct {
	// Node is nil for an empty query.
	Node *pgquery.Node
	// ParameterTypes are the types of the parameters.
	ParameterTypes []uint32
	// Columns is nil for a statement that returns no rows.
	Columns []Column
}

// Session is one connection's state: its transaction, settings and prepared statements.
// One goroutine uses it.
type Session struct {
	// Store is the server's store.
	Store *replicator.Store
	// Parser is shared by the server's sessions.
	Parser *Parser
	// User and Database are those of the startup message.
	User, Database string
	// ProcessID is the number in the session's cancel key.
	ProcessID uint32
	// Commit commits a transaction, or rolls it back with an error.
	Commit func(t *replicator.Transaction) (marker.Mark, error)
	// ReleaseSlot gives the slot back before a wait for a lock, Regain takes one after it.
	ReleaseSlot func()
	AcquireSlot func(ctx context.Context) error
	// Activity returns the rows of the list of sessions.
	Activity func() [][]any
	// Terminate ends the session with this process number, and reports whether there was one.
	Terminate func(process uint32) bool
	// Report tells the caller a changed parameter.
	Report func(name, value string)
	// Settings are the present ones; StartupSettings those that RESET goes back to.
	Settings, StartupSettings map[string]string
	// PreparedStatements are the prepared statements by name.
	PreparedStatements map[string]*PreparedStatement

	context     context.Context
	transaction *replicator.Transaction
	explicit    bool
	failed      bool
	readOnly    bool
	began       time.Time
	savepoints  []savepoint
	undo        map[string]string
	local       map[string]string
	// committed is the mark of the last transaction, zero if it wrote nothing.
	committed marker.Mark
}

// savepoint marks a place in the transaction's changes.
type savepoint struct {
	name    string
	changes int
}

// Status returns the transaction state as in ready-for-query: I, T or E.
func (s *Session) Status() byte {
	switch {
	case s.failed:
		return 'E'
	case s.explicit:
		return 'T'
	default:
		return 'I'
	}
}

// Execute runs one statement with its parameters.
func (s *Session) Execute(ctx context.Context, n *pgquery.Node, params []any) (*Result, error) {
	s.context = ctx
	if s.failed && !endsFailed(n) {
		return nil, failure(codeFailedTransaction, "current transaction is aborted, commands ignored until end of transaction block")
	}
	r, err := s.dispatch(ctx, n, params)
	if err != nil {
		return nil, Translate(err)
	}
	return r, nil
}

// endsFailed reports whether a statement may run in a failed transaction.
func endsFailed(n *pgquery.Node) bool {
	switch n.GetTransactionStmt().GetKind() {
	case pgquery.TransactionStmtKind_TRANS_STMT_COMMIT,
		pgquery.TransactionStmtKind_TRANS_STMT_ROLLBACK,
		pgquery.TransactionStmtKind_TRANS_STMT_ROLLBACK_TO:
		return true
	}
	return false
}

func (s *Session) dispatch(ctx context.Context, n *pgquery.Node, params []any) (*Result, error) {
	switch x := n.GetNode().(type) {
	case *pgquery.Node_SelectStmt:
		return s.selects(ctx, x.SelectStmt, params)
	case *pgquery.Node_InsertStmt:
		return s.insert(ctx, x.InsertStmt, params)
	case *pgquery.Node_UpdateStmt:
		return s.update(ctx, x.UpdateStmt, params)
	case *pgquery.Node_DeleteStmt:
		return s.delete(ctx, x.DeleteStmt, params)
	case *pgquery.Node_CreateStmt:
		return s.create(ctx, x.CreateStmt)
	case *pgquery.Node_DropStmt:
		return s.drop(ctx, x.DropStmt)
	case *pgquery.Node_TruncateStmt:
		return s.truncate(ctx, x.TruncateStmt)
	case *pgquery.Node_TransactionStmt:
		return s.control(x.TransactionStmt)
	case *pgquery.Node_VariableSetStmt:
		return s.set(x.VariableSetStmt)
	case *pgquery.Node_VariableShowStmt:
		return s.show(x.VariableShowStmt)
	case *pgquery.Node_DiscardStmt:
		return s.discard(x.DiscardStmt)
	case *pgquery.Node_PrepareStmt:
		return s.prepare(x.PrepareStmt)
	case *pgquery.Node_ExecuteStmt:
		return s.execute(ctx, x.ExecuteStmt)
	case *pgquery.Node_DeallocateStmt:
		return s.deallocate(x.DeallocateStmt)
	case *pgquery.Node_CopyStmt:
		return s.copies(x.CopyStmt)
	}
	return nil, failure(codeFeatureNotSupported, "statement %T is not supported by the stand-in", n.GetNode())
}

// Translate turns an error of the store or a context into one that a backend server sends.
func Translate(err error) error {
	var p *pgconn.PgError
	switch {
	case err == nil, errors.As(err, &p):
		return err
	case errors.Is(err, context.Canceled):
		return failure(codeCanceled, "canceling statement due to user request")
	case errors.Is(err, context.DeadlineExceeded):
		return failure(codeCanceled, "canceling statement due to statement timeout")
	case errors.Is(err, replicator.ErrReadOnly):
		return failure(codeReadOnly, "cannot execute a write: %v", err)
	case errors.Is(err, replicator.ErrDeadlock):
		return failure(codeDeadlock, "deadlock detected")
	case errors.Is(err, replicator.ErrTermRefused):
		return failure(codeObjectState, "%v", err)
	}
	return failure("XX000", "%v", err)
}

// ensure returns the present transaction and begins one if there is none.
func (s *Session) ensure() *replicator.Transaction {
	if s.transaction == nil {
		s.transaction = s.Store.Begin()
		s.began = time.Now().UTC().Truncate(time.Microsecond)
	}
	return s.transaction
}

// Fail notes that a statement failed, which ends an implicit transaction.
func (s *Session) Fail() {
	if !s.explicit {
		s.committed = marker.Mark{}
		s.end()
		return
	}
	s.failed = true
	if len(s.savepoints) == 0 && s.transaction != nil {
		s.transaction.Rollback()
	}
}

// Finish commits an implicit transaction, at Sync or at the end of a query string.
func (s *Session) Finish() error {
	if s.explicit || s.transaction == nil {
		return nil
	}
	m, err := s.Commit(s.transaction)
	s.committed = m
	s.end()
	return Translate(err)
}

// Close rolls back what is open when the connection ends.
func (s *Session) Close() {
	s.end()
}

// end leaves no transaction behind; one that was committed already stays so.
func (s *Session) end() {
	if s.transaction != nil {
		s.transaction.Rollback()
	}
	s.transaction = nil
	s.explicit, s.failed, s.readOnly = false, false, false
	s.savepoints = nil
	s.restore(s.local)
	s.undo, s.local = nil, nil
}

// writes returns the transaction if it may write.
func (s *Session) writes() (*replicator.Transaction, error) {
	t := s.ensure()
	if s.readOnly || s.Settings["default_transaction_read_only"] == "on" {
		return nil, failure(codeReadOnly, "cannot execute a write in a read-only transaction")
	}
	return t, t.Writable()
}

// lock takes a row's lock and gives the slot to others while it waits.
func (s *Session) lock(ctx context.Context, t *replicator.Transaction, name string) error {
	o, err := t.TryLock(name)
	if err != nil || o == nil {
		return err
	}
	s.ReleaseSlot()
	err = t.Lock(ctx, name)
	if err != nil {
		return err
	}
	return s.AcquireSlot(ctx)
}

// scope returns a scope without a row.
func (s *Session) scope(params []any) *scope {
	s.ensure()
	return &scope{session: s, params: params, now: s.began}
}
