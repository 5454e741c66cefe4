package cachesyncer

import (
	"cmp"
	"encoding/json"
	"slices"
)

const (
	// maximumRemoved bounds the removed objects that are retained for other hosts. A host that
	// asks for changes from before the oldest of them has to read the whole list.
	maximumRemoved = 512
	// minimumPreviousLength is the length in bytes from which a replaced value is retained, so
	// that the new one can be sent as a difference.
	minimumPreviousLength = 16 << 10
)

// history is the state of one kind of object, with the last change of each object.
type history struct {
	// objects holds the last change of each object by name, including removed objects.
	objects map[string]change
	// removed lists the changes that removed an object, oldest first.
	removed []change
	// revision is the store's revision that objects reflects, zero before the first list.
	revision uint64
	// changeCount counts the changes since the first list, newestPage is the revision of the
	// last page with a change, and compactedPage the revision after which all changes are
	// retained.
	changeCount, newestPage, compactedPage uint64
}

// change is an entry with the revision of the page that contained it and its position in the
// order of changes. The entry's own revision does not order changes: a removed object may
// carry the revision of its last modification.
type change struct {
	Entry
	pageRevision, order uint64
	// previous is the value of a large object that this change replaced. It was the current
	// value from the page with revision previousPage on.
	previous     json.RawMessage
	previousPage uint64
}

// entry returns the change for a reader that has applied everything up to the revision.
func (c change) entry(after uint64) Entry {
	e := c.Entry
	if c.previous != nil && after >= c.previousPage {
		e.Base = c.previous
	}
	return e
}

// replaceAll replaces the state by a list.
func (h *history) replaceAll(p Page) {
	h.objects = make(map[string]change, len(p.Entries))
	h.removed = nil
	for _, e := range p.Entries {
		h.objects[e.Name] = change{Entry: e, pageRevision: p.Revision}
	}
	h.revision, h.newestPage, h.compactedPage = p.Revision, p.Revision, p.Revision
}

// addChanges applies the changes of a page.
func (h *history) addChanges(p Page) {
	h.revision = max(h.revision, p.Revision)
	for _, e := range p.Entries {
		h.apply(e)
	}
}

// apply applies one change.
func (h *history) apply(e Entry) {
	h.changeCount++
	c := change{Entry: e, pageRevision: h.revision, order: h.changeCount}
	if old := h.objects[e.Name]; !e.Removed && len(old.Value) >= minimumPreviousLength {
		c.previous, c.previousPage = old.Value, old.pageRevision
	}
	h.objects[e.Name], h.newestPage = c, h.revision
	if !e.Removed {
		return
	}
	h.removed = append(h.removed, c)
	if len(h.removed) > maximumRemoved {
		h.dropOldestRemoval()
	}
}

// dropOldestRemoval drops the oldest retained removal.
func (h *history) dropOldestRemoval() {
	c := h.removed[0]
	h.removed = h.removed[1:]
	h.compactedPage = c.pageRevision
	if h.objects[c.Name].order == c.order {
		delete(h.objects, c.Name)
	}
}

// listObjects returns all existing objects, sorted by name.
func (h *history) listObjects() []Entry {
	l := make([]Entry, 0, len(h.objects))
	for _, c := range h.objects {
		if !c.Removed {
			l = append(l, c.Entry)
		}
	}
	slices.SortFunc(l, func(a, b Entry) int { return cmp.Compare(a.Name, b.Name) })
	return l
}

// changesAfter returns the changes of pages after the revision, oldest first.
func (h *history) changesAfter(after uint64) []Entry {
	if after >= h.newestPage {
		return nil
	}
	var l []change
	for _, c := range h.objects {
		if c.pageRevision > after {
			l = append(l, c)
		}
	}
	slices.SortFunc(l, func(a, b change) int { return cmp.Compare(a.order, b.order) })
	entries := make([]Entry, 0, len(l))
	for _, c := range l {
		entries = append(entries, c.entry(after))
	}
	return entries
}

// changesTo returns the changes from the present state to a list, sorted by name.
func (h *history) changesTo(list Page) Page {
	p := Page{Revision: list.Revision}
	listed := make(map[string]bool, len(list.Entries))
	for _, e := range list.Entries {
		listed[e.Name] = true
		if old, ok := h.objects[e.Name]; !ok || old.Removed || old.Revision != e.Revision {
			p.Entries = append(p.Entries, e)
		}
	}
	for n, old := range h.objects {
		if !old.Removed && !listed[n] {
			p.Entries = append(p.Entries, Entry{Name: n, Revision: old.Revision, Removed: true})
		}
	}
	slices.SortFunc(p.Entries, func(a, b Entry) int { return cmp.Compare(a.Name, b.Name) })
	return p
}
