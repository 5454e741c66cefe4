package executor

import (
	"encoding/hex"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgtype"
)

// SQLSTATE codes of the errors that the stand-in server returns.
const (
	codeSyntaxError         = "42601"
	codeUndefinedTable      = "42P01"
	codeUndefinedColumn     = "42703"
	codeUndefinedFunction   = "42883"
	codeUndefinedParameter  = "42P02"
	codeDuplicateTable      = "42P07"
	codeInvalidStatement    = "26000"
	codeDuplicatePrepared   = "42P05"
	codeUniqueViolation     = "23505"
	codeNotNullViolation    = "23502"
	codeFailedTransaction   = "25P02"
	codeReadOnly            = "25006"
	codeNoTransaction       = "25P01"
	codeInvalidSavepoint    = "3B001"
	codeCanceled            = "57014"
	codeDeadlock            = "40P01"
	codeFeatureNotSupported = "0A000"
	codeInvalidText         = "22P02"
	codeOutOfRange          = "22003"
	codeDivisionByZero      = "22012"
	codeObjectState         = "55000"
	codeDatatypeMismatch    = "42804"
)

// pgError returns an error with an SQLSTATE code, as a PostgreSQL server sends it.
func pgError(code, format string, args ...any) error {
	return &pgconn.PgError{Severity: "ERROR", Code: code, Message: fmt.Sprintf(format, args...)}
}

// Column describes one column of a result.
type Column struct {
	Name string
	// Type is the OID of the PostgreSQL type.
	Type uint32
}

// Size returns the type's length in bytes, -1 if it is variable, as in RowDescription.
func (c Column) Size() int16 {
	switch c.Type {
	case pgtype.BoolOID:
		return 1
	case pgtype.Int2OID:
		return 2
	case pgtype.Int4OID, pgtype.Float4OID:
		return 4
	case pgtype.Int8OID, pgtype.Float8OID, pgtype.TimestamptzOID, pgtype.TimestampOID:
		return 8
	case pgtype.UUIDOID:
		return 16
	default:
		return -1
	}
}

var typeNames = map[string]uint32{
	"bool": pgtype.BoolOID, "boolean": pgtype.BoolOID,
	"int2": pgtype.Int2OID, "smallint": pgtype.Int2OID,
	"int4": pgtype.Int4OID, "integer": pgtype.Int4OID, "int": pgtype.Int4OID,
	"int8": pgtype.Int8OID, "bigint": pgtype.Int8OID,
	"float4": pgtype.Float4OID, "real": pgtype.Float4OID,
	"float8": pgtype.Float8OID,
	"text":   pgtype.TextOID, "name": pgtype.TextOID,
	"varchar": pgtype.VarcharOID, "bpchar": pgtype.TextOID,
	"timestamptz": pgtype.TimestamptzOID, "timestamp": pgtype.TimestampOID,
	"bytea": pgtype.ByteaOID, "uuid": pgtype.UUIDOID,
	"json": pgtype.JSONOID, "jsonb": pgtype.JSONBOID,
	"serial": pgtype.Int4OID, "bigserial": pgtype.Int8OID, "serial4": pgtype.Int4OID, "serial8": pgtype.Int8OID,
}

// voidOID is the OID of void, the result type of a function that returns nothing.
const voidOID = 2278

const (
	layoutTimestamptz = "2006-01-02 15:04:05.999999-07"
	layoutTimestamp   = "2006-01-02 15:04:05.999999"
)

func isInteger(t uint32) bool {
	return t == pgtype.Int2OID || t == pgtype.Int4OID || t == pgtype.Int8OID
}

func isFloat(t uint32) bool {
	return t == pgtype.Float4OID || t == pgtype.Float8OID
}

// ParseText parses a value of type t in PostgreSQL's text format.
func ParseText(t uint32, s string) (any, error) {
	switch {
	case isInteger(t):
		n, err := strconv.ParseInt(strings.TrimSpace(s), 10, 64)
		if err != nil {
			return nil, pgError(codeInvalidText, "invalid input syntax for type bigint: %q", s)
		}
		return checkRange(t, n)
	case isFloat(t):
		f, err := strconv.ParseFloat(strings.TrimSpace(s), 64)
		if err != nil {
			return nil, pgError(codeInvalidText, "invalid input syntax for type double precision: %q", s)
		}
		return f, nil
	case t == pgtype.BoolOID:
		return parseBool(s)
	case t == pgtype.TimestamptzOID, t == pgtype.TimestampOID:
		return parseTime(s)
	case t == pgtype.ByteaOID:
		return parseBytes(s)
	default:
		return s, nil
	}
}

func checkRange(t uint32, n int64) (any, error) {
	if t == pgtype.Int4OID && (n > math.MaxInt32 || n < math.MinInt32) {
		return nil, pgError(codeOutOfRange, "integer out of range")
	}
	if t == pgtype.Int2OID && (n > math.MaxInt16 || n < math.MinInt16) {
		return nil, pgError(codeOutOfRange, "smallint out of range")
	}
	return n, nil
}

func parseBool(s string) (any, error) {
	switch strings.ToLower(strings.TrimSpace(s)) {
	case "t", "true", "on", "yes", "y", "1":
		return true, nil
	case "f", "false", "off", "no", "n", "0":
		return false, nil
	}
	return nil, pgError(codeInvalidText, "invalid input syntax for type boolean: %q", s)
}

func parseTime(s string) (any, error) {
	for _, l := range []string{layoutTimestamptz, "2006-01-02 15:04:05.999999Z07:00", time.RFC3339Nano, layoutTimestamp, "2006-01-02T15:04:05.999999", time.DateOnly} {
		if t, err := time.Parse(l, s); err == nil {
			return t.UTC(), nil
		}
	}
	return nil, pgError(codeInvalidText, "invalid input syntax for type timestamp: %q", s)
}

func parseBytes(s string) (any, error) {
	h, ok := strings.CutPrefix(s, `\x`)
	if !ok {
		return []byte(s), nil
	}
	b, err := hex.DecodeString(h)
	if err != nil {
		return nil, pgError(codeInvalidText, "invalid hexadecimal data: %q", s)
	}
	return b, nil
}

// FormatText formats a value of type t, which must not be null, in PostgreSQL's text format.
func FormatText(t uint32, v any) []byte {
	switch v := v.(type) {
	case string:
		return []byte(v)
	case int64:
		return strconv.AppendInt(nil, v, 10)
	case bool:
		if v {
			return []byte("t")
		}
		return []byte("f")
	case float64:
		return strconv.AppendFloat(nil, v, 'g', -1, 64)
	case []byte:
		return []byte(`\x` + hex.EncodeToString(v))
	case time.Time:
		if t == pgtype.TimestampOID {
			return v.UTC().AppendFormat(nil, layoutTimestamp)
		}
		return v.UTC().AppendFormat(nil, layoutTimestamptz)
	}
	return fmt.Append(nil, v)
}

// Coerce converts v to a value of type t. Null stays null.
func Coerce(t uint32, v any) (any, error) {
	switch x := v.(type) {
	case nil:
		return nil, nil
	case string:
		return ParseText(t, x)
	case int64:
		if isInteger(t) {
			return checkRange(t, x)
		}
		if isFloat(t) {
			return float64(x), nil
		}
		if t == pgtype.BoolOID {
			return x != 0, nil
		}
	case float64:
		if isFloat(t) {
			return x, nil
		}
		if isInteger(t) {
			return checkRange(t, int64(math.RoundToEven(x)))
		}
	case bool:
		if t == pgtype.BoolOID {
			return x, nil
		}
		if isInteger(t) && x {
			return int64(1), nil
		}
		if isInteger(t) {
			return int64(0), nil
		}
	case time.Time:
		if t == pgtype.TimestamptzOID || t == pgtype.TimestampOID {
			return x, nil
		}
	case []byte:
		if t == pgtype.ByteaOID {
			return x, nil
		}
	}
	if t == pgtype.TextOID || t == pgtype.VarcharOID {
		return string(FormatText(t, v)), nil
	}
	return nil, pgError(codeDatatypeMismatch, "cannot convert %T to type %d", v, t)
}
