package replicator

import (
	"context"
	"fmt"
	"slices"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/backend/controller"
	"github.com/cuminwick/cuminwick/internal/group/marker"
)

// Transaction holds the pending changes and locks of one transaction. It reads what is committed at
// each statement (isolation level read committed) and its own changes.
type Transaction struct {
	// Store is the store of the server that runs the transaction; set by Begin.
	Store *Store

	changes       []Change
	pendingRows   map[rowID]*Row // nil for a deleted row
	pendingTables map[string]*Definition
	epoch         uint64
	locked        []string
	waiting       *Transaction
	done          chan struct{}
}

// rowID identifies a row by its table's name and its key.
type rowID struct {
	table string
	key   string
}

// Begin starts a transaction.
func (s *Store) Begin() *Transaction {
	s.lock()
	defer s.mutex.Unlock()
	return &Transaction{Store: s, epoch: s.epoch, done: make(chan struct{})}
}

// Table returns the definition of the named table, nil if there is none.
func (t *Transaction) Table(name string) *Definition {
	if d, ok := t.pendingTables[name]; ok {
		return d
	}
	t.Store.mutex.RLock()
	defer t.Store.mutex.RUnlock()
	if c, ok := t.Store.tables[name]; ok {
		return c.definition
	}
	return nil
}

// committedTable returns the committed table, nil if there is none or the transaction dropped or
// recreated it. The caller holds the store's mutex.
func (t *Transaction) committedTable(name string) *table {
	if d, ok := t.pendingTables[name]; ok && (d == nil || t.Store.tables[name] == nil || t.Store.tables[name].definition != d) {
		return nil
	}
	return t.Store.tables[name]
}

// Get returns the row with the given key, nil if there is none.
func (t *Transaction) Get(name, key string) *Row {
	if r, ok := t.pendingRows[rowID{name, key}]; ok {
		return r
	}
	t.Store.mutex.RLock()
	defer t.Store.mutex.RUnlock()
	if c := t.committedTable(name); c != nil {
		return c.rows[key]
	}
	return nil
}

// Scan returns all rows of a table that the transaction sees now.
func (t *Transaction) Scan(name string) []*Row {
	t.Store.mutex.RLock()
	var r []*Row
	if c := t.committedTable(name); c != nil {
		r = c.sortedRows()
	}
	t.Store.mutex.RUnlock()
	if len(t.pendingRows) == 0 {
		return r
	}
	return t.overlay(name, r)
}

// overlay replaces committed rows by the transaction's own versions and adds its new rows.
func (t *Transaction) overlay(name string, rows []*Row) []*Row {
	seen := map[string]bool{}
	var r []*Row
	for _, e := range rows {
		seen[e.Key] = true
		if p, ok := t.pendingRows[rowID{name, e.Key}]; ok {
			e = p
		}
		if e != nil {
			r = append(r, e)
		}
	}
	for _, c := range t.changes {
		if c.Table != name || c.Kind != PutRow || seen[c.Key] {
			continue
		}
		seen[c.Key] = true
		if p := t.pendingRows[rowID{name, c.Key}]; p != nil {
			r = append(r, p)
		}
	}
	return r
}

// FindUnique returns the key of the row that has the encoded value in unique constraint i of d; ok is
// false if there is none.
func (t *Transaction) FindUnique(d *Definition, i int, value string) (key string, ok bool) {
	for n, r := range t.pendingRows {
		if n.table != d.Name || r == nil {
			continue
		}
		if e, ok := d.Uniques[i].Encode(r.Values); ok && e == value {
			return n.key, true
		}
	}
	t.Store.mutex.RLock()
	defer t.Store.mutex.RUnlock()
	c := t.committedTable(d.Name)
	if c == nil {
		return "", false
	}
	k, ok := c.indexes[i][value]
	if _, own := t.pendingRows[rowID{d.Name, k}]; !ok || own {
		return "", false
	}
	return k, true
}

// NextSerial returns the next number for the serial columns of a table. As in PostgreSQL, a rollback
// does not return the number.
func (t *Transaction) NextSerial(name string) int64 {
	t.Store.lock()
	defer t.Store.mutex.Unlock()
	c := t.Store.tables[name]
	if c == nil {
		return int64(len(t.changes))
	}
	n := c.nextSerial
	c.nextSerial++
	return n
}

// NewKey returns a unique key for a row of a table without primary key.
func (t *Transaction) NewKey() string {
	t.Store.lock()
	defer t.Store.mutex.Unlock()
	t.Store.rowNumber++
	return fmt.Sprintf("%s.%d.%d", t.Store.Name, t.Store.term, t.Store.rowNumber)
}

// Writable returns ErrReadOnly if the server cannot commit this transaction's writes.
func (t *Transaction) Writable() error {
	t.Store.mutex.RLock()
	defer t.Store.mutex.RUnlock()
	return t.writable()
}

// writable is Writable for a caller that holds the store's mutex.
func (t *Transaction) writable() error {
	s := t.Store
	if s.role != controller.RolePrimary {
		return errors.Annotatef(ErrReadOnly, "%s is %s", s.Name, s.role)
	}
	if t.epoch != s.epoch {
		return errors.Annotatef(ErrReadOnly, "%s changed its role since the transaction began", s.Name)
	}
	return nil
}

// Add adds one change to the transaction.
func (t *Transaction) Add(c Change) {
	t.changes = append(t.changes, c)
	t.overlayChange(c)
}

// overlayChange makes a change visible to the transaction's own reads.
func (t *Transaction) overlayChange(c Change) {
	if t.pendingRows == nil {
		t.pendingRows = map[rowID]*Row{}
		t.pendingTables = map[string]*Definition{}
	}
	switch c.Kind {
	case CreateTable:
		t.pendingTables[c.Table] = c.Definition
	case DropTable:
		t.pendingTables[c.Table] = nil
	case PutRow:
		t.pendingRows[rowID{c.Table, c.Key}] = &Row{Key: c.Key, Values: c.Values}
	case DeleteRow:
		t.pendingRows[rowID{c.Table, c.Key}] = nil
	}
}

// Savepoint returns the number of changes so far, for RollbackTo.
func (t *Transaction) Savepoint() int {
	return len(t.changes)
}

// RollbackTo drops the changes since Savepoint returned n; locks are kept.
func (t *Transaction) RollbackTo(n int) {
	c := slices.Clone(t.changes[:n])
	t.changes, t.pendingRows, t.pendingTables = nil, nil, nil
	for _, e := range c {
		t.Add(e)
	}
}

// Empty reports whether the transaction has changed nothing.
func (t *Transaction) Empty() bool {
	return len(t.changes) == 0
}

// Commit writes the changes as one log record, atomically for readers, and returns its mark, zero if
// there are no changes. It releases the locks in any case.
//
// It returns ErrReadOnly on a server that was fenced since the transaction began, so that nothing
// commits under a term that has ended.
func (t *Transaction) Commit() (marker.Mark, error) {
	defer t.releaseLocks()
	if len(t.changes) == 0 {
		return marker.Mark{}, nil
	}
	s := t.Store
	s.lock()
	defer s.mutex.Unlock()
	if err := t.writable(); err != nil {
		return marker.Mark{}, err
	}
	return s.write(t.changes), nil
}

// Rollback drops the changes and releases the locks.
func (t *Transaction) Rollback() {
	t.releaseLocks()
}

// releaseLocks releases the locks and marks the transaction as ended, on the first call only.
func (t *Transaction) releaseLocks() {
	s := t.Store
	s.lockMutex.Lock()
	defer s.lockMutex.Unlock()
	select {
	case <-t.done:
		return
	default:
	}
	for _, n := range t.locked {
		delete(s.locks, n)
	}
	t.locked = nil
	close(t.done)
}

// TryLock takes the named lock. If another transaction holds it, that transaction is returned and
// recorded as the one waited for; ErrDeadlock is returned if it waits for this one.
func (t *Transaction) TryLock(name string) (*Transaction, error) {
	s := t.Store
	s.lockMutex.Lock()
	defer s.lockMutex.Unlock()
	o := s.locks[name]
	if o == t {
		return nil, nil
	}
	if o == nil {
		t.waiting = nil
		s.locks[name] = t
		t.locked = append(t.locked, name)
		return nil, nil
	}
	for w := o; w != nil; w = w.waiting {
		if w == t {
			return nil, errors.Annotatef(ErrDeadlock, "lock %s", name)
		}
	}
	t.waiting = o
	return o, nil
}

// Lock takes the named lock and waits for the transaction that holds it. It returns ErrDeadlock if
// that one waits for this transaction.
func (t *Transaction) Lock(ctx context.Context, name string) error {
	for {
		o, err := t.TryLock(name)
		if err != nil || o == nil {
			return err
		}
		err = t.wait(ctx, o)
		if err != nil {
			return err
		}
	}
}

// wait returns once o has ended, or with the error of ctx.
func (t *Transaction) wait(ctx context.Context, o *Transaction) error {
	defer t.stopWaiting()
	select {
	case <-o.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// stopWaiting records that the transaction waits for no other one.
func (t *Transaction) stopWaiting() {
	t.Store.lockMutex.Lock()
	defer t.Store.lockMutex.Unlock()
	t.waiting = nil
}
