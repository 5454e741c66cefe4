package server

import (
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/wire/batcher"
	"github.com/cuminwick/cuminwick/internal/wire/framer"
)

const (
	// handoverBytes is the size at which copy data is handed over.
	handoverBytes = 32 << 10
	// parkedBytes is what a session without a request keeps of its buffers.
	parkedBytes = 2 << 10
	// terminate ends a caller's connection.
	terminate byte = 'X'
	// functionCall is the protocol's old call interface, which isn't served.
	functionCall byte = 'F'
)

// ErrBatchTooLarge is returned when a caller sends more than the limit without a Sync.
const ErrBatchTooLarge = errors.ConstError("messages up to the next sync too large")

// inbound reads a caller's messages ahead of the session that handles them.
//
// Two batches go round between reader and session. The reader always waits
// for the caller's next message, so that a caller who disconnects while its
// request is queued or running is noticed at once.
type inbound struct {
	reader       framer.Reader
	maximumBytes int
	full         chan *batcher.Batch
	empty        chan *batcher.Batch
	// lost is called once with the error that ended reading.
	lost func(error)
	err  error
}

func (i *inbound) start() {
	i.full = make(chan *batcher.Batch)
	i.empty = make(chan *batcher.Batch, 2)
	i.empty <- new(batcher.Batch)
	i.empty <- new(batcher.Batch)
	go i.run()
}

// run ends when the caller's connection does; full is closed then.
func (i *inbound) run() {
	defer close(i.full)
	for b := range i.empty {
		b.Reset(parkedBytes)
		if err := i.fill(b); err != nil {
			i.err = err
			i.lost(err)
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
		i.reader.Shrink(parkedBytes)
		if endsHandover(f.Type) || f.Type == batcher.CopyData && b.Bytes() > handoverBytes {
			return nil
		}
		if b.Bytes() > i.maximumBytes {
			return errors.Annotatef(ErrBatchTooLarge, "%d bytes, limit %d", b.Bytes(), i.maximumBytes)
		}
	}
}

// drain takes what the reader still hands over, so that it can end.
func (i *inbound) drain() {
	for {
		if _, ok := <-i.full; !ok {
			return
		}
	}
}

func endsHandover(t byte) bool {
	switch t {
	case batcher.Parse, batcher.Bind, batcher.Describe, batcher.Execute, batcher.Close, batcher.CopyData:
		return false
	default:
		return true
	}
}
