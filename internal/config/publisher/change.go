package publisher

import (
	"context"

	"github.com/cuminwick/cuminwick/internal/config/changer"
	"github.com/cuminwick/cuminwick/internal/config/encoder"
)

// changeTo returns the change from the file in force to the file of e. It returns nil if the change
// is too large for the head, saves too little or can't be made; hosts then fetch the whole file.
func (r *run) changeTo(ctx context.Context, e encoder.Entry) *encoder.Change {
	if r.file == nil || e.From == 0 {
		return nil
	}
	if !r.change.Matches(e.From, e.Revision) {
		r.change = &encoder.Change{Base: e.From, Revision: e.Revision, Packed: r.packChange(ctx, e)}
	}
	if n := len(r.change.Packed); n == 0 || n > encoder.MaximumHeadChangeBytes || !changer.Worthwhile(n, len(r.packed)) {
		return nil
	}
	return r.change
}

// packChange returns the packed change from the file in force to the file of e, nil if the file in
// force can't be read or one of the files doesn't match its digest.
func (r *run) packChange(ctx context.Context, e encoder.Entry) []byte {
	f := r.operator.lastRead.Load()
	if f == nil || f.revision != e.From {
		if _, err := r.operator.File(ctx, e.From); err != nil {
			return nil
		}
		f = r.operator.lastRead.Load()
	}
	if f.revision != e.From {
		// Another command of the same Operator has read another file meanwhile.
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
