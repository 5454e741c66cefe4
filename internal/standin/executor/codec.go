package executor

import (
	"bytes"
	"time"

	"github.com/jackc/pgx/v5/pgtype"
	"github.com/juju/errors"
)

// Encode encodes a value of type t in the given wire format. It returns nil for null.
func Encode(m *pgtype.Map, t uint32, format int16, v any) ([]byte, error) {
	if v == nil {
		return nil, nil
	}
	if format == pgtype.TextFormatCode {
		return FormatText(t, v), nil
	}
	if s, ok := v.(string); ok && t != pgtype.UUIDOID && t != pgtype.JSONBOID {
		return []byte(s), nil
	}
	if s, ok := v.(string); ok && t == pgtype.UUIDOID {
		var u pgtype.UUID
		if err := u.Scan(s); err != nil {
			return nil, pgError(codeInvalidText, "invalid input syntax for type uuid: %q", s)
		}
		v = u
	}
	b, err := m.Encode(t, format, v, make([]byte, 0, 16))
	return b, errors.Annotatef(err, "encode value of type %d", t)
}

// Decode decodes a parameter of type t from the given wire format. It returns nil for null.
func Decode(m *pgtype.Map, t uint32, format int16, b []byte) (any, error) {
	if b == nil {
		return nil, nil
	}
	if format == pgtype.TextFormatCode {
		return ParseText(t, string(b))
	}
	v, err := decodeBinary(m, t, b)
	if err != nil {
		return nil, pgError("22P03", "incorrect binary data format: %v", err)
	}
	return v, nil
}

func decodeBinary(m *pgtype.Map, t uint32, b []byte) (any, error) {
	switch {
	case isInteger(t):
		return scan[int64](m, t, b)
	case isFloat(t):
		return scan[float64](m, t, b)
	case t == pgtype.BoolOID:
		return scan[bool](m, t, b)
	case t == pgtype.TimestamptzOID, t == pgtype.TimestampOID:
		return scan[time.Time](m, t, b)
	case t == pgtype.ByteaOID:
		return bytes.Clone(b), nil
	case t == pgtype.JSONBOID && len(b) > 0:
		return string(b[1:]), nil
	case t == pgtype.UUIDOID:
		return scan[string](m, t, b)
	default:
		return string(b), nil
	}
}

func scan[T any](m *pgtype.Map, t uint32, b []byte) (any, error) {
	var v T
	err := m.Scan(t, pgtype.BinaryFormatCode, b, &v)
	return v, err
}
