package classifier

import (
	"strings"
	"time"
)

// Keys of the leading comment, as in /* tag=report key=abc123 maximum-age=5s */.
const (
	commentTag        = "tag"
	commentKey        = "key"
	commentMaximumAge = "maximum-age"
)

// MaximumKeyBytes is the longest idempotency key.
const MaximumKeyBytes = 128

// leadingComment holds the fields of the comment that a text starts with.
type leadingComment struct {
	tag, key string
	age      time.Duration
	hasAge   bool
	hasKey   bool
	// malformed is set if key isn't valid.
	malformed bool
}

// splitComment returns the fields of the leading comment and the text after it.
func splitComment(sql string) (leadingComment, string) {
	var h leadingComment
	t := strings.TrimLeft(sql, " \t\r\n")
	if !strings.HasPrefix(t, "/*") {
		return h, sql
	}
	e := strings.Index(t, "*/")
	// A text with a nested comment is left to the parser as it is.
	if e < 2 || strings.Contains(t[2:e], "/*") {
		return h, sql
	}
	h.read(t[2:e])
	return h, t[e+2:]
}

func (h *leadingComment) read(c string) {
	for c != "" {
		var f string
		f, c = cutField(c)
		k, v, ok := strings.Cut(f, "=")
		if ok {
			h.set(k, strings.Trim(v, `'"`))
		}
	}
}

func cutField(c string) (field, rest string) {
	c = strings.TrimLeft(c, " \t\r\n,")
	i := strings.IndexAny(c, " \t\r\n,")
	if i < 0 {
		return c, ""
	}
	return c[:i], c[i+1:]
}

func (h *leadingComment) set(k, v string) {
	switch k {
	case commentTag:
		h.tag = v
	case commentKey:
		h.key = v
		h.hasKey = true
		h.malformed = !ValidKey(v)
	case commentMaximumAge:
		d, err := time.ParseDuration(v)
		// An age that can't be parsed is ignored, so the request asks for the latest data.
		h.hasAge = err == nil && d >= 0
		h.age = max(d, 0)
	}
}

// ValidKey reports whether k can be an idempotency key: 1 to MaximumKeyBytes characters of printable
// ASCII without space, quotes and backslash.
func ValidKey(k string) bool {
	if k == "" || len(k) > MaximumKeyBytes {
		return false
	}
	for i := range len(k) {
		if k[i] <= ' ' || k[i] > '~' || strings.IndexByte(`'"\`, k[i]) >= 0 {
			return false
		}
	}
	return true
}

// addTo sets the fields of s that come from the comment.
func (h *leadingComment) addTo(s *Statement) {
	s.Tag = h.tag
	s.MaximumAge = h.age
	s.HasMaximumAge = h.hasAge
	if !h.hasKey {
		return
	}
	s.IdempotencyKey = h.key
	// Without its idempotency key the request could be executed twice, so it is refused.
	if h.malformed {
		s.Refusal = RefusalInvalidKey
	}
}
