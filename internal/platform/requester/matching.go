package requester

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"strings"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/platform/accessor"
)

// ErrOtherAnswer is returned for an object that isn't the one that the call asks for. After a put it
// is unknown whether the change took effect.
const ErrOtherAnswer = errors.ConstError("answer to another call")

// errList is returned for a list that isn't a JSON array.
const errList = errors.ConstError("list isn't an array")

// checkObject returns an error unless o is the object of this kind and name at a version above after.
func checkObject(o accessor.Object, kind, name string, after accessor.Version) error {
	if o.Kind == kind && o.Name == name && o.Version > after {
		return nil
	}
	return errors.Annotatef(ErrOtherAnswer, "object %s/%s at version %d, want one above %d", o.Kind, o.Name, o.Version, after)
}

// checkPut returns an error unless p is the object o with a higher version.
func checkPut(p, o accessor.Object) error {
	if p.Writer != o.Writer || !bytes.Equal(p.Value, o.Value) {
		return errors.Annotatef(ErrOtherAnswer, "object of writer %q, %d bytes, instead of writer %q, %d bytes", p.Writer, len(p.Value), o.Writer, len(o.Value))
	}
	return checkObject(p, o.Kind, o.Name, o.Version)
}

// checkList returns an error unless l is a list of objects of this kind.
func checkList(l []accessor.Object, kind string) error {
	if l == nil {
		return errList
	}
	for _, o := range l {
		if o.Name == "" {
			return errors.Annotatef(ErrOtherAnswer, "object of kind %q without a name", o.Kind)
		}
		if err := checkObject(o, kind, o.Name, 0); err != nil {
			return err
		}
	}
	return nil
}

// errInvalidEntry is reported for an entry of the host list that can't be read.
const errInvalidEntry = errors.ConstError("invalid entry of the host list")

// decodeHosts returns the entries of a host list. One that can't be read, has no name or is of another
// kind is left out. An address that can't be dialed is removed: the entry still says that the host
// exists.
func (c *Client) decodeHosts(b []byte) ([]accessor.Host, error) {
	e, err := splitArray(b)
	if err != nil {
		return nil, err
	}
	l := make([]accessor.Host, 0, len(e))
	var invalid []string
	for i, x := range e {
		h, err := decodeHost(x)
		if err != nil {
			invalid = append(invalid, fmt.Sprintf("entry %d: %.80s", i+1, err))
		}
		if h.Name == "" || h.Kind != accessor.EntryHost && h.Kind != accessor.BackendServer {
			invalid = append(invalid, fmt.Sprintf("entry %d names no host", i+1))
			continue
		}
		if h.Address != "" && !isAddress(h.Address) {
			invalid = append(invalid, fmt.Sprintf("address of %.80s is %.80q", h.Name, h.Address))
			h.Address = ""
		}
		l = append(l, h)
	}
	c.reportInvalid(strings.Join(invalid, "; "))
	return l, nil
}

// maximumInvalidBytes bounds the description of a host list's invalid entries.
const maximumInvalidBytes = 500

// reportInvalid reports the description of a list's invalid entries unless it is that of the list before. The list is
// read again and again.
func (c *Client) reportInvalid(description string) {
	description = description[:min(len(description), maximumInvalidBytes)]
	c.mu.Lock()
	changed := description != c.invalid
	c.invalid = description
	c.mu.Unlock()
	if changed && description != "" && c.OnInvalid != nil {
		c.OnInvalid(errors.Annotatef(errInvalidEntry, "%s", description))
	}
}

// decodeHost returns the fields of an entry that can be read, and what is wrong with the others. The entry is zero
// if it isn't an object.
func decodeHost(b []byte) (accessor.Host, error) {
	var h accessor.Host
	err := json.Unmarshal(b, &h)
	if err != nil && !errors.HasType[*json.UnmarshalTypeError](err) {
		return accessor.Host{}, err
	}
	return h, err // the other fields are decoded if one is of another type
}

// isAddress reports whether a is a host and a port.
func isAddress(a string) bool {
	_, p, err := net.SplitHostPort(a)
	if err != nil {
		return false
	}
	n, err := strconv.ParseUint(p, 10, 16)
	return err == nil && n > 0
}

// splitArray returns the elements of a JSON array without decoding them. The decoder of a whole array
// fails at an element that it can't read, such as one that is nested too deeply.
func splitArray(b []byte) ([][]byte, error) {
	b = bytes.TrimSpace(b)
	if len(b) < 2 || b[0] != '[' || b[len(b)-1] != ']' {
		return nil, errList
	}
	s := splitter{body: b[1 : len(b)-1]}
	if !s.split() {
		return nil, errList
	}
	if len(s.elements) == 1 && len(bytes.TrimSpace(s.elements[0])) == 0 {
		return nil, nil
	}
	return s.elements, nil
}

// splitter splits the elements of a JSON array at the commas that are outside of strings, arrays and
// objects.
type splitter struct {
	body     []byte
	elements [][]byte
	start    int
	depth    int
	inString bool
}

// split reports whether all strings, arrays and objects end.
func (s *splitter) split() bool {
	for i := 0; i < len(s.body); i++ {
		if s.inString {
			i = s.skipInString(i)
			continue
		}
		switch s.body[i] {
		case '"':
			s.inString = true
		case '[', '{':
			s.depth++
		case ']', '}':
			s.depth--
		case ',':
			s.endElement(i)
		}
		if s.depth < 0 {
			return false
		}
	}
	s.endElement(len(s.body))
	return s.depth == 0 && !s.inString
}

// skipInString handles the byte at i within a string and returns the index of the last byte that it
// handled.
func (s *splitter) skipInString(i int) int {
	switch s.body[i] {
	case '\\':
		return i + 1
	case '"':
		s.inString = false
	}
	return i
}

// endElement ends an element before i, unless i is inside of it.
func (s *splitter) endElement(i int) {
	if s.depth == 0 {
		s.elements = append(s.elements, s.body[s.start:i])
		s.start = i + 1
	}
}
