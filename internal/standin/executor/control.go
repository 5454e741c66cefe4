package executor

import (
	"time"

	"github.com/jackc/pgx/v5/pgtype"
	pgquery "github.com/pganalyze/pg_query_go/v6"

	"github.com/cuminwick/cuminwick/internal/backend/controller"
	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/standin/replicator"
)

// statusColumns are the columns of the row that every control function returns.
var statusColumns = []Column{
	{Name: "backend_server", Type: pgtype.TextOID},
	{Name: "role", Type: pgtype.TextOID},
	{Name: "term", Type: pgtype.Int8OID},
	{Name: "last_term", Type: pgtype.Int8OID},
	{Name: "last_position", Type: pgtype.Int8OID},
	{Name: "term_start", Type: pgtype.Int8OID},
	{Name: "since_heard_ms", Type: pgtype.Int8OID},
	{Name: "following", Type: pgtype.TextOID},
	{Name: "leaving", Type: pgtype.BoolOID},
	{Name: "previous_term", Type: pgtype.Int8OID},
	{Name: "writing", Type: pgtype.Int8OID},
	{Name: "system_identifier", Type: pgtype.Int8OID},
}

// controlFunction is an SQL function that reads or changes the server's replication state and returns
// the server's status.
type controlFunction struct {
	parameterTypes []uint32
	call           func(s *replicator.Store, a []any, now time.Time) (controller.Status, error)
}

// controlFunctions are the control functions by name.
var controlFunctions = map[string]controlFunction{
	"cuminwick_status":     {call: callStatus},
	"cuminwick_raise_term": {parameterTypes: []uint32{pgtype.Int8OID}, call: callRaiseTerm},
	"cuminwick_promote":    {parameterTypes: []uint32{pgtype.Int8OID}, call: callPromote},
	"cuminwick_follow":     {parameterTypes: []uint32{pgtype.Int8OID, pgtype.TextOID, pgtype.TextOID}, call: callFollow},
}

func callStatus(s *replicator.Store, _ []any, now time.Time) (controller.Status, error) {
	return s.Status(now), nil
}

func callRaiseTerm(s *replicator.Store, a []any, now time.Time) (controller.Status, error) {
	return s.RaiseTerm(marker.Term(a[0].(int64)), now)
}

func callPromote(s *replicator.Store, a []any, now time.Time) (controller.Status, error) {
	return s.Promote(marker.Term(a[0].(int64)), now)
}

func callFollow(s *replicator.Store, a []any, now time.Time) (controller.Status, error) {
	l := replicator.PrimaryServer{Name: a[1].(string), Address: a[2].(string)}
	return s.Follow(marker.Term(a[0].(int64)), l, now)
}

// callControl calls a control function and returns its status row.
func (s *scope) callControl(f *pgquery.FuncCall) ([]any, error) {
	c := controlFunctions[lastName(f.Funcname)]
	if len(f.Args) != len(c.parameterTypes) {
		return nil, pgError(codeUndefinedFunction, "function %s with %d arguments does not exist", lastName(f.Funcname), len(f.Args))
	}
	var a []any
	for i, n := range f.Args {
		v, err := s.eval(n)
		if err != nil {
			return nil, err
		}
		v, err = Coerce(c.parameterTypes[i], v)
		if err != nil {
			return nil, err
		}
		if v == nil {
			return nil, pgError("22004", "control functions take no null")
		}
		a = append(a, v)
	}
	t, err := c.call(s.session.Store, a, time.Now())
	if err != nil {
		return nil, err
	}
	return append(statusRow(t), int64(s.session.Store.SystemIdentifier)), nil
}

func statusRow(t controller.Status) []any {
	return []any{
		t.BackendServer,
		string(t.Role),
		int64(t.Term),
		int64(t.Last.Term),
		int64(t.Last.Position),
		int64(t.TermStart),
		t.SinceLastContact.Milliseconds(),
		t.Following,
		t.Leaving,
		int64(t.PreviousTerm),
		int64(t.WriteTransactions),
	}
}
