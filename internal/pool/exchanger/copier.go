package exchanger

import (
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/wire/batcher"
)

// copyIn forwards the caller's COPY data to the server up to CopyDone or CopyFail.
func (x *Exchange) copyIn() error {
	for {
		t, p, err := x.Input.Next()
		if err != nil {
			return x.abortCopy(err)
		}
		if _, err := x.Conn.Write(p); err != nil {
			return x.lost(err)
		}
		if t == batcher.CopyDone || t == batcher.CopyFail {
			return x.endCopy()
		}
	}
}

// endCopy forwards the Sync that ends a COPY of the extended protocol. PostgreSQL ignores the Sync
// of the batch itself, because it receives that one during COPY.
func (x *Exchange) endCopy() error {
	n := len(x.Batch.Items)
	if x.Batch.Items[n-1].Type != batcher.Sync {
		return nil
	}
	for {
		t, p, err := x.Input.Next()
		if err != nil {
			return x.lost(err)
		}
		if _, err := x.Conn.Write(p); err != nil {
			return x.lost(err)
		}
		if t == batcher.Sync {
			return nil
		}
	}
}

// abortCopy fails the COPY after the caller has disconnected, so that it is rolled back.
func (x *Exchange) abortCopy(cause error) error {
	x.callerErr = errors.Annotate(cause, "read copy data from caller")
	var b batcher.Batch
	b.AddBody(batcher.CopyFail, batcher.Pass, []byte("caller disconnected\x00"))
	if x.Batch.Items[len(x.Batch.Items)-1].Type == batcher.Sync {
		b.AddBody(batcher.Sync, batcher.Pass)
	}
	if _, err := x.Conn.Write(b.AppendTo(nil)); err != nil {
		return x.lost(err)
	}
	return nil
}
