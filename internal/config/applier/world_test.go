package applier_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cuminwick/cuminwick/internal/config/adopter"
	"github.com/cuminwick/cuminwick/internal/config/applier"
	"github.com/cuminwick/cuminwick/internal/config/declarer"
	"github.com/cuminwick/cuminwick/internal/config/encoder"
	"github.com/cuminwick/cuminwick/internal/platform/accessor"
)

// clock is the clock of one host or operator, with its own offset and rate.
type clock struct {
	offset time.Duration
	// rate is by how much the clock advances in a thousand units of true time.
	rate time.Duration
}

func (c clock) at(t time.Duration) time.Duration {
	return c.offset + t*c.rate/1000
}

// call is an outstanding call to the store or a host: it is served at some time, and its answer
// arrives later or is lost.
type call struct {
	serve  func()
	answer func(lost bool)
	served bool
	// heldBack reports whether the server holds the call back; nil if it never does.
	heldBack func() bool
	// orphan says that the call has failed for its caller; it may still be served.
	orphan bool
}

// event is one line of the trace, formatted only if a test fails.
type event struct {
	at        time.Duration
	format    string
	arguments []any
}

type body struct {
	revision declarer.Revision
	digest   string
	version  accessor.Version
}

type host struct {
	name        string
	id          string
	clock       clock
	state       adopter.State
	files       map[declarer.Revision]string
	object      string
	version     accessor.Version
	dead        bool
	cut         bool
	headReads   int
	pendingCall *call
	highest     declarer.Revision
	relayState
	changeState
}

type operator struct {
	applier.Operator
	clock  clock
	call   *call
	dead   bool
	listed []applier.HolderObject
	result *applier.Result
}

// simulation is a deterministic simulation of the store, the hosts, the operators and true time.
type simulation struct {
	now       time.Duration
	head      encoder.Head
	version   accessor.Version
	bodies    map[string]body
	holders   map[string]applier.HolderObject
	hosts     []*host
	operators []*operator
	calls     []*call
	// accepted holds the entry of every revision that was ever accepted.
	accepted map[declarer.Revision]encoder.Entry
	// objectCount is the number of objects created for hosts; it provides their names.
	objectCount int
	failure     string
	// relays says that hosts may use each other as relays.
	relays bool
	// changes says that files may be sent as changes.
	changes bool
	// unlisted holds the names of live hosts that the outdated host list lacks.
	unlisted map[string]bool
	// trace holds the events so far; it is printed if a test fails.
	trace []event
}

func newWorld() *simulation {
	return &simulation{
		bodies:   map[string]body{},
		holders:  map[string]applier.HolderObject{},
		accepted: map[declarer.Revision]encoder.Entry{},
	}
}

func (w *simulation) fail(format string, a ...any) {
	if w.failure == "" {
		w.failure = fmt.Sprintf(format, a...)
	}
}

func (w *simulation) record(format string, a ...any) {
	w.trace = append(w.trace, event{w.now, format, a})
}

func (w *simulation) traceText() string {
	var s strings.Builder
	for _, e := range w.trace {
		fmt.Fprintf(&s, "%10s %s\n", e.at, fmt.Sprintf(e.format, e.arguments...))
	}
	return s.String()
}

func (w *simulation) send(c *call) *call {
	w.calls = append(w.calls, c)
	return c
}

func (w *simulation) remove(c *call) {
	w.calls = slices.DeleteFunc(w.calls, func(x *call) bool { return x == c })
}

// putHead is the store's conditional put; it records what was accepted.
func (w *simulation) putHead(h encoder.Head, v accessor.Version) bool {
	if v != w.version {
		return false
	}
	if h.Accepted < w.head.Accepted {
		w.fail("accepted went down from %d to %d", w.head.Accepted, h.Accepted)
	}
	if h.Accepted != w.head.Accepted {
		if e, ok := w.accepted[h.Accepted]; ok {
			w.fail("revision %d accepted twice, first as %s", h.Accepted, e.ID)
		}
		w.accepted[h.Accepted] = h.Latest()
	}
	w.head = h
	w.version++
	w.record("store: head %d accepted %d staged %v", w.version, h.Accepted, h.Staged)
	return true
}

func (w *simulation) putHolder(o applier.HolderObject) (accessor.Version, bool) {
	if w.holders[o.Name].Version != o.Version {
		return 0, false
	}
	o.Version++
	w.holders[o.Name] = o
	w.record("store: holder %s version %d %+v", o.Name, o.Version, o.Holder)
	return o.Version, true
}

// startHeadRead starts a host's read of the head.
func (w *simulation) startHeadRead(h *host) {
	if h.dead || h.headReads >= 2 {
		return
	}
	sent := h.clock.at(w.now)
	var d encoder.Head
	var v accessor.Version
	c := &call{}
	c.serve = func() { d, v = w.head, w.version }
	c.answer = func(lost bool) {
		h.headReads--
		if !lost {
			h.recordHead(d)
			h.state.ObserveHead(d, v, sent, h.clock.at(w.now))
			w.record("host %s/%s observed head %d", h.name, h.id, v)
		}
	}
	h.headReads++
	w.send(c)
}

// startWork starts a host's next fetch or report.
func (w *simulation) startWork(h *host) {
	if h.dead || h.pendingCall != nil || w.leaveObject(h) {
		return
	}
	if r := h.state.Wanted(); r != 0 {
		if !w.fetchChange(h, r) {
			h.pendingCall = w.send(w.fetch(h, r))
		}
		return
	}
	if r, due := h.state.Report(); !h.relayed && h.due(due, h.clock.at(w.now)) {
		h.pendingCall = w.send(w.report(h, r))
	}
}

func (w *simulation) fetch(h *host, r declarer.Revision) *call {
	var b body
	return &call{
		serve: func() { b = w.bodies[encoder.Slot(r)] },
		answer: func(lost bool) {
			h.pendingCall = nil
			if lost || b.revision != r {
				return
			}
			if w.changes {
				h.storeFile(r, string(documentsByDigest[b.digest].Text()))
				return
			}
			h.files[r] = b.digest
			h.state.MarkFetched(r)
		},
	}
}

// claim assigns a free object or a new one to a host that has none.
func (w *simulation) claim(h *host) {
	for _, n := range slices.Sorted(maps.Keys(w.holders)) {
		if o := w.holders[n].Holder; o.Retired || o.Left {
			h.object = n
			h.version = w.holders[n].Version
			h.takeObject(o, h.clock.at(w.now))
			return
		}
	}
	w.objectCount++
	h.object = fmt.Sprint(w.objectCount)
	h.version = 0
	h.takeObject(encoder.Holder{}, h.clock.at(w.now))
}

// readBack reads h's object after a put that conflicted or whose answer was lost.
func (w *simulation) readBack(h *host) {
	p := w.holders[h.object]
	h.version = p.Version
	h.state.MarkUnregistered()
	if p.Holder.Retired || p.Holder.Left || p.Holder.Incarnation != h.id {
		h.object = ""
		h.memberState.Reset()
		return
	}
	h.memberState.ReadBack(p.Holder.Members, h.clock.at(w.now))
}

func (w *simulation) report(h *host, r adopter.Report) *call {
	if h.object == "" {
		w.claim(h)
	}
	o := applier.HolderObject{Name: h.object, Version: h.version, Holder: encoder.Holder{
		Host: h.name, Incarnation: h.id, Ready: r.Ready, InForce: r.InForce,
		Refused: r.Refused, Reason: r.Reason, Members: h.memberState.BeginPut(),
	}}
	sent := h.clock.at(w.now)
	var v accessor.Version
	var ok bool
	return &call{
		serve: func() { v, ok = w.putHolder(o) },
		answer: func(lost bool) {
			h.pendingCall = nil
			if lost || !ok {
				w.readBack(h)
				w.record("host %s/%s report failed", h.name, h.id)
				return
			}
			h.version = v
			h.completeReport(r, sent, h.clock.at(w.now))
			w.record("host %s/%s reported %+v", h.name, h.id, r)
		},
	}
}

// stepOperator takes an operator's next step.
func (w *simulation) stepOperator(o *operator) {
	if o.dead || o.call != nil || o.result != nil {
		return
	}
	t := o.clock.at(w.now)
	s := o.Next(t)
	w.record("%s %s: %s %s", o.Mode, o.ID, s.Action, s.Result.Outcome)
	switch s.Action {
	case applier.Wait:
		o.ObserveWait(t)
	case applier.Done:
		o.result = &s.Result
		w.checkInForce(o)
	default:
		o.call = w.send(w.operatorCall(o, s, t))
	}
}

func (w *simulation) operatorCall(o *operator, s applier.Step, sent time.Duration) *call {
	c := &call{serve: func() {}}
	done := func(f func()) func(bool) {
		return func(lost bool) {
			o.call = nil
			if !lost {
				f()
				return
			}
			w.answerLost(o, s)
		}
	}
	switch s.Action {
	case applier.ReadHead:
		var h encoder.Head
		var v accessor.Version
		c.serve = func() { h, v = w.head, w.version }
		c.answer = done(func() { o.ObserveHead(h, v, sent, o.clock.at(w.now)) })
	case applier.PutHead:
		var ok bool
		s.Head.Change = w.attachChange(o, s.Head)
		c.serve = func() { ok = w.putHead(s.Head, s.Version) }
		c.answer = done(func() {
			if ok {
				o.ObserveHead(s.Head, s.Version+1, sent, o.clock.at(w.now))
				return
			}
			o.InvalidateHead(false)
		})
	case applier.ReadBody:
		var b body
		c.serve = func() { b = w.bodies[encoder.Slot(s.Revision)] }
		c.answer = done(func() { o.ObserveBody(b.revision == s.Revision, b.version) })
	case applier.PutBody:
		var ok bool
		b := body{revision: s.Revision, digest: o.Entry.Digest, version: s.Version + 1}
		c.serve = func() {
			if ok = w.bodies[encoder.Slot(s.Revision)].version == s.Version; ok {
				w.bodies[encoder.Slot(s.Revision)] = b
			}
		}
		c.answer = done(func() { o.ObserveBodyPut(ok) })
	case applier.ReadHolders:
		var l []applier.HolderObject
		m := map[string]bool{}
		c.serve = func() {
			l = slices.Collect(maps.Values(w.holders))
			slices.SortFunc(l, func(a, b applier.HolderObject) int { return strings.Compare(a.Name, b.Name) })
			for _, h := range w.hosts {
				m[h.name] = m[h.name] || !h.dead && !w.unlisted[h.name]
			}
		}
		c.answer = done(func() {
			o.listed = l
			o.ObserveHolders(l, m, sent)
		})
	case applier.PutHolder:
		c.serve = func() { w.putHolder(s.Holder) }
		c.answer = done(o.InvalidateHolders)
	case applier.RetireHolder:
		h := s.Holder
		h.Holder.Retired = true
		c.serve = func() { w.putHolder(h) }
		c.answer = done(o.InvalidateHolders)
	}
	return c
}

func (w *simulation) answerLost(o *operator, s applier.Step) {
	switch s.Action {
	case applier.ReadHead, applier.PutHead:
		o.InvalidateHead(s.Action == applier.PutHead)
	case applier.PutBody:
		o.ObserveBodyPut(false)
	case applier.ReadHolders, applier.RetireHolder, applier.PutHolder:
		o.InvalidateHolders()
	}
}
