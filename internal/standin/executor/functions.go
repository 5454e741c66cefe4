package executor

import (
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgtype"
	pgquery "github.com/pganalyze/pg_query_go/v6"
)

// call computes a scalar function.
func (s *scope) call(f *pgquery.FuncCall) (any, error) {
	if v, ok := s.totals[f]; ok {
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
	if !ok || len(a) < g.arguments {
		return nil, failure(codeUndefinedFunction, "function %s with %d arguments does not exist", n, len(a))
	}
	return g.call(s, a)
}

// function is one scalar function.
type function struct {
	result    uint32
	arguments int
	takes     []uint32
	call      func(s *scope, a []any) (any, error)
}

var functions map[string]function

func init() {
	functions = map[string]function{
		"now":                   {result: pgtype.TimestamptzOID, call: callNow},
		"transaction_timestamp": {result: pgtype.TimestamptzOID, call: callNow},
		"statement_timestamp":   {result: pgtype.TimestamptzOID, call: callNow},
		"clock_timestamp":       {result: pgtype.TimestamptzOID, call: callClock},
		"date_part":             {result: pgtype.Float8OID, arguments: 2, takes: []uint32{pgtype.TextOID, pgtype.TimestamptzOID}, call: callDatePart},
		"repeat":                {result: pgtype.TextOID, arguments: 2, takes: []uint32{pgtype.TextOID, pgtype.Int4OID}, call: callRepeat},
		"length":                {result: pgtype.Int4OID, arguments: 1, takes: []uint32{pgtype.TextOID}, call: callLength},
		"upper":                 {result: pgtype.TextOID, arguments: 1, takes: []uint32{pgtype.TextOID}, call: callUpper},
		"pg_sleep":              {result: voidOID, arguments: 1, takes: []uint32{pgtype.Float8OID}, call: callSleep},
		"version":               {result: pgtype.TextOID, call: callVersion},
		"pg_terminate_backend":  {result: pgtype.BoolOID, arguments: 1, takes: []uint32{pgtype.Int8OID}, call: callTerminate},
		"pg_backend_pid":        {result: pgtype.Int4OID, call: callProcess},
		"pg_is_in_recovery":     {result: pgtype.BoolOID, call: callRecovery},
		"current_database":      {result: pgtype.TextOID, call: callDatabase},
		"current_setting":       {result: pgtype.TextOID, arguments: 1, takes: []uint32{pgtype.TextOID}, call: callSetting},
		"cuminwick_position":    {result: pgtype.TextOID, call: callPosition},
	}
}

func callNow(s *scope, _ []any) (any, error)   { return s.now, nil }
func callClock(_ *scope, _ []any) (any, error) { return time.Now().Truncate(time.Microsecond), nil }

// callDatePart knows seconds since 1970 only.
func callDatePart(_ *scope, a []any) (any, error) {
	t, ok := a[1].(time.Time)
	if !ok || a[0] != "epoch" {
		return nil, failure(codeUndefinedFunction, "unit %v isn't built", a[0])
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
	const longest = 1 << 28
	t := string(FormatText(pgtype.TextOID, a[0]))
	c := max(int(n.(int64)), 0)
	if c*len(t) > longest {
		return nil, failure("54000", "requested length too large")
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
	case <-s.session.context.Done():
		return nil, s.session.context.Err()
	}
}

func callVersion(_ *scope, _ []any) (any, error) {
	return "PostgreSQL " + ServerVersion + " (cuminwick stand-in)", nil
}

func callProcess(s *scope, _ []any) (any, error)  { return int64(s.session.ProcessID), nil }
func callDatabase(s *scope, _ []any) (any, error) { return s.session.Database, nil }

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
		return nil, failure("42704", "unrecognized configuration parameter %q", n)
	}
	if !ok {
		return nil, nil
	}
	return v, nil
}

// callPosition answers with the mark of the session's last transaction if that
// wrote something, which is exact while others commit, and else with the log's end.
func callPosition(s *scope, _ []any) (any, error) {
	if m := s.session.committed; !m.IsZero() && !s.session.explicit {
		return m.String(), nil
	}
	return s.session.Store.Last().String(), nil
}
