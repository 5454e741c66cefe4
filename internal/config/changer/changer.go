package changer

import (
	"bytes"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/config/encoder"
	peer "github.com/cuminwick/cuminwick/internal/peer/encoder"
)

// Errors of changes; after each of them the whole file is needed.
const (
	// ErrMalformed says that a change can't be read, or asks for more than a file may hold.
	ErrMalformed = errors.ConstError("change of the configuration is malformed")
	// ErrMismatch says that a change doesn't lead to the file that was expected: it
	// was made from another base, for another revision, or by another version.
	ErrMismatch = errors.ConstError("change leads to another file")
)

// edits says how the lists of the next file come about.
type edits struct {
	Groups []run `cbor:"1,keyasint"`
	Rules  []run `cbor:"2,keyasint"`
	Limits []run `cbor:"3,keyasint"`
	Teams  []run `cbor:"4,keyasint"`
}

// run is Count entries of the base from its entry From on, or where Count is zero
// one entry of its own.
//
// Entries are named by their place, not by their names: that the base is the very
// file that the change was made from is known by its digest, and places also hold
// where a name comes twice.
type run struct {
	From  int    `cbor:"1,keyasint,omitempty"`
	Count int    `cbor:"2,keyasint,omitempty"`
	Text  []byte `cbor:"3,keyasint,omitempty"`
}

// Make returns what makes b out of a, packed.
func Make(a, b *Document) ([]byte, error) {
	p, err := peer.Marshal(edits{
		Groups: compare(a.groups, b.groups),
		Rules:  compare(a.rules, b.rules),
		Limits: compare(a.limits, b.limits),
		Teams:  compare(a.teams, b.teams),
	})
	if err != nil {
		return nil, err
	}
	return pack(p, a.sample())
}

// Worthwhile reports whether a change is enough smaller than the packed file that
// applying it is the cheaper way.
func Worthwhile(change, file int) bool {
	return change < file/2
}

// compare finds the runs of a that b consists of.
func compare(a, b list) []run {
	if b == nil {
		return nil
	}
	r := []run{}
	x := finder{base: a}
	for _, t := range b {
		i := x.find(t)
		n := len(r) - 1
		switch {
		case i < 0:
			r = append(r, run{Text: t})
		case n >= 0 && r[n].Count > 0 && r[n].From+r[n].Count == i:
			r[n].Count++
		default:
			r = append(r, run{From: i, Count: 1})
		}
	}
	return r
}

// finder finds entries in a list whose order is mostly kept.
type finder struct {
	base list
	// next is the entry after the one that was found last.
	next int
	// places is made only once an entry isn't where it is expected.
	places map[string]int
}

// find returns the place of t, negative if the base doesn't have it.
func (x *finder) find(t []byte) int {
	i := x.look(t)
	if i >= 0 {
		x.next = i + 1
	}
	return i
}

func (x *finder) look(t []byte) int {
	// An entry that was changed or taken out is one place off.
	for i := x.next; i < min(x.next+2, len(x.base)); i++ {
		if bytes.Equal(x.base[i], t) {
			return i
		}
	}
	if x.places == nil {
		x.places = make(map[string]int, len(x.base))
		for i, b := range x.base {
			if _, ok := x.places[string(b)]; !ok {
				x.places[string(b)] = i
			}
		}
	}
	if i, ok := x.places[string(t)]; ok {
		return i
	}
	return -1
}

// Apply makes the file with the given digest out of a and a change, or fails and
// makes nothing: a change that was cut short, altered or made from another base
// leads to another digest if it leads anywhere.
func Apply(a *Document, change []byte, digest string) (*Document, error) {
	if len(change) > encoder.MaximumChangeBytes {
		return nil, errors.Annotatef(ErrMalformed, "%d bytes", len(change))
	}
	p, err := unpack(change, a.sample())
	if err != nil {
		return nil, err
	}
	var e edits
	if err := peer.Unmarshal(p, &e); err != nil {
		return nil, errors.Annotatef(ErrMalformed, "%v", err)
	}
	b, err := build(a, e)
	if err != nil {
		return nil, err
	}
	if b.Digest = b.sum(); b.Digest != digest {
		return nil, errors.Annotatef(ErrMismatch, "digest %s", b.Digest)
	}
	return b, nil
}
