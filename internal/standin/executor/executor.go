// Package executor executes parsed SQL statements on the tables of a stand-in backend server, which
// replaces a PostgreSQL server in tests and experiments.
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

// ServerVersion is the PostgreSQL version that the stand-in server reports to clients.
const ServerVersion = "16.4"

// Result is the result of one statement.
type Result struct {
	// Columns is nil for a statement that returns no rows.
	Columns []Column
	// Next returns the next row, nil after the last one.
	Next func(ctx context.Context) ([]any, error)
	// Tag is the command tag. If it is empty, the tag is SELECT with the number of rows.
	Tag string
	// CopyIn receives the data of a COPY FROM STDIN, nil for other statements.
	CopyIn *CopyIn
	// CopyOut is true for COPY TO STDOUT, whose rows are sent in COPY's text format.
	CopyOut bool
	// Notice is a warning to send before the command tag, empty if there is none.
	Notice string
}

// PreparedStatement is a parsed statement with the types of its parameters and result columns.
type PreparedStatement struct {
	// Node is the parsed statement, nil for an empty query.
	Node *pgquery.Node
	// ParameterTypes are the type OIDs of the parameters.
	ParameterTypes []uint32
	// Columns is nil for a statement that returns no rows.
	Columns []Column
}

// Session is the state of one client connection: its transaction, settings and prepared statements.
// It is not safe for concurrent use.
type Session struct {
	// Store holds the server's tables and replication log.
	Store *replicator.Store
	// Parser is shared by all sessions of the server.
	Parser *Parser
	// User and Database are the user and database of the startup message.
	User, Database string
	// ProcessID is the backend process ID in the session's cancel key.
	ProcessID uint32
	// Commit commits a transaction and returns its mark. After an error the session rolls back what
	// has not been committed.
	Commit func(t *replicator.Transaction) (marker.Mark, error)
	// ReleaseSlot releases the session's execution slot before a wait for a lock, AcquireSlot
	// acquires one after it. The server bounds the statements that run at a time by its slots.
	ReleaseSlot func()
	AcquireSlot func(ctx context.Context) error
	// Activity returns the rows of pg_stat_activity.
	Activity func() [][]any
	// Terminate closes the session with the given process ID and reports whether it existed.
	Terminate func(processID uint32) bool
	// Report sends the client the new value of a setting, nil if the client needs no reports.
	Report func(name, value string)
	// Settings are the current settings, StartupSettings the values that RESET restores.
	Settings, StartupSettings map[string]string
	// PreparedStatements holds the prepared statements by name.
	PreparedStatements map[string]*PreparedStatement

	statementContext context.Context
	transaction      *replicator.Transaction
	// inTransactionBlock is true between BEGIN and COMMIT or ROLLBACK. Outside of a block each
	// statement or query string runs in an implicit transaction.
	inTransactionBlock bool
	failed             bool
	readOnly           bool
	transactionStart   time.Time
	savepoints         []savepoint
	// settingsBeforeSet and settingsBeforeSetLocal hold the original values of the settings that
	// SET and SET LOCAL changed in the transaction. ROLLBACK restores the former, the end of the
	// transaction the latter.
	settingsBeforeSet      map[string]string
	settingsBeforeSetLocal map[string]string
	// lastCommitMark is the mark of the last transaction, zero if it wrote nothing or was rolled back.
	lastCommitMark marker.Mark
}

// savepoint is a named position in the transaction's list of changes.
type savepoint struct {
	name string
	// changeCount is the number of changes that the transaction had at the savepoint.
	changeCount int
}

// Status returns the transaction status for ReadyForQuery: I (idle), T (in a transaction block) or
// E (in a failed transaction block).
func (s *Session) Status() byte {
	switch {
	case s.failed:
		return 'E'
	case s.inTransactionBlock:
		return 'T'
	default:
		return 'I'
	}
}

// Execute runs one statement with the given parameters. Its errors are as Translate returns them.
func (s *Session) Execute(ctx context.Context, n *pgquery.Node, params []any) (*Result, error) {
	s.statementContext = ctx
	if s.failed && !allowedInFailedTransaction(n) {
		return nil, pgError(codeFailedTransaction, "current transaction is aborted, commands ignored until end of transaction block")
	}
	r, err := s.dispatch(ctx, n, params)
	if err != nil {
		return nil, Translate(err)
	}
	return r, nil
}

// allowedInFailedTransaction reports whether a statement may run in a failed transaction block.
func allowedInFailedTransaction(n *pgquery.Node) bool {
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
		return s.runSelect(ctx, x.SelectStmt, params)
	case *pgquery.Node_InsertStmt:
		return s.runInsert(ctx, x.InsertStmt, params)
	case *pgquery.Node_UpdateStmt:
		return s.runUpdate(ctx, x.UpdateStmt, params)
	case *pgquery.Node_DeleteStmt:
		return s.delete(ctx, x.DeleteStmt, params)
	case *pgquery.Node_CreateStmt:
		return s.createTable(ctx, x.CreateStmt)
	case *pgquery.Node_DropStmt:
		return s.dropTable(ctx, x.DropStmt)
	case *pgquery.Node_TruncateStmt:
		return s.truncate(ctx, x.TruncateStmt)
	case *pgquery.Node_TransactionStmt:
		return s.runTransactionStatement(x.TransactionStmt)
	case *pgquery.Node_VariableSetStmt:
		return s.runSet(x.VariableSetStmt)
	case *pgquery.Node_VariableShowStmt:
		return s.runShow(x.VariableShowStmt)
	case *pgquery.Node_DiscardStmt:
		return s.discard(x.DiscardStmt)
	case *pgquery.Node_PrepareStmt:
		return s.prepare(x.PrepareStmt)
	case *pgquery.Node_ExecuteStmt:
		return s.execute(ctx, x.ExecuteStmt)
	case *pgquery.Node_DeallocateStmt:
		return s.deallocate(x.DeallocateStmt)
	case *pgquery.Node_CopyStmt:
		return s.runCopy(x.CopyStmt)
	}
	return nil, pgError(codeFeatureNotSupported, "statement %T is not supported by the stand-in", n.GetNode())
}

// Translate converts an error of the store or a context to the PostgreSQL error that a backend server
// sends. It returns PostgreSQL errors unchanged.
func Translate(err error) error {
	var p *pgconn.PgError
	switch {
	case err == nil, errors.As(err, &p):
		return err
	case errors.Is(err, context.Canceled):
		return pgError(codeCanceled, "canceling statement due to user request")
	case errors.Is(err, context.DeadlineExceeded):
		return pgError(codeCanceled, "canceling statement due to statement timeout")
	case errors.Is(err, replicator.ErrReadOnly):
		return pgError(codeReadOnly, "cannot execute a write: %v", err)
	case errors.Is(err, replicator.ErrDeadlock):
		return pgError(codeDeadlock, "deadlock detected")
	case errors.Is(err, replicator.ErrTermRefused):
		return pgError(codeObjectState, "%v", err)
	}
	return pgError("XX000", "%v", err)
}

// ensureTransaction returns the current transaction and begins one if there is none.
func (s *Session) ensureTransaction() *replicator.Transaction {
	if s.transaction == nil {
		s.transaction = s.Store.Begin()
		s.transactionStart = time.Now().UTC().Truncate(time.Microsecond)
	}
	return s.transaction
}

// Fail ends an implicit transaction after a failed statement, and marks a transaction block as failed.
// It rolls back a block without savepoints at once. A block with savepoints keeps its changes for
// ROLLBACK TO SAVEPOINT.
func (s *Session) Fail() {
	if !s.inTransactionBlock {
		s.lastCommitMark = marker.Mark{}
		s.endTransaction()
		return
	}
	s.failed = true
	if len(s.savepoints) == 0 && s.transaction != nil {
		s.transaction.Rollback()
	}
}

// Finish commits an implicit transaction. The caller calls it at Sync and at the end of a query string.
func (s *Session) Finish() error {
	if s.inTransactionBlock || s.transaction == nil {
		return nil
	}
	m, err := s.Commit(s.transaction)
	s.lastCommitMark = m
	s.endTransaction()
	return Translate(err)
}

// Close rolls back an open transaction when the connection ends.
func (s *Session) Close() {
	s.endTransaction()
}

// endTransaction rolls back the transaction unless it is committed already, and resets the
// transaction's state and the settings of SET LOCAL.
func (s *Session) endTransaction() {
	if s.transaction != nil {
		s.transaction.Rollback()
	}
	s.transaction = nil
	s.inTransactionBlock, s.failed, s.readOnly = false, false, false
	s.savepoints = nil
	s.restoreSettings(s.settingsBeforeSetLocal)
	s.settingsBeforeSet, s.settingsBeforeSetLocal = nil, nil
}

// writableTransaction returns the current transaction, or an error if it may not write.
func (s *Session) writableTransaction() (*replicator.Transaction, error) {
	t := s.ensureTransaction()
	if s.readOnly || s.Settings["default_transaction_read_only"] == "on" {
		return nil, pgError(codeReadOnly, "cannot execute a write in a read-only transaction")
	}
	return t, t.Writable()
}

// lock acquires the lock with the given name for the transaction. It releases the session's slot
// while it waits, so that other sessions can run statements.
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

// newScope returns a scope without columns and row, and begins a transaction if there is none.
func (s *Session) newScope(params []any) *scope {
	s.ensureTransaction()
	return &scope{session: s, params: params, now: s.transactionStart}
}
