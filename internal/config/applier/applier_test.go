package applier_test

import (
	"testing"
	"time"

	"github.com/cuminwick/cuminwick/internal/config/applier"
	"github.com/cuminwick/cuminwick/internal/config/declarer"
	"github.com/cuminwick/cuminwick/internal/config/encoder"
)

// directed is a world with one host, driven step by step.
func directed() *world {
	w := newWorld()
	w.hosts = []*host{{name: "h1", id: "1", clock: clock{rate: 1000}, files: map[declarer.Revision]string{}}}
	for range 3 {
		w.round()
	}
	return w
}

func (w *world) apply(id, file string) *operator {
	o := &operator{clock: clock{rate: 1000}}
	o.Mode = applier.Apply
	o.ID = id
	o.Entry = encoder.Entry{Operator: id, Digest: file}
	o.HasFile = true
	w.operators = append(w.operators, o)
	return o
}

// answer serves and answers the operator's outstanding call.
func (w *world) answer(o *operator) {
	c := o.call
	if c == nil {
		return
	}
	w.remove(c)
	c.serve()
	c.answer(false)
}

// until takes steps of o until its next call is a.
func (w *world) until(t *testing.T, o *operator, a applier.Action) {
	t.Helper()
	for range 100 {
		if s := o.Next(o.clock.at(w.now)); s.Action == a {
			return
		}
		w.step(o)
		w.answer(o)
		w.now += 10 * time.Millisecond
	}
	t.Fatalf("operator %s never gets to %s\n%s", o.ID, a, w.story())
}

// finish lets everybody go on until o has a result.
func (w *world) finish(t *testing.T, o *operator, want applier.Outcome) {
	t.Helper()
	for range 1000 {
		if o.result != nil {
			break
		}
		w.now += 20 * time.Millisecond
		w.round()
		w.check()
	}
	if w.fault != "" {
		t.Fatalf("%s\n%s", w.fault, w.story())
	}
	if o.result == nil || o.result.Outcome != want {
		t.Fatalf("operator %s ended with %+v, want %s\n%s", o.ID, o.result, want, w.story())
	}
}

func TestRacingOperators(t *testing.T) {
	w := directed()
	a, b := w.apply("anna", "file1"), w.apply("bela", "file2")
	w.until(t, a, applier.PutHead)
	w.until(t, b, applier.PutHead)
	w.step(a)
	w.answer(a)
	w.finish(t, b, applier.Conflict)
	if n := b.result.Entry.Operator; n != "anna" {
		t.Errorf("conflict names %q", n)
	}
	w.finish(t, a, applier.InForce)
	c := w.apply("cela", "file3")
	c.CheckBase = true
	w.finish(t, c, applier.Conflict)
	if n := c.result.Entry.Operator; n != "anna" {
		t.Errorf("conflict names %q", n)
	}
}

// An operator's machine dies after it has stored the file. Another operator goes
// on with it, by name or by bringing the same file.
func TestResume(t *testing.T) {
	for _, m := range []applier.Mode{applier.Resume, applier.Apply} {
		t.Run(string(m), func(t *testing.T) {
			w := directed()
			a := w.apply("anna", "file1")
			w.until(t, a, applier.Wait)
			a.dead = true
			b := w.apply("bela", "file1")
			b.Mode = m
			b.HasFile = m == applier.Apply
			w.finish(t, b, applier.InForce)
			if w.head.Latest().Operator != "anna" || w.head.Accepted != 1 {
				t.Errorf("accepted %+v", w.head.Latest())
			}
		})
	}
}

// A host runs an older version of cuminwick that doesn't know a key of the file.
func TestRefusedByHost(t *testing.T) {
	w := directed()
	a := w.apply("anna", "file1")
	w.until(t, a, applier.Wait)
	h := w.hosts[0]
	h.state.ObserveHead(w.head, w.version, 0, 0)
	h.state.MarkRefused(1, "unknown key")
	w.finish(t, a, applier.Withdrawn)
	if w.head.Accepted != 0 {
		t.Error("accepted a refused revision")
	}
}

// An operator gives up while its put, whose answer is lost, is still under way.
// It says "not applied", and then the put arrives and another operator resumes
// what nobody wanted any more.
func TestGivenUpPutArrivesLate(t *testing.T) {
	w := directed()
	a := w.apply("anna", "file1")
	w.until(t, a, applier.PutHead)
	w.step(a)
	late := a.call
	w.remove(late)
	late.answer(true)
	a.Abort("gave up")
	w.finish(t, a, applier.Withdrawn)
	late.serve()
	b := w.apply("bela", "")
	b.Mode = applier.Resume
	w.finish(t, b, applier.NothingStaged)
}

// An operator is paused just before it reads the slot of its file. Its revision
// is withdrawn, and 64 numbers later another one is accepted in the same slot.
// Writing now would destroy the accepted file: new hosts could not read it.
func TestPausedOperatorLeavesSlotAlone(t *testing.T) {
	w := directed()
	a := w.apply("anna", "file1")
	w.until(t, a, applier.ReadBody)
	w.head.Staged = nil
	w.head.Highest = encoder.RevisionSlots
	w.version++
	a.dead = true
	w.finish(t, w.apply("bela", "file2"), applier.InForce)
	a.dead = false
	w.step(a)
	w.answer(a)
	w.finish(t, a, applier.Withdrawn)
	if d := w.bodies[encoder.Slot(1)].digest; d != "file2" {
		t.Errorf("slot holds %s", d)
	}
}

// Every host is cut off. Accepting would put a revision in force nowhere.
func TestNobodyAcknowledges(t *testing.T) {
	w := directed()
	w.hosts[0].cut = true
	a := w.apply("anna", "file1")
	for range 100 {
		w.now += time.Second
		w.round()
	}
	if w.head.Accepted != 0 {
		t.Error("accepted")
	}
	a.Abort("gave up")
	w.finish(t, a, applier.Withdrawn)
}

// A host is cut off, another operator withdraws the revision, and the host comes
// back before the first operator notices. Were its object freed now, the next
// revision would be accepted without a host that believes it counts.
func TestStaleOperatorFreesNothing(t *testing.T) {
	w := directed()
	a := w.apply("anna", "file1")
	w.until(t, a, applier.Wait)
	w.head.Staged = nil
	w.version++
	w.now += applier.DefaultAcknowledgementTimeout
	w.hosts[0].name = "renamed"
	w.finish(t, a, applier.Withdrawn)
	for n, h := range w.holders {
		if h.Holder.Retired {
			t.Errorf("object %s was freed", n)
		}
	}
}

// An operator resumes what another one staged and is interrupted. It isn't its
// own to withdraw.
func TestInterruptedResumeLeavesStage(t *testing.T) {
	w := directed()
	a := w.apply("anna", "file1")
	w.until(t, a, applier.Wait)
	a.dead = true
	b := w.apply("bela", "")
	b.Mode = applier.Resume
	b.HasFile = false
	w.until(t, b, applier.ReadBody)
	b.Abort("interrupted")
	w.finish(t, b, applier.LeftStaged)
	if w.head.Staged == nil {
		t.Error("withdrawn")
	}
}
