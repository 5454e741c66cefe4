package applier_test

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/cuminwick/cuminwick/internal/config/changer"
	"github.com/cuminwick/cuminwick/internal/config/declarer"
	"github.com/cuminwick/cuminwick/internal/config/encoder"
)

// changeState holds what a simulated host needs to receive a file as a change of another one.
type changeState struct {
	digests map[declarer.Revision]string
	change  *encoder.Change
	// madeChanges holds, for each revision, the change to it from the revision that was in force when
	// its file arrived.
	madeChanges map[declarer.Revision]*encoder.Change
	// uselessRevision is the revision for which the change in the head didn't yield the file.
	uselessRevision declarer.Revision
}

// recordHead stores the change and the digests that a head holds.
func (x *changeState) recordHead(d encoder.Head) {
	if x.digests == nil {
		x.digests = map[declarer.Revision]string{}
		x.madeChanges = map[declarer.Revision]*encoder.Change{}
	}
	x.change = d.Change
	if d.Staged != nil {
		x.digests[d.Staged.Revision] = d.Staged.Digest
	}
	if e := d.Latest(); e.Revision != 0 {
		x.digests[e.Revision] = e.Digest
	}
}

// documentsByDigest holds the files that operators apply.
var documentsByDigest = func() map[string]*changer.Document {
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

// fileDigests returns the digests of the files in a stable order.
func fileDigests() []string {
	var l []string
	for d := range documentsByDigest {
		l = append(l, d)
	}
	slices.Sort(l)
	return l
}

// digest returns the digest of the file with the given name, or the name itself if files aren't
// sent as changes.
func (w *simulation) digest(name string) string {
	i := slices.Index([]string{"file1", "file2", "file3", "file4", "file5", "last"}, name)
	if !w.changes || i < 0 {
		return name
	}
	return fileDigests()[i]
}

// filePair identifies a change by the digests of the files that it starts from and leads to.
type filePair struct{ base, target string }

var packedChanges = map[filePair][]byte{}

// makeChange calls changer.Make, which is slow, once for each pair of files.
func makeChange(from, to string) []byte {
	p, ok := packedChanges[filePair{from, to}]
	if !ok {
		p, _ = changer.Make(documentsByDigest[from], documentsByDigest[to])
		packedChanges[filePair{from, to}] = p
	}
	return p
}

// attachChange returns the change that an operator writes with a staged revision: none, the right
// one, a truncated one, or one between other files than it states.
func (w *simulation) attachChange(o *operator, h encoder.Head) *encoder.Change {
	e := h.Staged
	if !w.changes || e == nil || e.ID != o.ID || e.From == 0 {
		return nil
	}
	from, l := w.accepted[e.From].Digest, fileDigests()
	c := &encoder.Change{Revision: e.Revision, Base: e.From, Packed: makeChange(from, e.Digest)}
	n := int(w.version) + len(w.calls)
	switch n % 8 {
	case 0:
		return nil
	case 1:
		c.Packed = c.Packed[:len(c.Packed)/2]
	case 2:
		c.Packed = makeChange(l[n/8%len(l)], e.Digest)
	case 3:
		c.Packed = makeChange(from, l[n/8%len(l)])
	}
	return c
}

// appliedChanges and uselessChanges count, over all histories, the changes that yielded the file of
// their revision and those that didn't.
var appliedChanges, uselessChanges int

// applyChange makes h build r's file from a change, as package follower does, and reports whether it
// could.
func (w *simulation) applyChange(h *host, c *encoder.Change, base, r declarer.Revision) bool {
	if !c.Matches(base, r) || h.digests[r] == "" || documentsByDigest[h.files[base]] == nil {
		return false
	}
	d, err := changer.Apply(documentsByDigest[h.files[base]], c.Packed, h.digests[r])
	if err != nil {
		uselessChanges++
		w.record("host %s/%s can't use a change to %d: %v", h.name, h.id, r, err)
		return false
	}
	appliedChanges++
	h.storeFile(r, string(d.Text()))
	w.record("host %s/%s built revision %d from %d", h.name, h.id, r, base)
	return true
}

// storeFile stores r's file, identified by its text so that a wrongly built file is detected, and
// the change to it from the revision in force.
func (h *host) storeFile(r declarer.Revision, text string) {
	h.files[r] = "another file"
	for n, d := range documentsByDigest {
		if string(d.Text()) == text {
			h.files[r] = n
		}
	}
	if b := h.state.InForce; documentsByDigest[h.files[b]] != nil && documentsByDigest[h.files[r]] != nil {
		h.madeChanges[r] = &encoder.Change{Revision: r, Base: b, Packed: makeChange(h.files[b], h.files[r])}
	}
	h.state.MarkFetched(r)
}

// fetchChange makes h apply the change in the head to get r's file, or else request the file from
// another host. It reports whether it did either.
func (w *simulation) fetchChange(h *host, r declarer.Revision) bool {
	if !w.changes {
		return false
	}
	base := h.state.InForce
	if h.uselessRevision != r && w.applyChange(h, h.change, base, r) {
		return true
	}
	if h.uselessRevision == r {
		return false
	}
	h.uselessRevision = r
	i := slices.IndexFunc(w.hosts, func(x *host) bool { return !x.dead && x != h && x.files[r] != "" })
	if i < 0 {
		return false
	}
	x := w.hosts[i]
	var c *encoder.Change
	digest := ""
	h.pendingCall = w.send(&call{
		serve: func() {
			if c = x.madeChanges[r]; !c.Matches(base, r) {
				c, digest = nil, x.files[r]
			}
		},
		answer: func(lost bool) {
			h.pendingCall = nil
			switch {
			case lost:
			case c != nil:
				w.applyChange(h, c, base, r)
			case h.digests[r] == digest:
				h.storeFile(r, string(documentsByDigest[digest].Text()))
			}
		},
	})
	return true
}

// Files are sent as changes of the previous file, in the head or by another host. A change is lost,
// late, arrives at a host that has moved up, is truncated, or starts from or leads to another file
// than it states. A fault would show as two hosts handling one request by different files, or as a
// host on which the revision never comes into force because it accepts nothing but changes.
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
				w.randomRelayedAction(t)
			} else {
				w.randomAction(t)
			}
			w.verify(t)
		}
		w.settle(t)
	})
	if appliedChanges < 1000 || uselessChanges < 1000 {
		t.Errorf("%d changes applied, %d useless: the histories exercise too few", appliedChanges, uselessChanges)
	}
	t.Logf("%d changes applied, %d useless", appliedChanges, uselessChanges)
}
