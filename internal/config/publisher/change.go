package publisher

import (
	"context"

	"github.com/cuminwick/cuminwick/internal/config/changer"
	"github.com/cuminwick/cuminwick/internal/config/encoder"
)

// changeTo returns what makes the file of e out of the one in force, nil where that
// isn't worth a place in the head or can't be told. Hosts then take the whole file.
func (r *run) changeTo(ctx context.Context, e encoder.Entry) *encoder.Change {
	if r.file == nil || e.From == 0 {
		return nil
	}
	if !r.change.Matches(e.From, e.Revision) {
		r.change = &encoder.Change{Base: e.From, Revision: e.Revision, Packed: r.differences(ctx, e)}
	}
	if n := len(r.change.Packed); n == 0 || n > encoder.MaximumHeadChangeBytes || !changer.Worthwhile(n, len(r.packed)) {
		return nil
	}
	return r.change
}

// differences returns what differs from the file in force, nothing where that can't
// be read.
func (r *run) differences(ctx context.Context, e encoder.Entry) []byte {
	f := r.operator.last.Load()
	if f == nil || f.revision != e.From {
		if _, err := r.operator.File(ctx, e.From); err != nil {
			return nil
		}
		f = r.operator.last.Load()
	}
	if f.revision != e.From {
		// Another command of the same operator has read another file meanwhile.
		return nil
	}
	a, err := changer.NewDocument(&f.file)
	if err != nil || a.Digest != f.digest {
		return nil
	}
	b, err := changer.NewDocument(r.file)
	if err != nil || b.Digest != e.Digest {
		return nil
	}
	p, err := changer.Make(a, b)
	if err != nil {
		return nil
	}
	return p
}
