package executor

import (
	"bytes"
	"cmp"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgtype"
)

// toCommonType converts text to the type of the other value and an integer to a float if the other
// value is one. It returns other pairs unchanged.
func toCommonType(a, b any) (any, any, error) {
	switch x := a.(type) {
	case string:
		if _, ok := b.(string); ok {
			return a, b, nil
		}
		v, err := ParseText(typeOfValue(b), x)
		return v, b, err
	case int64:
		if _, ok := b.(float64); ok {
			return float64(x), b, nil
		}
	case float64:
		if y, ok := b.(int64); ok {
			return a, float64(y), nil
		}
	}
	if y, ok := b.(string); ok {
		v, err := ParseText(typeOfValue(a), y)
		return a, v, err
	}
	return a, b, nil
}

func typeOfValue(v any) uint32 {
	switch v.(type) {
	case int64:
		return pgtype.Int8OID
	case float64:
		return pgtype.Float8OID
	case bool:
		return pgtype.BoolOID
	case time.Time:
		return pgtype.TimestamptzOID
	case []byte:
		return pgtype.ByteaOID
	default:
		return pgtype.TextOID
	}
}

// compareValues compares two values that are not null. The result is negative if a sorts before b,
// zero if they are equal and positive otherwise.
func compareValues(a, b any) (int, error) {
	a, b, err := toCommonType(a, b)
	if err != nil {
		return 0, err
	}
	switch x := a.(type) {
	case string:
		return strings.Compare(x, b.(string)), nil
	case int64:
		if y, ok := b.(int64); ok {
			return cmp.Compare(x, y), nil
		}
	case float64:
		if y, ok := b.(float64); ok {
			return cmp.Compare(x, y), nil
		}
	case bool:
		if y, ok := b.(bool); ok {
			return boolRank(x) - boolRank(y), nil
		}
	case time.Time:
		if y, ok := b.(time.Time); ok {
			return x.Compare(y), nil
		}
	case []byte:
		if y, ok := b.([]byte); ok {
			return bytes.Compare(x, y), nil
		}
	}
	return 0, pgError(codeUndefinedFunction, "operator does not exist for %T and %T", a, b)
}

// boolRank returns 1 for true and 0 for false, as false sorts before true.
func boolRank(b bool) int {
	if b {
		return 1
	}
	return 0
}
