package executor_test

import (
	"fmt"
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

// history is what callers were told, and what servers saw. It knows nothing of the
// code that is tested.
type history struct {
	mu     sync.Mutex
	faults []string
	// told are the writes by id with what their callers were told of them.
	told map[string]declarer.Code
	// acknowledged are those told to have run, in the order of the acknowledgements.
	acknowledged []acknowledgement
	dropped      map[string]bool
	// values are what each session has set, shapes what each statement must run.
	values map[string]map[string]string
	shapes map[string]string
	// last is the highest value that was given out to write.
	last int
}

type acknowledgement struct {
	id    string
	item  string
	value int
	at    time.Time
}

func newHistory() *history {
	return &history{told: make(map[string]declarer.Code), dropped: make(map[string]bool), values: make(map[string]map[string]string), shapes: make(map[string]string)}
}

func (h *history) fault(format string, a ...any) {
	h.faults = append(h.faults, fmt.Sprintf(format, a...))
}

// sessionOf returns the session that a statement's id names.
func sessionOf(id string) string {
	s, _, _ := strings.Cut(id, ".")
	return s
}

// next returns a value above all that were given out.
func (h *history) next() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.last++
	return h.last
}

// rolledBack notes a commit that a promotion dropped.
func (h *history) rolledBack(r record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dropped[r.id] = true
}

// arrived checks a caller's statement where it reaches a server.
func (h *history) arrived(c *connection, r *declarer.Request, shape string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := sessionOf(r.ID)
	if c.open && c.owner == "" {
		c.owner = s
	}
	if c.open && c.owner != s {
		h.fault("%s runs in a transaction of %s", r.ID, c.owner)
	}
	if want := h.values[s]; !maps.Equal(want, c.values) && len(want)+len(c.values) > 0 {
		h.fault("%s runs with values %v, want %v", r.ID, c.values, want)
	}
	if shape != h.shapes[r.ID] {
		h.fault("%s runs shape %q, want %q", r.ID, shape, h.shapes[r.ID])
	}
}

// tell notes what a caller was told of a write.
func (h *history) tell(id, item string, value int, c declarer.Code) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.told[id] = c
	if c == declarer.CodeNone {
		h.acknowledged = append(h.acknowledged, acknowledgement{id: id, item: item, value: value, at: time.Now()})
	}
}

// due returns the newest write of the item that was acknowledged before t.
func (h *history) due(item string, t time.Time) acknowledgement {
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

// read checks a value that a caller has read against what it must at least show.
func (h *history) read(id string, got int, want acknowledgement) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if got < want.value && !h.dropped[want.id] {
		h.fault("%s reads %d of %s, want %d, acknowledged as %s", id, got, want.item, want.value, want.id)
	}
}

// check compares what callers were told with the leader's log at the end.
func (h *history) check(log []record) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	times := make(map[string]int)
	for _, r := range log {
		times[r.id]++
	}
	for id, n := range times {
		if n > 1 {
			h.fault("%s took effect %d times", id, n)
		}
	}
	for id, c := range h.told {
		switch {
		case c == declarer.CodeNone && times[id] == 0 && !h.dropped[id]:
			h.fault("%s was acknowledged and is lost", id)
		case promises(c) && (times[id] > 0 || h.dropped[id]):
			h.fault("%s took effect, though its caller was told that it did not run (%d)", id, c)
		}
	}
	return h.faults
}

// promises reports whether a code says that nothing of the request is kept.
func promises(c declarer.Code) bool {
	switch c {
	case declarer.CodeBusy, declarer.CodeAborted, declarer.CodeLagging, declarer.CodeReadOnly, declarer.CodeMisrouted, declarer.CodeTooManyConnections:
		return true
	}
	return false
}
