package exchanger

import (
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/wire/batcher"
)

// copyIn passes the caller's data on until it ends the COPY.
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

// endCopy passes on the Sync that ends a COPY of the extended protocol: the
// one that came with the batch is ignored by a backend server in COPY.
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

// abortCopy fails the COPY of a caller that went away, so that nothing of it takes effect.
func (x *Exchange) abortCopy(cause error) error {
	x.outErr = errors.Annotate(cause, "read copy data from caller")
	var b batcher.Batch
	b.AddBody(batcher.CopyFail, batcher.Pass, []byte("caller disconnected\x00"))
	if x.Batch.Items[len(x.Batch.Items)-1].Type == batcher.Sync {
		b.AddBody(batcher.Sync, batcher.Pass)
	}
	if _, err := x.Conn.Write(b.Append(nil)); err != nil {
		return x.lost(err)
	}
	return nil
}
