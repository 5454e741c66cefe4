// Package prioritizer implements a priority queue.
package prioritizer

// Queue is a binary heap from which any item can be removed. It isn't safe for concurrent use.
type Queue[T any] struct {
	// Less reports whether a comes before b; it is set before the first use.
	Less  func(a, b T) bool
	items []*Item[T]
}

// Item is a value in a Queue, or one that has been removed from it.
type Item[T any] struct {
	Value T
	// index is the position in the heap, or -1 once the item has been removed.
	index int
}

// Len returns the number of items.
func (q *Queue[T]) Len() int {
	return len(q.items)
}

// Push adds v and returns its item, which Remove and Fix take.
func (q *Queue[T]) Push(v T) *Item[T] {
	i := &Item[T]{Value: v, index: len(q.items)}
	q.items = append(q.items, i)
	q.up(i.index)
	return i
}

// First returns the first value without removing it, and whether there is one.
func (q *Queue[T]) First() (T, bool) {
	if len(q.items) == 0 {
		var z T
		return z, false
	}
	return q.items[0].Value, true
}

// Pop removes and returns the first value, and whether there is one.
func (q *Queue[T]) Pop() (T, bool) {
	v, ok := q.First()
	if ok {
		q.Remove(q.items[0])
	}
	return v, ok
}

// Remove removes i and reports whether it was still in the queue.
func (q *Queue[T]) Remove(i *Item[T]) bool {
	n := i.index
	if n < 0 {
		return false
	}
	last := len(q.items) - 1
	q.swap(n, last)
	q.items[last] = nil
	q.items = q.items[:last]
	i.index = -1
	if n < last {
		q.fix(n)
	}
	return true
}

// Fix restores the order after i's value has changed. It does nothing if i has been removed.
func (q *Queue[T]) Fix(i *Item[T]) {
	if i.index >= 0 {
		q.fix(i.index)
	}
}

func (q *Queue[T]) fix(n int) {
	if !q.down(n) {
		q.up(n)
	}
}

func (q *Queue[T]) up(n int) {
	for n > 0 {
		p := (n - 1) / 2
		if !q.less(n, p) {
			return
		}
		q.swap(n, p)
		n = p
	}
}

// down moves the item at n down to its place and reports whether it moved.
func (q *Queue[T]) down(n int) bool {
	s := n
	for {
		c := q.firstOf(2*n+1, 2*n+2)
		if c < 0 || !q.less(c, n) {
			return n != s
		}
		q.swap(n, c)
		n = c
	}
}

// firstOf returns which of the positions a and b = a+1 comes first, or -1 if neither exists.
func (q *Queue[T]) firstOf(a, b int) int {
	if a >= len(q.items) {
		return -1
	}
	if b < len(q.items) && q.less(b, a) {
		return b
	}
	return a
}

func (q *Queue[T]) less(a, b int) bool {
	return q.Less(q.items[a].Value, q.items[b].Value)
}

func (q *Queue[T]) swap(a, b int) {
	q.items[a], q.items[b] = q.items[b], q.items[a]
	q.items[a].index = a
	q.items[b].index = b
}
