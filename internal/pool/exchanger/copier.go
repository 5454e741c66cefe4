package exchanger

import (
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/wire/batcher"
)

// copyIn forwards the caller's COPY data to the server up to CopyDone or CopyFail.
func (x *Exchange) copyIn() error {
	if x.copyFailsByItself() {
		return nil
	}
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

// copyFailsByItself reports whether the batch has another message after the one that began the COPY
// and before the Sync. PostgreSQL takes that message for COPY data and fails. The Sync of the batch
// then ends the answer, and one of the caller's would be answered on its own.
func (x *Exchange) copyFailsByItself() bool {
	u := x.follower.Unanswered()
	if len(u) == 0 || u[0].Type != batcher.Execute {
		return false
	}
	for _, i := range u[1:] {
		if i.Answer == batcher.Pass || i.Answer == batcher.Discard {
			return i.Type != batcher.Sync && i.Type != batcher.Flush
		}
	}
	return false
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
