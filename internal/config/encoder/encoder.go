// Package encoder defines and encodes the objects that hold the configuration on the platform.
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

// Kinds and names of the objects.
const (
	// HeadKind and HeadName are the kind and name of the single object that holds the Head.
	HeadKind = "configuration"
	HeadName = "current"
	// BodyKind is the kind of the objects that hold files, one in each of RevisionSlots slots.
	BodyKind = "configuration-revision"
	// HolderKind is the kind of the objects in which hosts report their state, one for
	// each host that doesn't report through a relay.
	HolderKind = "configuration-holder"
)

// RevisionSlots is the number of revisions whose files are kept; a file is stored in the
// slot given by its revision modulo RevisionSlots.
const RevisionSlots = 64

// MaximumFileBytes bounds the size of an unpacked file.
const MaximumFileBytes = 16 << 20

const (
	// MaximumChangeBytes bounds a packed change between two files.
	MaximumChangeBytes = 1 << 20
	// MaximumHeadChangeBytes bounds a packed change that is stored in the head. Each apply
	// writes the head three times, and each relay reads it and sends it to every host of
	// its zone. A larger change is computed by the relays from the file.
	MaximumHeadChangeBytes = 4 << 10
)

// Errors of stored objects.
const (
	// ErrOtherRevision reports that a slot holds the file of another revision.
	ErrOtherRevision = errors.ConstError("slot holds another revision")
	// ErrDigest reports that a file is damaged or doesn't match its digest.
	ErrDigest = errors.ConstError("file doesn't match its digest")
	// ErrUnreadable reports that this version of cuminwick can't decode a file.
	ErrUnreadable = errors.ConstError("file can't be read")
)

// Entry describes one revision.
type Entry struct {
	Revision declarer.Revision `json:"revision"`
	// ID identifies the apply that staged the revision.
	ID string `json:"id"`
	// Operator is the name of the operator who applied it.
	Operator string `json:"operator"`
	// From is the revision that was accepted when this one was staged.
	From declarer.Revision `json:"from"`
	// Digest is the SHA-256 digest of the file's JSON text in hexadecimal.
	Digest string `json:"digest"`
	// StagedAt is when the revision was staged by the operator's clock; for display only.
	StagedAt time.Time `json:"at"`
	// Note is a remark on the revision, for instance that it restores an earlier one.
	Note string `json:"note,omitempty"`
}

// Head states which revision is accepted and which one is staged.
type Head struct {
	Accepted declarer.Revision `json:"accepted"`
	// Highest is the highest revision number ever assigned; numbers are not reused.
	Highest declarer.Revision `json:"highest"`
	// Staged is the revision that hosts have to prepare for, nil if none.
	Staged *Entry `json:"staged,omitempty"`
	// Change makes the staged file from the accepted one, nil if it isn't worthwhile.
	// Versions that don't support it omit it, and hosts then fetch the whole file. It may
	// contain verifiers of roles, so it is stored and sent between hosts, but left out
	// of the JSON that is shown to readers.
	Change *Change `json:"-" cbor:"change,omitempty"`
	// History lists the accepted revisions, latest first.
	History []Entry `json:"history,omitempty"`
}

// Find returns the accepted entry with the given ID.
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

// Holder is the state that one host reports in its object, with its members if it is a relay.
type Holder struct {
	Host             string `json:"host"`
	Incarnation      string `json:"incarnation"`
	AvailabilityZone string `json:"availability-zone"`
	// Ready is the highest revision that the host has fetched and can put in force.
	Ready declarer.Revision `json:"ready,omitempty"`
	// Refused is a staged revision that the host can't put in force, zero if none.
	Refused declarer.Revision `json:"refused,omitempty"`
	// Reason is the error for which Refused can't be put in force.
	Reason string `json:"reason,omitempty"`
	// InForce is the revision that the host decides by.
	InForce declarer.Revision `json:"in-force"`
	// Retired marks a free object, which the next new host of the zone may take over.
	Retired bool `json:"retired,omitempty"`
	// Left says that Host has stopped or doesn't use the object any more, but its members
	// still do. The next host of the zone that needs an object may take it over with them.
	Left bool `json:"left,omitempty"`
	// Members are the reports of the hosts that use Host as their relay.
	Members []HostReport `json:"members,omitempty"`
	// Relay is the host in whose object the report is stored, empty if that is Host
	// itself. It is set by MergeHolders and isn't stored.
	Relay string `json:"relay,omitempty"`
	// ReportedAt is when the host last reported; for display only.
	ReportedAt time.Time `json:"reported-at"`
}

// Body is the packed file of one revision.
type Body struct {
	Revision declarer.Revision `json:"revision"`
	Digest   string            `json:"digest"`
	// Packed is the file as JSON compressed with gzip.
	Packed []byte `json:"packed"`
}

// Change makes the file of Revision from the file of Base. A host uses the result only if it
// has the digest that the head states.
type Change struct {
	Revision declarer.Revision `json:"revision"`
	// Base is the revision whose file the change is applied to.
	Base declarer.Revision `json:"base"`
	// Packed is the change as encoded by package changer.
	Packed []byte `json:"packed"`
}

// Matches reports whether c makes the file of r from the file of base; false for nil.
func (c *Change) Matches(base, r declarer.Revision) bool {
	return c != nil && c.Base == base && c.Revision == r
}

// Slot returns the name of the object that holds the file of r.
func Slot(r declarer.Revision) string {
	return strconv.FormatUint(uint64(r%RevisionSlots), 10)
}

// NextRevision returns the number of the next revision to be staged on h. It skips
// a number whose slot holds the accepted revision, so that its file isn't overwritten.
func NextRevision(h Head) declarer.Revision {
	r := h.Highest + 1
	if h.Accepted != 0 && r%RevisionSlots == h.Accepted%RevisionSlots {
		r++
	}
	return r
}

// Pack encodes and compresses f. Neither the result nor the digest includes EditedFrom. It
// returns accessor.ErrTooLarge if the file doesn't fit into one object.
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
	return w.Bytes(), hexDigest(b), nil
}

// Unpack decodes the file of b. It returns ErrDigest if the file is damaged or doesn't match
// its digest, and ErrUnreadable if it can't be decoded.
func Unpack(b Body) (*declarer.File, error) {
	z, err := gzip.NewReader(bytes.NewReader(b.Packed))
	if err != nil {
		return nil, errors.Annotatef(ErrDigest, "unpack revision %d: %v", b.Revision, err)
	}
	j, err := io.ReadAll(io.LimitReader(z, MaximumFileBytes))
	if err != nil {
		return nil, errors.Annotatef(ErrDigest, "unpack revision %d: %v", b.Revision, err)
	}
	if hexDigest(j) != b.Digest {
		return nil, errors.Annotatef(ErrDigest, "unpack revision %d", b.Revision)
	}
	// Unknown keys are refused: if this version ignored a key of a later one, two
	// hosts would decide differently under one revision.
	d := json.NewDecoder(bytes.NewReader(j))
	d.DisallowUnknownFields()
	var f declarer.File
	if err := d.Decode(&f); err != nil {
		return nil, errors.Annotatef(ErrUnreadable, "decode revision %d: %v", b.Revision, err)
	}
	return &f, nil
}

func hexDigest(b []byte) string {
	s := sha256.Sum256(b)
	return hex.EncodeToString(s[:])
}

// Encode encodes a Head, Holder or Body as an object's value.
func Encode[T Head | Holder | Body](v T) ([]byte, error) {
	var o any = v
	if h, ok := o.(Head); ok {
		o = storedHead{Head: h, Change: h.Change}
	}
	b, err := json.Marshal(o)
	return b, errors.Annotate(err, "encode object")
}

// storedHead is a Head in the form in which the platform stores it, with its Change.
type storedHead struct {
	Head
	Change *Change `json:"change,omitempty"`
}

// Decode decodes an object's value; an object that doesn't exist gives the zero value.
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

// DecodeHolders decodes the objects of HolderKind and returns the hosts that they hold,
// merged by MergeHolders and ordered by zone and host.
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
