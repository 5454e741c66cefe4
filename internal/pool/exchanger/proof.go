package exchanger

import (
	"bytes"
	"encoding/binary"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/pool/keeper"
	"github.com/cuminwick/cuminwick/internal/wire/batcher"
	"github.com/cuminwick/cuminwick/internal/wire/follower"
	"github.com/cuminwick/cuminwick/internal/wire/framer"
)

// proof is a request whose answer returns its number on the connection, so that the answers before it
// were those to the messages before the request. It prepares an empty text with one parameter whose
// type is the number, and has it described. The server runs nothing and takes no snapshot, which a
// SET TRANSACTION after it would not allow, and answers in a failed transaction too.
//
// It ends like the batch, with a Sync or a Flush. After an error the server skips one that ends with a
// Flush.
type proof struct {
	number uint8
	// flush says that the batch ends with a Flush.
	flush bool
	// last is the type of the last message of the answer, zero before the first one.
	last byte
}

// firstProofType is the type that stands for number zero. It must not be zero, the type of a parameter
// that is to be inferred.
const firstProofType = 1 << 16

// proofs holds the encoded requests by their numbers, without the Sync or Flush.
var proofs = encodeProofs()

func encodeProofs() [1 << 8][]byte {
	var l [1 << 8][]byte
	for n := range l {
		var b batcher.Batch
		b.AddBody(batcher.Parse, batcher.Discard, []byte{0, 0}, proofParameters(uint8(n)))
		b.AddBody(batcher.Describe, batcher.Discard, []byte{'S', 0})
		l[n] = b.AppendTo(nil)
	}
	return l
}

// proofParameters returns the count and the type of the parameter, as in a Parse and in a
// ParameterDescription.
func proofParameters(n uint8) []byte {
	return binary.BigEndian.AppendUint32([]byte{0, 1}, firstProofType+uint32(n))
}

// appendTo appends the next proof of c to p, for a batch whose last message has type end.
func (q *proof) appendTo(p []byte, c *keeper.Conn, end byte) []byte {
	c.Numbered++
	q.number, q.flush = c.Numbered, end == batcher.Flush
	t := batcher.Sync
	if q.flush {
		t = batcher.Flush
	}
	return append(append(p, proofs[q.number]...), t, 0, 0, 0, 4)
}

// receiveProof reads the answer to the proof. Messages that the server sends by itself are forwarded to
// the caller.
func (x *Exchange) receiveProof() error {
	if x.proof.flush && x.follower.Failed {
		return nil
	}
	for !x.proof.flush || x.proof.last != follower.NoData {
		f, err := x.Conn.Reader.Next()
		if err != nil {
			return x.lost(err)
		}
		own := follower.IsAnswer(f.Type)
		if own && !x.proof.accept(f) {
			return x.lost(errors.Annotatef(ErrSurplus, "message %q instead of proof %d", f.Type, x.proof.number))
		}
		if f.Type == follower.ReadyForQuery {
			return x.checkStatus(f)
		}
		if err := x.forward(f, !own); err != nil {
			return err
		}
	}
	return nil
}

// accept handles the next message of the answer and reports whether it belongs there: three messages
// and, after a Sync, ReadyForQuery. Before that an error may come in place of the others, after a cancel.
func (q *proof) accept(f framer.Frame) bool {
	ok := false
	switch f.Type {
	case follower.ParseComplete:
		ok = q.last == 0
	case follower.ParameterDescription:
		ok = q.last == follower.ParseComplete && bytes.Equal(f.Body(), proofParameters(q.number))
	case follower.NoData:
		ok = q.last == follower.ParameterDescription
	case follower.ErrorResponse:
		ok = q.last != follower.ErrorResponse && !q.flush
	case follower.ReadyForQuery:
		ok = q.last == follower.NoData || q.last == follower.ErrorResponse
	}
	q.last = f.Type
	return ok
}
