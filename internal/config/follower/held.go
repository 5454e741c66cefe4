package follower

import (
	"sync"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/config/changer"
	"github.com/cuminwick/cuminwick/internal/config/declarer"
	"github.com/cuminwick/cuminwick/internal/config/encoder"
)

// Delivery is a revision's file as one host passes it on to another: whole, or as
// what differs from the base that the other one holds.
type Delivery struct {
	Body   *encoder.Body
	Change *encoder.Change
}

// held is a revision's file with what is passed on of it.
type held struct {
	revision declarer.Revision
	file     *declarer.File
	digest   string
	// change is what differs from the file before, nil if that isn't known.
	change *encoder.Change

	mu sync.Mutex
	// body is the whole file; a host that took a change makes it when it is asked for.
	body *encoder.Body
	// document is made once a change starts from the file or leads to it.
	document *changer.Document
}

// unpack reads a whole file, and makes what differs from b to pass on.
func (b base) unpack(w encoder.Body) (*held, error) {
	f, err := encoder.Unpack(w)
	if err != nil {
		return nil, errors.Trace(err)
	}
	n := &held{revision: w.Revision, file: f, digest: w.Digest, body: &w}
	n.compare(b)
	return n, nil
}

// split returns the file part by part. Where its text isn't the one that this
// version would write, no change can start from it or lead to it.
func (f *held) split() (*changer.Document, error) {
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

// compare makes what differs from base, which many hosts will ask for.
func (f *held) compare(b base) {
	if b.held == nil {
		return
	}
	x, err := b.held.split()
	if err != nil {
		return
	}
	y, err := f.split()
	if err != nil {
		return
	}
	p, err := changer.Make(x, y)
	if err == nil && changer.Worthwhile(len(p), len(f.body.Packed)) {
		f.change = &encoder.Change{Revision: f.revision, Base: b.revision, Packed: p}
	}
}

// apply makes the next file of b.
func (b base) apply(c *encoder.Change) (*held, error) {
	x, err := b.held.split()
	if err != nil {
		return nil, err
	}
	y, err := changer.Apply(x, c.Packed, b.digest)
	if err != nil {
		return nil, errors.Annotatef(err, "revision %d from %d", c.Revision, c.Base)
	}
	return &held{revision: c.Revision, file: y.File, digest: y.Digest, change: c, document: y}, nil
}

// whole returns the whole file.
func (f *held) whole() (encoder.Body, error) {
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

// Deliver returns r's file for a host that holds base's file, zero for none; false
// if this host doesn't hold it.
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
		h.Log.WithError(err).Error("file can't be passed on")
		return Delivery{}, false
	}
	return Delivery{Body: &b}, true
}
