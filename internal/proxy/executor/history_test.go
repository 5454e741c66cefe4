package executor_test

import (
	"fmt"
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

// history records the callers' replies and the statements that servers received, independently of
// the code under test.
type history struct {
	mu     sync.Mutex
	faults []string
	// replies are the codes that callers received for their writes, by statement id.
	replies map[string]declarer.Code
	// acknowledged are the writes reported as run, in the order of the acknowledgements.
	acknowledged []acknowledgement
	// dropped are the ids of commits that a promotion dropped.
	dropped map[string]bool
	// values are what each session has set, shapes what each statement must run.
	values map[string]map[string]string
	shapes map[string]string
	// lastValue is the highest value issued for a write.
	lastValue int
}

type acknowledgement struct {
	id    string
	item  string
	value int
	at    time.Time
}

func newHistory() *history {
	return &history{replies: make(map[string]declarer.Code), dropped: make(map[string]bool), values: make(map[string]map[string]string), shapes: make(map[string]string)}
}

func (h *history) addFault(format string, a ...any) {
	h.faults = append(h.faults, fmt.Sprintf(format, a...))
}

// sessionOf returns the session's name in a statement's id.
func sessionOf(id string) string {
	s, _, _ := strings.Cut(id, ".")
	return s
}

// nextValue returns a value above all issued before.
func (h *history) nextValue() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastValue++
	return h.lastValue
}

// recordRolledBack records a commit that a promotion dropped.
func (h *history) recordRolledBack(r record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dropped[r.id] = true
}

// checkStatement checks a caller's statement when a server receives it.
func (h *history) checkStatement(c *connection, r *declarer.Request, shape string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := sessionOf(r.ID)
	if c.open && c.session == "" {
		c.session = s
	}
	if c.open && c.session != s {
		h.addFault("%s runs in a transaction of %s", r.ID, c.session)
	}
	if want := h.values[s]; !maps.Equal(want, c.values) && len(want)+len(c.values) > 0 {
		h.addFault("%s runs with values %v, want %v", r.ID, c.values, want)
	}
	if shape != h.shapes[r.ID] {
		h.addFault("%s runs shape %q, want %q", r.ID, shape, h.shapes[r.ID])
	}
}

// recordReply records the code that a caller received for a write.
func (h *history) recordReply(id, item string, value int, c declarer.Code) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.replies[id] = c
	if c == declarer.CodeNone {
		h.acknowledged = append(h.acknowledged, acknowledgement{id: id, item: item, value: value, at: time.Now()})
	}
}

// newestAcknowledged returns the newest write of the item that was acknowledged before t.
func (h *history) newestAcknowledged(item string, t time.Time) acknowledgement {
	h.mu.Lock()
	defer h.mu.Unlock()
	var last acknowledgement
	for _, a := range h.acknowledged {
		if a.item == item && a.at.Before(t) && a.value > last.value && !h.dropped[a.id] {
			last = a
		}
	}
	return last
}

// checkRead checks that a read returned at least the value of want.
func (h *history) checkRead(id string, got int, want acknowledgement) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if got < want.value && !h.dropped[want.id] {
		h.addFault("%s reads %d of %s, want %d, acknowledged as %s", id, got, want.item, want.value, want.id)
	}
}

// check compares the callers' replies with the primary's log at the end, and returns all faults.
func (h *history) check(log []record) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	times := make(map[string]int)
	for _, r := range log {
		times[r.id]++
	}
	for id, n := range times {
		if n > 1 {
			h.addFault("%s took effect %d times", id, n)
		}
	}
	for id, c := range h.replies {
		switch {
		case c == declarer.CodeNone && times[id] == 0 && !h.dropped[id]:
			h.addFault("%s was acknowledged and is lost", id)
		case meansNotRun(c) && (times[id] > 0 || h.dropped[id]):
			h.addFault("%s took effect, though its caller was told that it did not run (%d)", id, c)
		}
	}
	return h.faults
}

// meansNotRun reports whether the code says that the statement had no effect.
func meansNotRun(c declarer.Code) bool {
	switch c {
	case declarer.CodeBusy, declarer.CodeAborted, declarer.CodeLagging, declarer.CodeReadOnly, declarer.CodeMisrouted, declarer.CodeTooManyConnections:
		return true
	}
	return false
}
