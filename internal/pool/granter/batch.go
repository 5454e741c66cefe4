package granter

import (
	"context"
	"encoding/binary"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/peer/encoder"
	"github.com/cuminwick/cuminwick/internal/pool/messenger"
	"github.com/cuminwick/cuminwick/internal/wire/batcher"
	"github.com/cuminwick/cuminwick/internal/wire/framer"
)

// addItems adds the messages of a KindItems payload to the batch.
func addItems(b *batch, p []byte) error {
	var m messenger.Items
	if err := encoder.Unmarshal(p, &m); err != nil {
		return err
	}
	for _, i := range m.Items {
		if !isItem(&i) {
			return errors.Annotatef(encoder.ErrMalformed, "item of type %q, %d bytes", i.Type, len(i.Raw))
		}
		b.Add(i.Type, i.Answer, i.Raw)
		t := &b.Items[len(b.Items)-1]
		t.Name, t.Begins, t.Results = i.Name, i.Begins, i.Results
	}
	if b.Size() > messenger.MaximumBytes {
		return errors.Annotatef(messenger.ErrTooLarge, "batch of %d bytes", b.Size())
	}
	return nil
}

// isItem reports whether i holds exactly one message, of its type and of one that a batch may hold.
// The answers of the backend server are counted by the types of the items.
func isItem(i *messenger.Item) bool {
	if !isMessage(i.Type, i.Raw) || i.Answer > batcher.Omit || i.Results < 0 {
		return false
	}
	switch i.Type {
	case batcher.Sync, batcher.Flush:
		return len(i.Raw) == framer.HeaderBytes
	case batcher.Query, batcher.Parse, batcher.Bind, batcher.Describe, batcher.Execute, batcher.Close:
		return true
	}
	return false
}

// isMessage reports whether raw is one message of type t with its header.
func isMessage(t byte, raw []byte) bool {
	return len(raw) >= framer.HeaderBytes && raw[0] == t && int64(binary.BigEndian.Uint32(raw[1:])) == int64(len(raw)-1)
}

// isComplete reports whether the backend server answers the batch as a whole: it is a single Query, or
// ends with its only Sync or Flush. It may be empty if the position is asked for.
func isComplete(b *batch) bool {
	n := len(b.Items)
	if n == 0 {
		return b.AskPosition
	}
	for i := range b.Items {
		ends := endsBatch(b.Items[i].Type)
		if ends != (i == n-1) || b.Items[i].Type == batcher.Query && n > 1 {
			return false
		}
	}
	return true
}

func endsBatch(t byte) bool {
	return t == batcher.Query || t == batcher.Sync || t == batcher.Flush
}

// handleExecute passes the batch on to be run. The exchanges of a lease are numbered without gaps.
func (s *service) handleExecute(ctx context.Context, b *batch, p []byte) error {
	if err := encoder.Unmarshal(p, &b.Execute); err != nil {
		return err
	}
	if b.Sequence != s.received+1 || !isComplete(b) {
		return errors.Annotatef(encoder.ErrMalformed, "exchange %d of %d items after exchange %d", b.Sequence, len(b.Items), s.received)
	}
	s.received = b.Sequence
	select {
	case s.batches <- *b:
	case <-ctx.Done():
		return ctx.Err()
	}
	*b = batch{}
	return nil
}
