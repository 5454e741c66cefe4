package applier_test

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/cuminwick/cuminwick/internal/config/changer"
	"github.com/cuminwick/cuminwick/internal/config/declarer"
	"github.com/cuminwick/cuminwick/internal/config/encoder"
)

// taker is what a host of the world knows for taking a file as a change.
type taker struct {
	digests map[declarer.Revision]string
	change  *encoder.Change
	// made is what leads to a revision from the one that was in force when it came.
	made map[declarer.Revision]*encoder.Change
	// useless is the revision whose change in the head didn't lead there.
	useless declarer.Revision
}

// hold keeps what a head says of files.
func (x *taker) hold(d encoder.Head) {
	if x.digests == nil {
		x.digests = map[declarer.Revision]string{}
		x.made = map[declarer.Revision]*encoder.Change{}
	}
	x.change = d.Change
	if d.Staged != nil {
		x.digests[d.Staged.Revision] = d.Staged.Digest
	}
	if e := d.Latest(); e.Revision != 0 {
		x.digests[e.Revision] = e.Digest
	}
}

// documents are the files that operators apply, by digest.
var documents = func() map[string]*changer.Document {
	m := map[string]*changer.Document{}
	for i := range 6 {
		g := []declarer.DatabaseGroup{{Name: "a"}, {Name: "b"}, {Name: "c"}, {Name: "d"}}
		d, err := changer.NewDocument(&declarer.File{DatabaseGroups: slices.Concat(g[i%4:], g[:i%4]), Limits: declarer.Limits{QueueLength: i / 2}})
		if err != nil {
			panic(err)
		}
		m[d.Digest] = d
	}
	return m
}()

// fileDigests returns the digests in an order that doesn't change.
func fileDigests() []string {
	var l []string
	for d := range documents {
		l = append(l, d)
	}
	slices.Sort(l)
	return l
}

// digest returns the digest of a file that operators apply by its name.
func (w *world) digest(name string) string {
	i := slices.Index([]string{"file1", "file2", "file3", "file4", "file5", "last"}, name)
	if !w.changes || i < 0 {
		return name
	}
	return fileDigests()[i]
}

// pair is a file and one that is made of it.
type pair struct{ from, to string }

var packed = map[pair][]byte{}

// differences is changer.Make, which takes long, made once for each pair.
func differences(from, to string) []byte {
	p, ok := packed[pair{from, to}]
	if !ok {
		p, _ = changer.Make(documents[from], documents[to])
		packed[pair{from, to}] = p
	}
	return p
}

// attach returns the change that an operator writes beside a stage: none, the
// right one, one that was cut short, or one between other files than it says.
func (w *world) attach(o *operator, h encoder.Head) *encoder.Change {
	e := h.Staged
	if !w.changes || e == nil || e.ID != o.ID || e.From == 0 {
		return nil
	}
	from, l := w.accepted[e.From].Digest, fileDigests()
	c := &encoder.Change{Revision: e.Revision, Base: e.From, Packed: differences(from, e.Digest)}
	n := int(w.version) + len(w.calls)
	switch n % 8 {
	case 0:
		return nil
	case 1:
		c.Packed = c.Packed[:len(c.Packed)/2]
	case 2:
		c.Packed = differences(l[n/8%len(l)], e.Digest)
	case 3:
		c.Packed = differences(from, l[n/8%len(l)])
	}
	return c
}

// appliedChanges and uselessChanges count, over all histories, changes that led to
// their revision and ones that didn't.
var appliedChanges, uselessChanges int

// take has h make r's file of a change, as follower does.
func (w *world) take(h *host, c *encoder.Change, base, r declarer.Revision) bool {
	if !c.Matches(base, r) || h.digests[r] == "" || documents[h.files[base]] == nil {
		return false
	}
	d, err := changer.Apply(documents[h.files[base]], c.Packed, h.digests[r])
	if err != nil {
		uselessChanges++
		w.note("host %s/%s can't use a change to %d: %v", h.name, h.id, r, err)
		return false
	}
	appliedChanges++
	h.keep(r, string(d.Text()))
	w.note("host %s/%s made revision %d of %d", h.name, h.id, r, base)
	return true
}

// keep takes in a file by its text, so that only what was really made counts, and
// notes what led to it.
func (h *host) keep(r declarer.Revision, text string) {
	h.files[r] = "another file"
	for n, d := range documents {
		if string(d.Text()) == text {
			h.files[r] = n
		}
	}
	if b := h.state.InForce; documents[h.files[b]] != nil && documents[h.files[r]] != nil {
		h.made[r] = &encoder.Change{Revision: r, Base: b, Packed: differences(h.files[b], h.files[r])}
	}
	h.state.MarkFetched(r)
}

// fetchChange has h take r's file by the change in the head, or ask another host
// for it, and reports whether it does.
func (w *world) fetchChange(h *host, r declarer.Revision) bool {
	if !w.changes {
		return false
	}
	base := h.state.InForce
	if h.useless != r && w.take(h, h.change, base, r) {
		return true
	}
	if h.useless == r {
		return false
	}
	h.useless = r
	i := slices.IndexFunc(w.hosts, func(x *host) bool { return !x.dead && x != h && x.files[r] != "" })
	if i < 0 {
		return false
	}
	x := w.hosts[i]
	var c *encoder.Change
	digest := ""
	h.working = w.send(&call{
		serve: func() {
			if c = x.made[r]; !c.Matches(base, r) {
				c, digest = nil, x.files[r]
			}
		},
		answer: func(lost bool) {
			h.working = nil
			switch {
			case lost:
			case c != nil:
				w.take(h, c, base, r)
			case h.digests[r] == digest:
				h.keep(r, string(documents[digest].Text()))
			}
		},
	})
	return true
}

// Files travel as what differs from the file before, with the head or from another
// host. A change is lost, comes late or to a host that has moved on, is cut short,
// or was made from another file or leads to another one than it says. Callers would
// notice two hosts treating one request differently, or a host that never comes
// into force because it takes nothing else.
func TestNeverHalfInForceByChanges(t *testing.T) {
	appliedChanges, uselessChanges = 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		w.changes, w.relays = true, rapid.Bool().Draw(t, "relays")
		w.unlisted = map[string]bool{}
		for range 4 {
			w.startHost(t)
		}
		for range 150 {
			if w.relays {
				w.actRelayed(t)
			} else {
				w.act(t)
			}
			w.verify(t)
		}
		w.settle(t)
	})
	if appliedChanges < 1000 || uselessChanges < 1000 {
		t.Errorf("%d changes applied, %d useless: the histories show too little", appliedChanges, uselessChanges)
	}
	t.Logf("%d changes applied, %d useless", appliedChanges, uselessChanges)
}
