package publisher_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cuminwick/cuminwick/internal/config/applier"
	"github.com/cuminwick/cuminwick/internal/config/encoder"
	"github.com/cuminwick/cuminwick/internal/config/publisher"
	"github.com/cuminwick/cuminwick/internal/platform/accessor"
	"github.com/cuminwick/cuminwick/internal/standin/storekeeper"
)

// countingPlatform counts the files that an operator reads and the changes that it stages in the head.
type countingPlatform struct {
	accessor.Platform
	fileReads, changes atomic.Int32
}

// Get implements accessor.Platform.
func (p *countingPlatform) Get(ctx context.Context, kind, name string) (accessor.Object, error) {
	o, err := p.Platform.Get(ctx, kind, name)
	if kind == encoder.BodyKind && err == nil {
		p.fileReads.Add(1)
	}
	return o, err
}

// Put implements accessor.Platform.
func (p *countingPlatform) Put(ctx context.Context, o accessor.Object) (accessor.Object, error) {
	h, err := encoder.Decode[encoder.Head](accessor.Object{Version: 1, Value: o.Value})
	switch {
	case err != nil || o.Kind != encoder.HeadKind:
	case h.Change.Matches(h.Accepted, h.Highest):
		p.changes.Add(1)
	case h.Change != nil:
		return o, context.Canceled
	}
	return p.Platform.Put(ctx, o)
}

// An operator previews a file and applies it. Reading the file in force again would leave other
// operators time to put the head first. The change may be in the head only while its revision is
// staged: a change left in the head afterwards would be read by every host at every report.
func TestChangeIsInHeadOnlyWhileStaged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &storekeeper.Store{}
		d := deploy(s, 3)
		defer d.end()
		time.Sleep(time.Second)
		p := &countingPlatform{Platform: s}
		o := &publisher.Operator{Platform: p, Name: "anna"}
		f := largeFile(50)
		for n, want := range []int32{0, 1, 2} {
			f.Limits.QueueLength = n + 1
			if _, _, err := o.Preview(t.Context(), f); err != nil {
				t.Fatal(err)
			}
			p.fileReads.Store(0)
			if r, err := o.Apply(t.Context(), f, publisher.Options{}); err != nil || r.Outcome != applier.InForce {
				t.Fatalf("got %+v, error %v", r, err)
			}
			if p.fileReads.Load() != 0 || p.changes.Load() != want {
				t.Errorf("%d files read, %d changes staged, want %d", p.fileReads.Load(), p.changes.Load(), want)
			}
		}
		c, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		d.platforms[0].setCut(true)
		f.Limits.QueueLength = 9
		if r, err := o.Apply(c, f, publisher.Options{}); err != nil || r.Outcome != applier.Withdrawn {
			t.Errorf("got %+v, error %v", r, err)
		}
		if b, err := s.Get(t.Context(), encoder.HeadKind, encoder.HeadName); err != nil {
			t.Error(err)
		} else if h, err := encoder.Decode[encoder.Head](b); err != nil || h.Change != nil || p.changes.Load() != 3 {
			t.Errorf("%d changes staged, left %+v, error %v", p.changes.Load(), h.Change, err)
		}
	})
}
