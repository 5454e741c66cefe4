package cachesyncer

import (
	"cmp"
	"encoding/json"
	"slices"
)

const (
	// maximumRemoved bounds the removed objects that are kept for other hosts. One that asks
	// for changes before the oldest of them gets the whole list.
	maximumRemoved = 512
	// keepBefore is the length in bytes from which a value that was replaced is kept.
	keepBefore = 16 << 10
)

// history is the state of one kind of object, with the last change of each.
type history struct {
	// objects are the last changes by name, those of removed objects included.
	objects map[string]change
	// removed are the changes that removed an object, in order.
	removed []change
	// revision is that of objects, zero before the first list.
	revision uint64
	// changes counts those since the first list, newest is the page of the last one, and
	// floor the revision from which all are kept.
	changes, newest, floor uint64
}

// change is an entry with the revision of the page that brought it, and its place in the
// order of changes. The entry's revision doesn't order changes: an object that is gone may
// have the one of its last change.
type change struct {
	Entry
	page, order uint64
	// before is the value of a large object that this change replaced, from the page
	// beforePage on.
	before     json.RawMessage
	beforePage uint64
}

// entry returns the change for whoever has everything up to the revision.
func (c change) entry(after uint64) Entry {
	e := c.Entry
	if c.before != nil && after >= c.beforePage {
		e.Base = c.before
	}
	return e
}

// replace takes a list.
func (h *history) replace(p Page) {
	h.objects = make(map[string]change, len(p.Entries))
	h.removed = nil
	for _, e := range p.Entries {
		h.objects[e.Name] = change{Entry: e, page: p.Revision}
	}
	h.revision, h.newest, h.floor = p.Revision, p.Revision, p.Revision
}

// add takes changes.
func (h *history) add(p Page) {
	h.revision = max(h.revision, p.Revision)
	for _, e := range p.Entries {
		h.take(e)
	}
}

// take folds one change in.
func (h *history) take(e Entry) {
	h.changes++
	c := change{Entry: e, page: h.revision, order: h.changes}
	if old := h.objects[e.Name]; !e.Removed && len(old.Value) >= keepBefore {
		c.before, c.beforePage = old.Value, old.page
	}
	h.objects[e.Name], h.newest = c, h.revision
	if !e.Removed {
		return
	}
	h.removed = append(h.removed, c)
	if len(h.removed) > maximumRemoved {
		h.forget()
	}
}

// forget drops the oldest removal.
func (h *history) forget() {
	c := h.removed[0]
	h.removed = h.removed[1:]
	h.floor = c.page
	if h.objects[c.Name].order == c.order {
		delete(h.objects, c.Name)
	}
}

// all returns the objects that are there, by name.
func (h *history) all() []Entry {
	l := make([]Entry, 0, len(h.objects))
	for _, c := range h.objects {
		if !c.Removed {
			l = append(l, c.Entry)
		}
	}
	slices.SortFunc(l, func(a, b Entry) int { return cmp.Compare(a.Name, b.Name) })
	return l
}

// later returns the changes of pages after the revision, in order.
func (h *history) later(after uint64) []Entry {
	if after >= h.newest {
		return nil
	}
	var l []change
	for _, c := range h.objects {
		if c.page > after {
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
