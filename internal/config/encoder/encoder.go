// Package encoder defines the configuration's objects in the platform and their coding.
package encoder

import (
	"bytes"
	"cmp"
	"compress/gzip"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"slices"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/config/declarer"
	"github.com/cuminwick/cuminwick/internal/platform/accessor"
)

// Names of the objects.
const (
	// HeadKind and HeadName name the one object that says what is accepted and staged.
	HeadKind = "configuration"
	HeadName = "current"
	// BodyKind holds the files, one in each of RevisionSlots slots.
	BodyKind = "configuration-revision"
	// HolderKind holds what the hosts say about themselves, one object for each
	// host that doesn't report through a relay.
	HolderKind = "configuration-holder"
)

// RevisionSlots is how many revisions are kept; a revision's file lies in the
// slot of its number modulo RevisionSlots.
const RevisionSlots = 64

// MaximumFileBytes bounds what an unpacked file may take up in memory.
const MaximumFileBytes = 16 << 20

const (
	// MaximumChangeBytes bounds a packed change between two files.
	MaximumChangeBytes = 1 << 20
	// MaximumHeadChangeBytes bounds a change that goes into the head. Each relay
	// reads the head and passes it on to each host of its zone, and it is written
	// three times at each apply; a larger change is made by the relays from the file.
	MaximumHeadChangeBytes = 4 << 10
)

// Errors of stored objects.
const (
	// ErrOtherRevision says that the slot holds another revision.
	ErrOtherRevision = errors.ConstError("slot holds another revision")
	// ErrDigest says that a file doesn't match its digest.
	ErrDigest = errors.ConstError("file doesn't match its digest")
	// ErrUnreadable says that this version of cuminwick can't read the file.
	ErrUnreadable = errors.ConstError("file can't be read")
)

// Entry describes one revision.
type Entry struct {
	Revision declarer.Revision `json:"revision"`
	// ID is the id of the apply that staged the revision.
	ID string `json:"id"`
	// Operator is who applied it.
	Operator string `json:"operator"`
	// From is the revision that was in force when it was staged.
	From declarer.Revision `json:"from"`
	// Digest is the digest of the file.
	Digest string `json:"digest"`
	// StagedAt is the operator's clock when it was staged, for people to read.
	StagedAt time.Time `json:"at"`
	// Note says more about it, for instance that it is an earlier revision again.
	Note string `json:"note,omitempty"`
}

// Head says which revision is accepted and which one is staged.
type Head struct {
	Accepted declarer.Revision `json:"accepted"`
	// Highest is the highest number that was ever given; none is used twice.
	Highest declarer.Revision `json:"highest"`
	// Staged is the revision that hosts are to get ready for, nil if none.
	Staged *Entry `json:"staged,omitempty"`
	// Change makes the staged file out of the accepted one, nil if it isn't worth
	// it. Versions that don't know it leave it out, and hosts then take the file. It
	// may hold roles' verifiers, so it is stored and passed on between hosts, but
	// stands in nothing else that is made of a head.
	Change *Change `json:"-" cbor:"change,omitempty"`
	// History holds the accepted revisions, the latest first.
	History []Entry `json:"history,omitempty"`
}

// Find returns the accepted entry of apply id.
func (h Head) Find(id string) (Entry, bool) {
	for _, e := range h.History {
		if e.ID == id {
			return e, true
		}
	}
	return Entry{}, false
}

// Latest returns the entry of the accepted revision, zero if there is none.
func (h Head) Latest() Entry {
	if len(h.History) == 0 {
		return Entry{}
	}
	return h.History[0]
}

// Holder is what one host says about itself.
type Holder struct {
	Host             string `json:"host"`
	Incarnation      string `json:"incarnation"`
	AvailabilityZone string `json:"availability-zone"`
	// Ready is the staged revision that the host has read and can put in force.
	Ready declarer.Revision `json:"ready,omitempty"`
	// Refused is a staged revision that the host can't put in force.
	Refused declarer.Revision `json:"refused,omitempty"`
	// Reason says why it was refused.
	Reason string `json:"reason,omitempty"`
	// InForce is the revision that the host decides by.
	InForce declarer.Revision `json:"in-force"`
	// Retired marks an object that the next new host of the zone may take over.
	Retired bool `json:"retired,omitempty"`
	// Left says that Host doesn't count any more, but its members do. The next
	// host of the zone that needs an object may take it over with them.
	Left bool `json:"left,omitempty"`
	// Members are the hosts that report through Host as their relay.
	Members []HostReport `json:"members,omitempty"`
	// Relay names the host whose object says this, where it isn't Host itself. It
	// is filled in by Count and isn't stored.
	Relay string `json:"relay,omitempty"`
	// ReportedAt is the host's clock at its last report, for people to read.
	ReportedAt time.Time `json:"reported-at"`
}

// Body is one revision's file.
type Body struct {
	Revision declarer.Revision `json:"revision"`
	Digest   string            `json:"digest"`
	// Packed is the file as gzipped JSON.
	Packed []byte `json:"packed"`
}

// Change makes one revision's file out of another one's. It counts only where it
// leads to the digest that the head names.
type Change struct {
	Revision declarer.Revision `json:"revision"`
	// Base is the revision whose file it starts from.
	Base declarer.Revision `json:"base"`
	// Packed is what differs, as package changer codes it.
	Packed []byte `json:"packed"`
}

// Matches reports whether c makes r's file out of base's.
func (c *Change) Matches(base, r declarer.Revision) bool {
	return c != nil && c.Base == base && c.Revision == r
}

// Slot returns the name of the object that holds r's file.
func Slot(r declarer.Revision) string {
	return strconv.FormatUint(uint64(r%RevisionSlots), 10)
}

// NextRevision returns the number of the next revision to be staged on h. It skips
// numbers that would overwrite the accepted revision's slot.
func NextRevision(h Head) declarer.Revision {
	r := h.Highest + 1
	if h.Accepted != 0 && r%RevisionSlots == h.Accepted%RevisionSlots {
		r++
	}
	return r
}

// Pack codes f; its digest covers all that it sets, not where it came from.
func Pack(f declarer.File) (packed []byte, digest string, err error) {
	f.EditedFrom = 0
	b, err := json.Marshal(f)
	if err != nil {
		return nil, "", errors.Annotate(err, "encode configuration")
	}
	var w bytes.Buffer
	z := gzip.NewWriter(&w)
	if _, err := z.Write(b); err != nil {
		return nil, "", errors.Annotate(err, "compress configuration")
	}
	if err := z.Close(); err != nil {
		return nil, "", errors.Annotate(err, "compress configuration")
	}
	if w.Len() > accessor.MaximumValueBytes*3/4-1024 {
		return nil, "", errors.Annotatef(accessor.ErrTooLarge, "configuration of %d bytes, packed %d", len(b), w.Len())
	}
	return w.Bytes(), sum(b), nil
}

// Unpack decodes the file of b and checks its digest.
func Unpack(b Body) (*declarer.File, error) {
	z, err := gzip.NewReader(bytes.NewReader(b.Packed))
	if err != nil {
		return nil, errors.Annotatef(ErrDigest, "unpack revision %d: %v", b.Revision, err)
	}
	j, err := io.ReadAll(io.LimitReader(z, MaximumFileBytes))
	if err != nil {
		return nil, errors.Annotatef(ErrDigest, "unpack revision %d: %v", b.Revision, err)
	}
	if sum(j) != b.Digest {
		return nil, errors.Annotatef(ErrDigest, "unpack revision %d", b.Revision)
	}
	// A key that this version doesn't know would be left out in silence, and
	// two hosts would decide differently under one revision.
	d := json.NewDecoder(bytes.NewReader(j))
	d.DisallowUnknownFields()
	var f declarer.File
	if err := d.Decode(&f); err != nil {
		return nil, errors.Annotatef(ErrUnreadable, "decode revision %d: %v", b.Revision, err)
	}
	return &f, nil
}

func sum(b []byte) string {
	s := sha256.Sum256(b)
	return hex.EncodeToString(s[:])
}

// Encode codes a Head, Holder or Body as an object's value.
func Encode[T Head | Holder | Body](v T) ([]byte, error) {
	var o any = v
	if h, ok := o.(Head); ok {
		o = storedHead{Head: h, Change: h.Change}
	}
	b, err := json.Marshal(o)
	return b, errors.Annotate(err, "encode object")
}

// storedHead is a head as the platform holds it.
type storedHead struct {
	Head
	Change *Change `json:"change,omitempty"`
}

// Decode reads a Head, Holder or Body; an absent object gives the zero value.
func Decode[T Head | Holder | Body](o accessor.Object) (T, error) {
	var v T
	if o.Version == 0 {
		return v, nil
	}
	err := json.Unmarshal(o.Value, &v)
	if h, ok := any(&v).(*Head); ok && err == nil {
		var c struct {
			Change *Change `json:"change"`
		}
		err = json.Unmarshal(o.Value, &c)
		h.Change = c.Change
	}
	return v, errors.Annotatef(err, "decode object %s/%s version %d", o.Kind, o.Name, o.Version)
}

// DecodeHolders decodes the objects and returns the hosts that they stand for,
// ordered by zone and host.
func DecodeHolders(l []accessor.Object) ([]Holder, error) {
	var n []Holder
	for _, o := range l {
		h, err := Decode[Holder](o)
		if err != nil {
			return nil, err
		}
		n = append(n, h)
	}
	n = MergeHolders(n)
	slices.SortFunc(n, func(a, b Holder) int {
		return cmp.Or(cmp.Compare(a.AvailabilityZone, b.AvailabilityZone), cmp.Compare(a.Host, b.Host))
	})
	return n, nil
}
