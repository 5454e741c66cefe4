package replicator

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Column is one column of a table.
type Column struct {
	Name string `cbor:"1,keyasint" json:"name"`
	// Type is the object identifier (OID) of the PostgreSQL type.
	Type    uint32 `cbor:"2,keyasint" json:"type"`
	NotNull bool   `cbor:"3,keyasint,omitempty" json:"not-null,omitempty"`
	// Default is the SELECT statement that computes the default value, empty if none.
	Default string `cbor:"4,keyasint,omitempty" json:"default,omitempty"`
	// Serial says that an insert without a value takes the next number of the table.
	Serial bool `cbor:"5,keyasint,omitempty" json:"serial,omitempty"`
}

// Unique is a unique constraint on a set of columns.
type Unique struct {
	Name    string `cbor:"1,keyasint" json:"name"`
	Columns []int  `cbor:"2,keyasint" json:"columns"`
}

// Definition describes one table: its columns and constraints.
type Definition struct {
	Name    string   `cbor:"1,keyasint" json:"name"`
	Columns []Column `cbor:"2,keyasint" json:"columns"`
	// Key is the primary key, nil if none.
	Key *Unique `cbor:"3,keyasint,omitempty" json:"key,omitempty"`
	// Uniques are the unique constraints besides the primary key.
	Uniques []Unique `cbor:"4,keyasint,omitempty" json:"uniques,omitempty"`
}

// Index returns the index of the named column, or -1 if there is none.
func (d *Definition) Index(name string) int {
	for i := range d.Columns {
		if d.Columns[i].Name == name {
			return i
		}
	}
	return -1
}

// Encode joins the values of the columns of u to one text, equal for equal values; ok is false if one
// of them is null. With several columns each value is preceded by its length, so that different
// values never give the same text.
func (u *Unique) Encode(values []any) (key string, ok bool) {
	if len(u.Columns) == 1 {
		return EncodeValue(values[u.Columns[0]])
	}
	var b strings.Builder
	for _, c := range u.Columns {
		e, ok := EncodeValue(values[c])
		if !ok {
			return "", false
		}
		fmt.Fprintf(&b, "%d:%s", len(e), e)
	}
	return b.String(), true
}

// EncodeValue returns equal text for equal values; ok is false for null.
func EncodeValue(v any) (text string, ok bool) {
	switch v := v.(type) {
	case nil:
		return "", false
	case string:
		return v, true
	case []byte:
		return string(v), true
	case time.Time:
		return v.UTC().Format(time.RFC3339Nano), true
	default:
		return fmt.Sprint(v), true
	}
}

// ChangeKind is the kind of a Change.
type ChangeKind int

// Kinds of change.
const (
	// CreateTable adds an empty table.
	CreateTable ChangeKind = iota + 1
	// DropTable removes a table.
	DropTable
	// PutRow inserts or replaces one row.
	PutRow
	// DeleteRow removes one row.
	DeleteRow
)

// Change is one step of a committed transaction.
type Change struct {
	Kind       ChangeKind  `cbor:"1,keyasint" json:"kind"`
	Table      string      `cbor:"2,keyasint" json:"table"`
	Definition *Definition `cbor:"3,keyasint,omitempty" json:"definition,omitempty"`
	Key        string      `cbor:"4,keyasint,omitempty" json:"key,omitempty"`
	Values     []any       `cbor:"5,keyasint,omitempty" json:"values,omitempty"`
}

// Row is one row version; it is never modified.
type Row struct {
	Key    string
	Values []any
	// order is the sequence number of the row's first insertion.
	order uint64
}

// table holds the definition, the committed rows and the unique indexes of one table.
type table struct {
	definition *Definition
	rows       map[string]*Row
	indexes    []map[string]string
	nextSerial int64
}

// apply applies a committed change to the tables; the caller holds the mutex.
func (s *Store) apply(c *Change) {
	switch c.Kind {
	case CreateTable:
		s.tables[c.Table] = newTable(c.Definition)
	case DropTable:
		delete(s.tables, c.Table)
	case PutRow:
		s.sequence++
		s.tables[c.Table].put(c.Key, c.Values, s.sequence)
	case DeleteRow:
		s.tables[c.Table].remove(c.Key)
	}
}

// newTable returns an empty table.
func newTable(d *Definition) *table {
	t := &table{definition: d, rows: map[string]*Row{}, nextSerial: 1}
	for range d.Uniques {
		t.indexes = append(t.indexes, map[string]string{})
	}
	return t
}

// put inserts or replaces a row and updates the indexes. A replaced row keeps its order.
func (t *table) put(key string, values []any, order uint64) {
	if o, ok := t.rows[key]; ok {
		order = o.order
		t.remove(key)
	}
	t.rows[key] = &Row{Key: key, Values: values, order: order}
	for i := range t.indexes {
		if e, ok := t.definition.Uniques[i].Encode(values); ok {
			t.indexes[i][e] = key
		}
	}
	for i := range t.definition.Columns {
		if n, ok := values[i].(int64); ok && t.definition.Columns[i].Serial && n >= t.nextSerial {
			t.nextSerial = n + 1
		}
	}
}

// remove deletes a row, if it exists, and its index entries.
func (t *table) remove(key string) {
	r, ok := t.rows[key]
	if !ok {
		return
	}
	for i := range t.indexes {
		if e, ok := t.definition.Uniques[i].Encode(r.Values); ok {
			delete(t.indexes[i], e)
		}
	}
	delete(t.rows, key)
}

// sortedRows returns the rows in the order of their first insertion.
func (t *table) sortedRows() []*Row {
	r := make([]*Row, 0, len(t.rows))
	for _, e := range t.rows {
		r = append(r, e)
	}
	slices.SortFunc(r, func(a, b *Row) int { return cmp.Compare(a.order, b.order) })
	return r
}

// TableDump holds the definition and all rows of one table.
type TableDump struct {
	Definition Definition `json:"definition"`
	Rows       [][]any    `json:"rows"`
}

// Dump holds the tables and the log of a server, for a consistency checker to compare.
type Dump struct {
	BackendServer string               `json:"backend-server"`
	Tables        map[string]TableDump `json:"tables"`
	Log           []Record             `json:"log"`
	// Dropped are the records that the server truncated from its log to follow a later primary.
	Dropped []Record `json:"dropped,omitempty"`
}

// Dump returns a consistent snapshot of the server's tables and log.
func (s *Store) Dump() Dump {
	s.lock()
	defer s.mutex.Unlock()
	d := Dump{BackendServer: s.Name, Tables: map[string]TableDump{}, Log: slices.Clone(s.log), Dropped: slices.Clone(s.dropped)}
	for n, t := range s.tables {
		u := TableDump{Definition: *t.definition}
		for _, r := range t.sortedRows() {
			u.Rows = append(u.Rows, r.Values)
		}
		d.Tables[n] = u
	}
	return d
}
