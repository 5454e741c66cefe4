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

// transferMeter counts how the hosts of a region get files, and may corrupt the changes in transit.
type transferMeter struct {
	mu                         sync.Mutex
	fileReads, bodies, changes int
	// withoutChanges says that the hosts asked are of a version that doesn't support changes.
	withoutChanges bool
	// corrupt returns a corrupted packed change; nil leaves changes intact.
	corrupt func(p []byte) []byte
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
		t.Errorf("%d files read from the platform, %d sent whole, %d as changes; want %d, %d and %d",
			m.fileReads, m.bodies, m.changes, read, bodies, passed)
	}
}

// received returns c as it arrives at the receiver.
func (m *transferMeter) received(c *encoder.Change) *encoder.Change {
	if m.withoutChanges {
		return nil
	}
	if c == nil || m.corrupt == nil {
		return c
	}
	x := *c
	x.Packed = m.corrupt(append([]byte{}, c.Packed...))
	return &x
}

// count wraps the function f for Sharer.Ask so that it counts the files and changes in the answers.
func (m *transferMeter) count(f func(context.Context, string, sharer.Question) (sharer.Share, error)) func(context.Context, string, sharer.Question) (sharer.Share, error) {
	return func(ctx context.Context, to string, q sharer.Question) (sharer.Share, error) {
		if m.withoutChanges {
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
			a.Change = m.received(a.Change)
		}
		if a.Advice != nil && a.Advice.Sight != nil && a.Advice.Sight.Head != nil {
			h := *a.Advice.Sight.Head
			h.Change = m.received(h.Change)
			a.Advice.Sight.Head = &h
		}
		return a, err
	}
}

// meteredPlatform counts the files that hosts read from the platform.
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
			h.Change = p.meter.received(h.Change)
			o.Value, err = encoder.Encode(h)
		}
	}
	return o, err
}

// fileOfGroups returns a file of n groups, of which the first one has the given service.
func fileOfGroups(n int, service string) declarer.File {
	var f declarer.File
	for i := range n {
		s := sha256.Sum256([]byte{byte(i), byte(i >> 8)})
		f.DatabaseGroups = append(f.DatabaseGroups, declarer.DatabaseGroup{Name: fmt.Sprintf("group-%x", s), Service: "service"})
	}
	f.DatabaseGroups[0].Service = service
	return f
}

// newMeteredRegion returns a settled region of three zones of five hosts, of which two each are relays.
func newMeteredRegion() (*region, *transferMeter) {
	r, m := newRegion(), &transferMeter{}
	r.meter = m
	r.settle(5)
	return r, m
}

// awaitRelays waits until each host that has a relay follows it. At rest a relay's sight is 4 to 8 s
// old. A host that asks while the sight is too old, or while timers coincide at a round second,
// switches to the platform for ten seconds.
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

// The first file is sent whole: relays read it from the platform, the others get it from their relays.
// A small change is then sent in the head, and no host reads the file.
func TestSmallChangeIsSentInHead(t *testing.T) {
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

// A change is too large for the head, which every host and operator reads. Relays read the file from
// the platform and send the change to their hosts.
func TestLargeChangeIsSentByRelay(t *testing.T) {
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

// Every change is corrupted, by a relay's memory, its version or the network: it is truncated, altered
// or empty. No host may put a file built from it in force, and none may stay at the previous revision:
// each fetches the whole file.
func TestCorruptChangeFallsBackToWholeFile(t *testing.T) {
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
				m.corrupt = f
				r.applyFile(t, fileOfGroups(500, "b"))
				// Each of the nine hosts is sent the corrupted change of its relay too, after the one in the head.
				m.expect(t, 6, 9, 9)
			})
		})
	}
}

// The relays and operators are of a version that doesn't support changes, and the other hosts already
// do. The other hosts must get whole files.
func TestRelaysWithoutChangesSendWholeFiles(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, m := newMeteredRegion()
		defer r.end()
		r.applyFile(t, fileOfGroups(500, "a"))
		m.reset()
		m.withoutChanges = true
		r.applyFile(t, fileOfGroups(500, "b"))
		m.expect(t, 6, 9, 0)
	})
}

// A host is cut off while two changes come into force, so it has a base for which its relay has no
// change. It must get the whole file from a relay that itself received only changes.
func TestHostThatMissedChangeGetsWholeFile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, m := newMeteredRegion()
		defer r.end()
		r.applyFile(t, fileOfGroups(500, "a"))
		n := r.lastHost("z0")
		x, _ := r.find(n)
		x.platform.setCut(true)
		r.setUnreachable(n, true)
		o := &publisher.Operator{Platform: r.store, Name: "anna"}
		for _, s := range []string{"b", "c"} {
			if _, err := o.Apply(t.Context(), fileOfGroups(500, s), publisher.Options{}); err != nil {
				t.Fatal(err)
			}
		}
		m.reset()
		x.platform.setCut(false)
		r.setUnreachable(n, false)
		time.Sleep(time.Minute)
		if _, f := x.host.Current(); f.DatabaseGroups[0].Service != "c" || x.host.Status().Standing != adopter.Confirmed {
			t.Errorf("has %+v in force, %+v", f.DatabaseGroups[0], x.host.Status())
		}
		m.expect(t, 0, 1, 0)
	})
}
