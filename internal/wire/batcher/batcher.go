// Package batcher collects the messages that are sent to a backend server together.
package batcher

import (
	"encoding/binary"
	"slices"

	"github.com/cuminwick/cuminwick/internal/wire/framer"
)

// Types of message that a caller sends.
const (
	Query    byte = 'Q'
	Parse    byte = 'P'
	Bind     byte = 'B'
	Describe byte = 'D'
	Execute  byte = 'E'
	Close    byte = 'C'
	Sync     byte = 'S'
	Flush    byte = 'H'
	CopyData byte = 'd'
	CopyDone byte = 'c'
	CopyFail byte = 'f'
)

// Answer tells whether an item is sent to the backend server and how it is answered to the caller.
type Answer uint8

const (
	// Pass sends the message and forwards the answer to the caller.
	Pass Answer = iota
	// Discard sends the message and discards the answer, for a message that the caller didn't send.
	Discard
	// Inject doesn't send the message and synthesizes the answer for the caller.
	Inject
	// Omit neither sends the message nor answers it.
	Omit
)

// Item is one message of a batch.
type Item struct {
	// Type is the type byte of the message.
	Type   byte
	Answer Answer
	// Name is the prepared statement that a Parse defines, empty for the unnamed one and for other
	// messages.
	Name string
	// Begins reports that a Query starts with a BEGIN that the caller didn't send. The CommandComplete
	// of the BEGIN is discarded.
	Begins bool
	// Results is the number of statements of a Query, each of which has one result, zero if it isn't
	// known.
	Results int

	// start and end are the offsets of the message in Batch.raw.
	start, end int
}

// Batch holds messages in the order in which they are sent.
type Batch struct {
	Items []Item

	// raw holds the messages of all items.
	raw []byte
}

// Reset empties the batch. It keeps the memory for reuse unless the messages occupy more than limit
// bytes.
func (b *Batch) Reset(limit int) {
	b.Items = b.Items[:0]
	b.raw = b.raw[:0]
	if cap(b.raw) > limit {
		b.raw = nil
		b.Items = nil
	}
}

// Grow allocates memory for further items and for the given number of bytes of their messages.
func (b *Batch) Grow(items, bytes int) {
	b.Items = slices.Grow(b.Items, items)
	b.raw = slices.Grow(b.raw, bytes)
}

// Size returns the size of all messages in bytes, including those that aren't sent.
func (b *Batch) Size() int {
	return len(b.raw)
}

// Add appends a message of type t; raw includes the header.
func (b *Batch) Add(t byte, a Answer, raw []byte) {
	s := len(b.raw)
	b.raw = append(b.raw, raw...)
	b.Items = append(b.Items, Item{Type: t, Answer: a, start: s, end: len(b.raw)})
}

// AddBody appends a message of type t whose body is the concatenation of parts.
func (b *Batch) AddBody(t byte, a Answer, parts ...[]byte) {
	s := len(b.raw)
	b.raw = append(b.raw, t, 0, 0, 0, 0)
	for _, p := range parts {
		b.raw = append(b.raw, p...)
	}
	binary.BigEndian.PutUint32(b.raw[s+1:], uint32(len(b.raw)-s-1))
	b.Items = append(b.Items, Item{Type: t, Answer: a, start: s, end: len(b.raw)})
}

// AddParse appends a Parse of the named statement; tail is the body of the message after the name.
func (b *Batch) AddParse(a Answer, name string, tail []byte) {
	b.AddBody(Parse, a, []byte(name), []byte{0}, tail)
	b.Items[len(b.Items)-1].Name = name
}

// AddQuery appends a simple query.
func (b *Batch) AddQuery(a Answer, sql string) {
	b.AddBody(Query, a, []byte(sql), []byte{0})
}

// AddStatements appends a simple query of the given number of statements.
func (b *Batch) AddStatements(a Answer, sql string, statements int) {
	b.AddQuery(a, sql)
	b.Items[len(b.Items)-1].Results = statements
}

// EncodeQuery returns the message of a simple query, with its header.
func EncodeQuery(sql string) []byte {
	var b Batch
	b.AddQuery(Discard, sql)
	return b.raw
}

// Raw returns the message of item i with its header.
func (b *Batch) Raw(i int) []byte {
	return b.raw[b.Items[i].start:b.Items[i].end]
}

// Body returns the message of item i without its header.
func (b *Batch) Body(i int) []byte {
	return b.Raw(i)[framer.HeaderBytes:]
}

// AppendTo appends to p the messages of the items that are sent, and returns the result.
func (b *Batch) AppendTo(p []byte) []byte {
	for i := range b.Items {
		if a := b.Items[i].Answer; a == Pass || a == Discard {
			p = append(p, b.Raw(i)...)
		}
	}
	return p
}

// EndsRequest reports whether the batch ends with a Sync or a Query, so that the backend server answers
// it with ReadyForQuery.
func (b *Batch) EndsRequest() bool {
	if len(b.Items) == 0 {
		return false
	}
	t := b.Items[len(b.Items)-1].Type
	return t == Sync || t == Query
}

// WithBegin returns a batch that runs sql, a BEGIN, before the items of b. b must not be empty.
//
// The BEGIN is in the same query text, or before the same Sync, as the items of b. If it were a request
// of its own and were cancelled, the rest would run outside a transaction, and a ROLLBACK could not
// undo it.
func (b *Batch) WithBegin(sql string) *Batch {
	n := &Batch{}
	if b.Items[0].Type == Query {
		n.AddBody(Query, Pass, []byte(sql), []byte("; "), b.Body(0))
		n.Items[0].Begins = true
		if r := b.Items[0].Results; r > 0 {
			n.Items[0].Results = r + 1
		}
		return n
	}
	n.AddBody(Parse, Discard, []byte{0}, []byte(sql), []byte{0, 0, 0})
	n.AddBody(Bind, Discard, make([]byte, 2+2+2+2))
	n.AddBody(Execute, Discard, make([]byte, 1+4))
	for i, t := range b.Items {
		n.Add(t.Type, t.Answer, b.Raw(i))
		n.Items[len(n.Items)-1].Name = t.Name
	}
	return n
}
