package sharer_test

import (
	"context"
	"crypto/sha256"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cuminwick/cuminwick/internal/config/adopter"
	"github.com/cuminwick/cuminwick/internal/config/applier"
	"github.com/cuminwick/cuminwick/internal/config/declarer"
	"github.com/cuminwick/cuminwick/internal/config/encoder"
	"github.com/cuminwick/cuminwick/internal/config/publisher"
	"github.com/cuminwick/cuminwick/internal/config/sharer"
	"github.com/cuminwick/cuminwick/internal/platform/accessor"
)

// transferMeter counts how files come to the hosts of a region, and may spoil the changes
// on their way.
type transferMeter struct {
	mu                         sync.Mutex
	fileReads, bodies, changes int
	// old says that the hosts asked are of a version that knows no changes.
	old bool
	// spoil alters the packed change, nil for none.
	spoil func(p []byte) []byte
}

func (m *transferMeter) reset() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fileReads, m.bodies, m.changes = 0, 0, 0
}

func (m *transferMeter) expect(t *testing.T, read, bodies, passed int) {
	t.Helper()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.fileReads != read || m.bodies != bodies || m.changes != passed {
		t.Errorf("%d files read from the platform, %d passed on whole, %d as changes; want %d, %d and %d",
			m.fileReads, m.bodies, m.changes, read, bodies, passed)
	}
}

// alter returns c as it arrives.
func (m *transferMeter) alter(c *encoder.Change) *encoder.Change {
	if m.old {
		return nil
	}
	if c == nil || m.spoil == nil {
		return c
	}
	x := *c
	x.Packed = m.spoil(append([]byte{}, c.Packed...))
	return &x
}

// ask counts what the answers hold.
func (m *transferMeter) ask(f func(context.Context, string, sharer.Question) (sharer.Share, error)) func(context.Context, string, sharer.Question) (sharer.Share, error) {
	return func(ctx context.Context, to string, q sharer.Question) (sharer.Share, error) {
		if m.old {
			q.Base = 0
		}
		a, err := f(ctx, to, q)
		m.mu.Lock()
		defer m.mu.Unlock()
		if a.Body != nil {
			m.bodies++
		}
		if a.Change != nil {
			m.changes++
			a.Change = m.alter(a.Change)
		}
		if a.Advice != nil && a.Advice.Sight != nil && a.Advice.Sight.Head != nil {
			h := *a.Advice.Sight.Head
			h.Change = m.alter(h.Change)
			a.Advice.Sight.Head = &h
		}
		return a, err
	}
}

// meteredPlatform is a platform that counts the files that hosts read.
type meteredPlatform struct {
	accessor.Platform
	meter *transferMeter
}

// Watch implements accessor.Platform.
func (p *meteredPlatform) Watch(ctx context.Context, kind, name string, after accessor.Version) (accessor.Object, error) {
	o, err := p.Platform.Watch(ctx, kind, name, after)
	p.meter.mu.Lock()
	defer p.meter.mu.Unlock()
	if kind == encoder.BodyKind {
		p.meter.fileReads++
	}
	if kind == encoder.HeadKind && err == nil {
		h, e := encoder.Decode[encoder.Head](o)
		if e == nil && h.Change != nil {
			h.Change = p.meter.alter(h.Change)
			o.Value, err = encoder.Encode(h)
		}
	}
	return o, err
}

// fileOfGroups makes a file of n fileOfGroups, of which the first one has a service of its own.
func fileOfGroups(n int, service string) declarer.File {
	var f declarer.File
	for i := range n {
		s := sha256.Sum256([]byte{byte(i), byte(i >> 8)})
		f.DatabaseGroups = append(f.DatabaseGroups, declarer.DatabaseGroup{Name: fmt.Sprintf("group-%x", s), Service: "service"})
	}
	f.DatabaseGroups[0].Service = service
	return f
}

// newMeteredRegion settles three zones of five hosts, of which two each are relays.
func newMeteredRegion() (*region, *transferMeter) {
	r, m := newRegion(), &transferMeter{}
	r.meter = m
	r.settle(5)
	return r, m
}

// awaitRelays waits until each host that has a relay follows it. A relay's sight is 4 to
// 8 s old at rest, and a host that asks it just then, or while timers coincide at a
// round second, turns to the platform for ten seconds.
func (r *region) awaitRelays() {
	for {
		time.Sleep(1300 * time.Millisecond)
		n := 0
		for _, x := range r.hosts {
			if len(x.sharer.Relays()) > 0 && x.host.Status().Relay == "" {
				n++
			}
		}
		if n == 0 {
			return
		}
	}
}

func (r *region) applyFile(t *testing.T, f declarer.File) {
	t.Helper()
	r.awaitRelays()
	o := &publisher.Operator{Platform: r.store, Name: "anna"}
	x, err := o.Apply(t.Context(), f, publisher.Options{})
	if err != nil || x.Outcome != applier.InForce {
		t.Fatalf("got %+v, error %v", x, err)
	}
	for n, x := range r.hosts {
		_, g := x.host.Current()
		if s := x.host.Status(); g.DatabaseGroups[0].Service != f.DatabaseGroups[0].Service || s.Standing != adopter.Confirmed {
			t.Errorf("host %s has %+v, %+v", n, g.DatabaseGroups[0], s)
		}
	}
}

// The first file comes whole: relays take it from the platform, the others from
// their relays. A small change then comes with the head alone, and nobody takes the file.
func TestSmallChangeComesWithTheHead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, m := newMeteredRegion()
		defer r.end()
		r.applyFile(t, fileOfGroups(500, "a"))
		m.expect(t, 6, 9, 0)
		m.reset()
		r.applyFile(t, fileOfGroups(500, "b"))
		m.expect(t, 0, 0, 0)
	})
}

// A change is too large for the head, where each host and operator would read it.
// Relays take the file from the platform and pass the difference on.
func TestLargeChangeComesFromTheRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, m := newMeteredRegion()
		defer r.end()
		r.applyFile(t, fileOfGroups(500, "a"))
		m.reset()
		f := fileOfGroups(750, "b")
		f.DatabaseGroups = f.DatabaseGroups[:650]
		r.applyFile(t, f)
		m.expect(t, 6, 0, 9)
	})
}

// A relay's memory, its version or the way to it spoils each change: it is cut
// short, altered, empty or another one. No host may decide by what comes of it, and none
// may stay behind: each takes the whole file.
func TestSpoiltChangesCostOnlyBytes(t *testing.T) {
	for n, f := range map[string]func(p []byte) []byte{
		"cut short": func(p []byte) []byte { return p[:len(p)/2] },
		"altered":   func(p []byte) []byte { p[len(p)/2]++; return p },
		"empty":     func([]byte) []byte { return nil },
	} {
		t.Run(n, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r, m := newMeteredRegion()
				defer r.end()
				r.applyFile(t, fileOfGroups(500, "a"))
				m.reset()
				m.spoil = f
				r.applyFile(t, fileOfGroups(500, "b"))
				// Each of the nine hosts is offered its relay's change once more.
				m.expect(t, 6, 9, 9)
			})
		})
	}
}

// The relays and operators of a zone are of a version that knows no changes, and
// its other hosts are new already. They must be served as before.
func TestOldVersionsPassFilesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, m := newMeteredRegion()
		defer r.end()
		r.applyFile(t, fileOfGroups(500, "a"))
		m.reset()
		m.old = true
		r.applyFile(t, fileOfGroups(500, "b"))
		m.expect(t, 6, 9, 0)
	})
}

// A host is paused while two changes come into force, and holds a base that its
// relay has no change for. It must get the whole file, from a relay that took
// changes alone.
func TestHostThatMissedAChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, m := newMeteredRegion()
		defer r.end()
		r.applyFile(t, fileOfGroups(500, "a"))
		n := r.lastHost("z0")
		x, _ := r.find(n)
		x.platform.setCut(true)
		r.setSilent(n, true)
		o := &publisher.Operator{Platform: r.store, Name: "anna"}
		for _, s := range []string{"b", "c"} {
			if _, err := o.Apply(t.Context(), fileOfGroups(500, s), publisher.Options{}); err != nil {
				t.Fatal(err)
			}
		}
		m.reset()
		x.platform.setCut(false)
		r.setSilent(n, false)
		time.Sleep(time.Minute)
		if _, f := x.host.Current(); f.DatabaseGroups[0].Service != "c" || x.host.Status().Standing != adopter.Confirmed {
			t.Errorf("decides by %+v, %+v", f.DatabaseGroups[0], x.host.Status())
		}
		m.expect(t, 0, 1, 0)
	})
}
