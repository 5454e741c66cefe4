package follower

import (
	"sync"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/config/changer"
	"github.com/cuminwick/cuminwick/internal/config/declarer"
	"github.com/cuminwick/cuminwick/internal/config/encoder"
)

// Delivery is the file of a revision as one host sends it to another: whole in Body, or
// as a change from the base that the receiver holds. One of the two is set.
type Delivery struct {
	Body   *encoder.Body
	Change *encoder.Change
}

// revisionFile is the file of a revision in the forms in which it is sent to other hosts.
type revisionFile struct {
	revision declarer.Revision
	file     *declarer.File
	digest   string
	// change makes the file from the one that was in force before it, nil if unknown or
	// not worthwhile.
	change *encoder.Change

	mu sync.Mutex
	// body is the packed whole file; a host that received a change makes it on demand.
	body *encoder.Body
	// document is made once a change from the file or to it is computed or applied.
	document *changer.Document
}

// unpack decodes a whole file and computes its change from b, to be sent to other hosts.
func (b base) unpack(w encoder.Body) (*revisionFile, error) {
	f, err := encoder.Unpack(w)
	if err != nil {
		return nil, errors.Trace(err)
	}
	n := &revisionFile{revision: w.Revision, file: f, digest: w.Digest, body: &w}
	n.computeChange(b)
	return n, nil
}

// loadDocument returns the file with the text of each of its parts. It returns
// changer.ErrMismatch if this version encodes the file to another text than its writer
// did; no change can be made from such a file or to it.
func (f *revisionFile) loadDocument() (*changer.Document, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.document != nil {
		return f.document, nil
	}
	d, err := changer.NewDocument(f.file)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if d.Digest != f.digest {
		return nil, errors.Annotatef(changer.ErrMismatch, "text of revision %d", f.revision)
	}
	f.document = d
	return d, nil
}

// computeChange computes the change from b in advance, because many hosts request it.
// Without a usable or worthwhile change f.change stays nil.
func (f *revisionFile) computeChange(b base) {
	if b.current == nil {
		return
	}
	x, err := b.current.loadDocument()
	if err != nil {
		return
	}
	y, err := f.loadDocument()
	if err != nil {
		return
	}
	p, err := changer.Make(x, y)
	if err == nil && changer.Worthwhile(len(p), len(f.body.Packed)) {
		f.change = &encoder.Change{Revision: f.revision, Base: b.revision, Packed: p}
	}
}

// apply makes the file of c.Revision by applying c to b.
func (b base) apply(c *encoder.Change) (*revisionFile, error) {
	x, err := b.current.loadDocument()
	if err != nil {
		return nil, err
	}
	y, err := changer.Apply(x, c.Packed, b.digest)
	if err != nil {
		return nil, errors.Annotatef(err, "revision %d from %d", c.Revision, c.Base)
	}
	return &revisionFile{revision: c.Revision, file: y.File, digest: y.Digest, change: c, document: y}, nil
}

// whole returns the packed whole file.
func (f *revisionFile) whole() (encoder.Body, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.body == nil {
		p, d, err := encoder.Pack(*f.file)
		if err != nil {
			return encoder.Body{}, errors.Annotatef(err, "revision %d", f.revision)
		}
		f.body = &encoder.Body{Revision: f.revision, Digest: d, Packed: p}
	}
	return *f.body, nil
}

// Deliver returns the file of r for a host that holds the file of base, zero for none; false
// if this host doesn't hold the file of r.
func (h *Host) Deliver(r, base declarer.Revision) (Delivery, bool) {
	h.once.Do(h.init)
	h.mu.Lock()
	f, ok := h.files[r]
	h.mu.Unlock()
	if !ok {
		return Delivery{}, false
	}
	if base != 0 && f.change.Matches(base, r) {
		return Delivery{Change: f.change}, true
	}
	b, err := f.whole()
	if err != nil {
		h.Log.WithError(err).Error("configuration file can't be packed for another host")
		return Delivery{}, false
	}
	return Delivery{Body: &b}, true
}
