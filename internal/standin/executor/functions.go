package executor

import (
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgtype"
	pgquery "github.com/pganalyze/pg_query_go/v6"
)

// callFunction returns the result of an aggregate or scalar function call.
func (s *scope) callFunction(f *pgquery.FuncCall) (any, error) {
	if v, ok := s.aggregateResults[f]; ok {
		return v, nil
	}
	var a []any
	for _, n := range f.Args {
		v, err := s.eval(n)
		if err != nil {
			return nil, err
		}
		a = append(a, v)
	}
	n := lastName(f.Funcname)
	g, ok := functions[n]
	if !ok || len(a) < g.minimumArguments {
		return nil, pgError(codeUndefinedFunction, "function %s with %d arguments does not exist", n, len(a))
	}
	return g.call(s, a)
}

// function is a scalar SQL function.
type function struct {
	// resultType is the type OID of the result.
	resultType uint32
	// minimumArguments is the number of arguments without optional ones.
	minimumArguments int
	// parameterTypes are the type OIDs that query parameters passed as arguments are inferred to have.
	parameterTypes []uint32
	call           func(s *scope, a []any) (any, error)
}

var functions map[string]function

func init() {
	functions = map[string]function{
		"now":                   {resultType: pgtype.TimestamptzOID, call: callNow},
		"transaction_timestamp": {resultType: pgtype.TimestamptzOID, call: callNow},
		"statement_timestamp":   {resultType: pgtype.TimestamptzOID, call: callNow},
		"clock_timestamp":       {resultType: pgtype.TimestamptzOID, call: callClock},
		"date_part":             {resultType: pgtype.Float8OID, minimumArguments: 2, parameterTypes: []uint32{pgtype.TextOID, pgtype.TimestamptzOID}, call: callDatePart},
		"repeat":                {resultType: pgtype.TextOID, minimumArguments: 2, parameterTypes: []uint32{pgtype.TextOID, pgtype.Int4OID}, call: callRepeat},
		"length":                {resultType: pgtype.Int4OID, minimumArguments: 1, parameterTypes: []uint32{pgtype.TextOID}, call: callLength},
		"upper":                 {resultType: pgtype.TextOID, minimumArguments: 1, parameterTypes: []uint32{pgtype.TextOID}, call: callUpper},
		"pg_sleep":              {resultType: voidOID, minimumArguments: 1, parameterTypes: []uint32{pgtype.Float8OID}, call: callSleep},
		"version":               {resultType: pgtype.TextOID, call: callVersion},
		"pg_terminate_backend":  {resultType: pgtype.BoolOID, minimumArguments: 1, parameterTypes: []uint32{pgtype.Int8OID}, call: callTerminate},
		"pg_backend_pid":        {resultType: pgtype.Int4OID, call: callBackendPID},
		"pg_is_in_recovery":     {resultType: pgtype.BoolOID, call: callRecovery},
		"current_database":      {resultType: pgtype.TextOID, call: callDatabase},
		"current_setting":       {resultType: pgtype.TextOID, minimumArguments: 1, parameterTypes: []uint32{pgtype.TextOID}, call: callSetting},
		"cuminwick_position":    {resultType: pgtype.TextOID, call: callPosition},
	}
}

func callNow(s *scope, _ []any) (any, error)   { return s.now, nil }
func callClock(_ *scope, _ []any) (any, error) { return time.Now().Truncate(time.Microsecond), nil }

// callDatePart supports only the unit epoch, the seconds since 1970.
func callDatePart(_ *scope, a []any) (any, error) {
	t, ok := a[1].(time.Time)
	if !ok || a[0] != "epoch" {
		return nil, pgError(codeUndefinedFunction, "unit %v isn't built", a[0])
	}
	return float64(t.UnixMicro()) / microsecondsPerSecond, nil
}

const microsecondsPerSecond = 1e6

func callRepeat(_ *scope, a []any) (any, error) {
	if a[0] == nil || a[1] == nil {
		return nil, nil
	}
	n, err := Coerce(pgtype.Int4OID, a[1])
	if err != nil {
		return nil, err
	}
	const maximumLength = 1 << 28 // bytes
	t := string(FormatText(pgtype.TextOID, a[0]))
	c := max(int(n.(int64)), 0)
	if c*len(t) > maximumLength {
		return nil, pgError("54000", "requested length too large")
	}
	return strings.Repeat(t, c), nil
}

func callLength(_ *scope, a []any) (any, error) {
	if a[0] == nil {
		return nil, nil
	}
	return int64(len([]rune(string(FormatText(pgtype.TextOID, a[0]))))), nil
}

func callUpper(_ *scope, a []any) (any, error) {
	if a[0] == nil {
		return nil, nil
	}
	return strings.ToUpper(string(FormatText(pgtype.TextOID, a[0]))), nil
}

func callSleep(s *scope, a []any) (any, error) {
	v, err := Coerce(pgtype.Float8OID, a[0])
	if err != nil || v == nil {
		return nil, err
	}
	t := time.NewTimer(time.Duration(v.(float64) * float64(time.Second)))
	defer t.Stop()
	select {
	case <-t.C:
		return "", nil
	case <-s.session.statementContext.Done():
		return nil, s.session.statementContext.Err()
	}
}

func callVersion(_ *scope, _ []any) (any, error) {
	return "PostgreSQL " + ServerVersion + " (cuminwick stand-in)", nil
}

func callBackendPID(s *scope, _ []any) (any, error) { return int64(s.session.ProcessID), nil }
func callDatabase(s *scope, _ []any) (any, error)   { return s.session.Database, nil }

func callTerminate(s *scope, a []any) (any, error) {
	return s.session.Terminate(uint32(a[0].(int64))), nil
}

func callRecovery(s *scope, _ []any) (any, error) {
	l, _ := s.session.Store.IsPrimary()
	return !l, nil
}

func callSetting(s *scope, a []any) (any, error) {
	n, _ := a[0].(string)
	v, ok := s.session.Setting(n)
	if !ok && len(a) < 2 {
		return nil, pgError("42704", "unrecognized configuration parameter %q", n)
	}
	if !ok {
		return nil, nil
	}
	return v, nil
}

// callPosition returns the mark of the session's last transaction if that transaction wrote something,
// and otherwise the mark of the log's last entry. The former is exact while other sessions commit.
func callPosition(s *scope, _ []any) (any, error) {
	if m := s.session.lastCommitMark; !m.IsZero() && !s.session.inTransactionBlock {
		return m.String(), nil
	}
	return s.session.Store.Last().String(), nil
}
