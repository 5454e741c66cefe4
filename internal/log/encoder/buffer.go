package encoder

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"
	"unicode/utf8"
)

// timeFormat has a fixed width, so that lines can be sorted by time as text.
const timeFormat = "2006-01-02T15:04:05.000000Z"

// line is one JSON object under construction.
type line []byte

// beginLine starts a line in the memory of b.
func beginLine(b line, now time.Time, level, message string) line {
	b = append(b, `{"time":"`...)
	b = now.UTC().AppendFormat(b, timeFormat)
	b = append(b, `","level":"`...)
	b = append(b, level...)
	b = append(b, `","message":`...)
	return b.text(message)
}

// end completes the object and the line.
func (b line) end() line {
	return append(b, '}', '\n')
}

// key appends the name of a member. The name must not need escaping.
func (b line) key(name string) line {
	b = append(b, ',', '"')
	b = append(b, name...)
	return append(b, '"', ':')
}

// string appends a member unless v is empty.
func (b line) string(name, v string) line {
	if v == "" {
		return b
	}
	return b.key(name).text(v)
}

func (b line) uint(name string, v uint64) line {
	return strconv.AppendUint(b.key(name), v, 10)
}

// text appends v as a JSON string. Plain ASCII is copied unchanged; everything else is encoded by the
// standard library, which allocates memory.
func (b line) text(v string) line {
	if !isPlainASCII(v) {
		j, err := json.Marshal(v)
		if err != nil {
			return append(b, `""`...)
		}
		return append(b, j...)
	}
	b = append(b, '"')
	b = append(b, v...)
	return append(b, '"')
}

// isPlainASCII reports whether v is ASCII that needs no escaping in JSON.
func isPlainASCII(v string) bool {
	for i := range len(v) {
		c := v[i]
		if c < ' ' || c >= utf8.RuneSelf || c == '"' || c == '\\' {
			return false
		}
	}
	return true
}

// any appends a member whose type is known only at run time.
func (b line) any(name string, v any) line {
	b = b.key(name)
	switch x := v.(type) {
	case string:
		return b.text(x)
	case error:
		return b.text(x.Error())
	case time.Duration:
		return b.text(x.String())
	case int:
		return strconv.AppendInt(b, int64(x), 10)
	case uint64:
		return strconv.AppendUint(b, x, 10)
	case bool:
		return strconv.AppendBool(b, x)
	case fmt.Stringer:
		return b.text(x.String())
	}
	j, err := json.Marshal(v)
	if err != nil {
		return b.text(fmt.Sprint(v))
	}
	return append(b, j...)
}
