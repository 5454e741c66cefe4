package server

import (
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/wire/batcher"
	"github.com/cuminwick/cuminwick/internal/wire/framer"
)

const (
	// copyBatchBytes is the size above which a batch of COPY data is passed to the session.
	copyBatchBytes = 32 << 10
	// idleBufferBytes is the size up to which a session without a request keeps its buffers.
	idleBufferBytes = 2 << 10
	// terminate is the message with which a caller ends its connection.
	terminate byte = 'X'
	// functionCall is the message of the obsolete function call protocol, which isn't supported.
	functionCall byte = 'F'
)

// ErrBatchTooLarge is returned if the messages up to the next Sync or Flush exceed the limit.
const ErrBatchTooLarge = errors.ConstError("messages up to the next sync too large")

// inbound reads a caller's messages ahead of the session that handles them.
//
// Two batches circulate between reader and session. The reader always waits for the caller's next
// message, so that a disconnect is detected immediately, even while a request is queued or running.
type inbound struct {
	reader       framer.Reader
	maximumBytes int
	// full passes batches from the reader to the session. It is closed when reading ends.
	full chan *batcher.Batch
	// empty returns batches to the reader. The session closes it when it ends.
	empty chan *batcher.Batch
	// onError is called once, with the error that ended reading.
	onError func(error)
	// err is the error that ended reading. It is valid after full is closed.
	err error
}

func (i *inbound) start() {
	i.full = make(chan *batcher.Batch)
	i.empty = make(chan *batcher.Batch, 2)
	i.empty <- new(batcher.Batch)
	i.empty <- new(batcher.Batch)
	go i.run()
}

// run reads until the caller's connection or the session ends, then closes full.
func (i *inbound) run() {
	defer close(i.full)
	for b := range i.empty {
		b.Reset(idleBufferBytes)
		if err := i.fill(b); err != nil {
			i.err = err
			i.onError(err)
			return
		}
		i.full <- b
	}
}

func (i *inbound) fill(b *batcher.Batch) error {
	for {
		f, err := i.reader.NextWhole()
		if err != nil {
			return errors.Annotate(err, "read from caller")
		}
		b.Add(f.Type, batcher.Pass, f.Raw)
		i.reader.Shrink(idleBufferBytes)
		if endsBatch(f.Type) || f.Type == batcher.CopyData && b.Size() > copyBatchBytes {
			return nil
		}
		if b.Size() > i.maximumBytes {
			return errors.Annotatef(ErrBatchTooLarge, "%d bytes, limit %d", b.Size(), i.maximumBytes)
		}
	}
}

// drain receives and drops the remaining batches, so that the reader can end.
func (i *inbound) drain() {
	for {
		if _, ok := <-i.full; !ok {
			return
		}
	}
}

func endsBatch(t byte) bool {
	switch t {
	case batcher.Parse, batcher.Bind, batcher.Describe, batcher.Execute, batcher.Close, batcher.CopyData:
		return false
	default:
		return true
	}
}
