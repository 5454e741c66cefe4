package changer

import (
	"bytes"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/config/encoder"
	peer "github.com/cuminwick/cuminwick/internal/peer/encoder"
)

// Errors of changes; after either of them the whole file has to be fetched.
const (
	// ErrMalformed reports that a change can't be decoded, refers to entries that its base
	// doesn't have, or would produce a file above the size limits.
	ErrMalformed = errors.ConstError("change of the configuration is malformed")
	// ErrMismatch reports that a change doesn't produce the expected file: it was made
	// from another base, for another revision, or by another version of cuminwick.
	ErrMismatch = errors.ConstError("change leads to another file")
)

// edits describes each list of the new file as runs of entries, nil for a nil list.
type edits struct {
	Groups []entryRun `cbor:"1,keyasint"`
	Rules  []entryRun `cbor:"2,keyasint"`
	Limits []entryRun `cbor:"3,keyasint"`
	Teams  []entryRun `cbor:"4,keyasint"`
}

// entryRun is Count entries of the base starting at its entry From or, if Count is zero,
// one new entry with the given Text.
//
// Entries are identified by index rather than by name: the digest ensures that the base
// is the file from which the change was made, and indexes also work for duplicate names.
type entryRun struct {
	From  int    `cbor:"1,keyasint,omitempty"`
	Count int    `cbor:"2,keyasint,omitempty"`
	Text  []byte `cbor:"3,keyasint,omitempty"`
}

// Make returns the packed change that makes b from a.
func Make(a, b *Document) ([]byte, error) {
	p, err := peer.Marshal(edits{
		Groups: computeRuns(a.groups, b.groups),
		Rules:  computeRuns(a.rules, b.rules),
		Limits: computeRuns(a.limits, b.limits),
		Teams:  computeRuns(a.teams, b.teams),
	})
	if err != nil {
		return nil, err
	}
	return pack(p, a.compressionDictionary())
}

// Worthwhile reports whether a packed change of change bytes is small enough, compared
// with the packed file of file bytes, that sending and applying it is cheaper.
func Worthwhile(change, file int) bool {
	return change < file/2
}

// computeRuns returns the runs that make b from a, nil if b is nil.
func computeRuns(a, b entryTexts) []entryRun {
	if b == nil {
		return nil
	}
	r := []entryRun{}
	x := entryFinder{base: a}
	for _, t := range b {
		i := x.find(t)
		n := len(r) - 1
		switch {
		case i < 0:
			r = append(r, entryRun{Text: t})
		case n >= 0 && r[n].Count > 0 && r[n].From+r[n].Count == i:
			r[n].Count++
		default:
			r = append(r, entryRun{From: i, Count: 1})
		}
	}
	return r
}

// entryFinder finds entries in a list, fast if they are looked up mostly in its order.
type entryFinder struct {
	base entryTexts
	// next is the index after that of the entry found last.
	next int
	// indexes holds the first index of each text; it is made once an entry isn't at its
	// expected index.
	indexes map[string]int
}

// find returns the index of t, negative if the base doesn't have it.
func (x *entryFinder) find(t []byte) int {
	i := x.lookUp(t)
	if i >= 0 {
		x.next = i + 1
	}
	return i
}

func (x *entryFinder) lookUp(t []byte) int {
	// After an entry that was changed or removed the next one is off by one.
	for i := x.next; i < min(x.next+2, len(x.base)); i++ {
		if bytes.Equal(x.base[i], t) {
			return i
		}
	}
	if x.indexes == nil {
		x.indexes = make(map[string]int, len(x.base))
		for i, b := range x.base {
			if _, ok := x.indexes[string(b)]; !ok {
				x.indexes[string(b)] = i
			}
		}
	}
	if i, ok := x.indexes[string(t)]; ok {
		return i
	}
	return -1
}

// Apply applies a packed change to a and returns the document with the given digest. A
// change that was truncated, altered or made from another base fails with ErrMalformed,
// or produces another digest and fails with ErrMismatch.
func Apply(a *Document, change []byte, digest string) (*Document, error) {
	if len(change) > encoder.MaximumChangeBytes {
		return nil, errors.Annotatef(ErrMalformed, "%d bytes", len(change))
	}
	p, err := unpack(change, a.compressionDictionary())
	if err != nil {
		return nil, err
	}
	var e edits
	if err := peer.Unmarshal(p, &e); err != nil {
		return nil, errors.Annotatef(ErrMalformed, "%v", err)
	}
	b, err := applyEdits(a, e)
	if err != nil {
		return nil, err
	}
	if b.Digest = b.computeDigest(); b.Digest != digest {
		return nil, errors.Annotatef(ErrMismatch, "digest %s", b.Digest)
	}
	return b, nil
}
