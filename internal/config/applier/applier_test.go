package applier_test

import (
	"testing"
	"time"

	"github.com/cuminwick/cuminwick/internal/config/applier"
	"github.com/cuminwick/cuminwick/internal/config/declarer"
	"github.com/cuminwick/cuminwick/internal/config/encoder"
)

// newSingleHostSimulation returns a simulation with one host that has registered, for tests that
// choose each step.
func newSingleHostSimulation() *simulation {
	w := newWorld()
	w.hosts = []*host{{name: "h1", id: "1", clock: clock{rate: 1000}, files: map[declarer.Revision]string{}}}
	for range 3 {
		w.round()
	}
	return w
}

// startApply adds an operator that applies file under the run ID id.
func (w *simulation) startApply(id, file string) *operator {
	o := &operator{clock: clock{rate: 1000}}
	o.Mode = applier.Apply
	o.ID = id
	o.Entry = encoder.Entry{Operator: id, Digest: file}
	o.HasFile = true
	w.operators = append(w.operators, o)
	return o
}

// serveAndAnswer serves and answers the operator's outstanding call.
func (w *simulation) serveAndAnswer(o *operator) {
	c := o.call
	if c == nil {
		return
	}
	w.remove(c)
	c.serve()
	c.answer(false)
}

// stepUntil takes steps of o until its next action is a.
func (w *simulation) stepUntil(t *testing.T, o *operator, a applier.Action) {
	t.Helper()
	for range 100 {
		if s := o.Next(o.clock.at(w.now)); s.Action == a {
			return
		}
		w.stepOperator(o)
		w.serveAndAnswer(o)
		w.now += 10 * time.Millisecond
	}
	t.Fatalf("operator %s doesn't reach action %s\n%s", o.ID, a, w.traceText())
}

// runUntilResult lets all hosts and operators progress until o has a result, and checks its outcome.
func (w *simulation) runUntilResult(t *testing.T, o *operator, want applier.Outcome) {
	t.Helper()
	for range 1000 {
		if o.result != nil {
			break
		}
		w.now += 20 * time.Millisecond
		w.round()
		w.check()
	}
	if w.failure != "" {
		t.Fatalf("%s\n%s", w.failure, w.traceText())
	}
	if o.result == nil || o.result.Outcome != want {
		t.Fatalf("operator %s ended with %+v, want %s\n%s", o.ID, o.result, want, w.traceText())
	}
}

// Two operators put the head at the same version: one put fails. A third operator applies a file
// that was edited from an outdated revision.
func TestRacingOperators(t *testing.T) {
	w := newSingleHostSimulation()
	a, b := w.startApply("anna", "file1"), w.startApply("bela", "file2")
	w.stepUntil(t, a, applier.PutHead)
	w.stepUntil(t, b, applier.PutHead)
	w.stepOperator(a)
	w.serveAndAnswer(a)
	w.runUntilResult(t, b, applier.Conflict)
	if n := b.result.Entry.Operator; n != "anna" {
		t.Errorf("conflict names %q", n)
	}
	w.runUntilResult(t, a, applier.InForce)
	c := w.startApply("cela", "file3")
	c.CheckBase = true
	w.runUntilResult(t, c, applier.Conflict)
	if n := c.result.Entry.Operator; n != "anna" {
		t.Errorf("conflict names %q", n)
	}
}

// An operator's machine fails after the file was stored. Another operator continues the run, by
// Resume or by applying the same file.
func TestResume(t *testing.T) {
	for _, m := range []applier.Mode{applier.Resume, applier.Apply} {
		t.Run(string(m), func(t *testing.T) {
			w := newSingleHostSimulation()
			a := w.startApply("anna", "file1")
			w.stepUntil(t, a, applier.Wait)
			a.dead = true
			b := w.startApply("bela", "file1")
			b.Mode = m
			b.HasFile = m == applier.Apply
			w.runUntilResult(t, b, applier.InForce)
			if w.head.Latest().Operator != "anna" || w.head.Accepted != 1 {
				t.Errorf("accepted %+v", w.head.Latest())
			}
		})
	}
}

// A host runs an older version of cuminwick that doesn't support a key of the file.
func TestRefusedByHost(t *testing.T) {
	w := newSingleHostSimulation()
	a := w.startApply("anna", "file1")
	w.stepUntil(t, a, applier.Wait)
	h := w.hosts[0]
	h.state.ObserveHead(w.head, w.version, 0, 0)
	h.state.MarkRefused(1, "unknown key")
	w.runUntilResult(t, a, applier.Withdrawn)
	if w.head.Accepted != 0 {
		t.Error("accepted a refused revision")
	}
}

// An operator aborts while a put whose answer was lost is still in transit. It reports the revision
// as withdrawn; if the put took effect afterwards, another operator could resume that revision.
func TestAbortDefeatsLatePut(t *testing.T) {
	w := newSingleHostSimulation()
	a := w.startApply("anna", "file1")
	w.stepUntil(t, a, applier.PutHead)
	w.stepOperator(a)
	late := a.call
	w.remove(late)
	late.answer(true)
	a.Abort("gave up")
	w.runUntilResult(t, a, applier.Withdrawn)
	late.serve()
	b := w.startApply("bela", "")
	b.Mode = applier.Resume
	w.runUntilResult(t, b, applier.NothingStaged)
}

// An operator is paused just before it reads the slot of its file. Its revision is withdrawn, and
// 64 revisions later another one is accepted in the same slot. Writing the slot now would destroy
// the accepted file, and new hosts could not read it.
func TestPausedOperatorDoesNotOverwriteSlot(t *testing.T) {
	w := newSingleHostSimulation()
	a := w.startApply("anna", "file1")
	w.stepUntil(t, a, applier.ReadBody)
	w.head.Staged = nil
	w.head.Highest = encoder.RevisionSlots
	w.version++
	a.dead = true
	w.runUntilResult(t, w.startApply("bela", "file2"), applier.InForce)
	a.dead = false
	w.stepOperator(a)
	w.serveAndAnswer(a)
	w.runUntilResult(t, a, applier.Withdrawn)
	if d := w.bodies[encoder.Slot(1)].digest; d != "file2" {
		t.Errorf("slot holds %s", d)
	}
}

// Every host is cut off. An accepted revision would be in force nowhere.
func TestNoHostAcknowledges(t *testing.T) {
	w := newSingleHostSimulation()
	w.hosts[0].cut = true
	a := w.startApply("anna", "file1")
	for range 100 {
		w.now += time.Second
		w.round()
	}
	if w.head.Accepted != 0 {
		t.Error("accepted")
	}
	a.Abort("gave up")
	w.runUntilResult(t, a, applier.Withdrawn)
}

// A host is cut off, another operator withdraws the revision, and the host returns before the first
// operator has read the head again. If that operator retired the host's object, the next revision
// would be accepted without a host that assumes it is registered.
func TestStaleOperatorRetiresNoObject(t *testing.T) {
	w := newSingleHostSimulation()
	a := w.startApply("anna", "file1")
	w.stepUntil(t, a, applier.Wait)
	w.head.Staged = nil
	w.version++
	w.now += applier.DefaultAcknowledgementTimeout
	w.hosts[0].name = "renamed"
	w.runUntilResult(t, a, applier.Withdrawn)
	for n, h := range w.holders {
		if h.Holder.Retired {
			t.Errorf("object %s was retired", n)
		}
	}
}

// An operator that resumes another one's revision is interrupted. It must not withdraw a revision
// that it didn't stage.
func TestInterruptedResumeLeavesRevisionStaged(t *testing.T) {
	w := newSingleHostSimulation()
	a := w.startApply("anna", "file1")
	w.stepUntil(t, a, applier.Wait)
	a.dead = true
	b := w.startApply("bela", "")
	b.Mode = applier.Resume
	b.HasFile = false
	w.stepUntil(t, b, applier.ReadBody)
	b.Abort("interrupted")
	w.runUntilResult(t, b, applier.LeftStaged)
	if w.head.Staged == nil {
		t.Error("withdrawn")
	}
}
