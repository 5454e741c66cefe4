// Package encoder encodes the messages that entry hosts exchange.
package encoder

import (
	"encoding/binary"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
)

// Protocol is the name under which entry hosts agree on this encoding in the TLS handshake.
const Protocol = "cuminwick/1"

// MaximumMessageBytes bounds one control message. The largest one carries an
// applied file, which is one object of the platform.
const MaximumMessageBytes = 2 << 20

// MaximumDatagramBytes bounds a message that goes in a datagram, so that it
// fits into one packet of the smallest size that QUIC guarantees.
const MaximumDatagramBytes = 1100

// Errors of messages that can't be decoded.
const (
	// ErrTooLarge is returned for a message above its bound.
	ErrTooLarge = errors.ConstError("peer message too large")
	// ErrMalformed is returned for a message that isn't one.
	ErrMalformed = errors.ConstError("peer message malformed")
)

// Bounds for the decoder: a few bytes of CBOR may ask for a large allocation.
const (
	maximumElements = 1 << 16
	maximumNesting  = 16
)

var modes = newModes()

type codec struct {
	encoder cbor.EncMode
	decoder cbor.DecMode
}

func newModes() codec {
	e, err := cbor.EncOptions{}.EncMode()
	if err != nil {
		panic(err)
	}
	d, err := cbor.DecOptions{
		MaxArrayElements: maximumElements,
		MaxMapPairs:      maximumElements,
		MaxNestedLevels:  maximumNesting,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return codec{encoder: e, decoder: d}
}

// Marshal encodes v.
func Marshal(v any) ([]byte, error) {
	b, err := modes.encoder.Marshal(v)
	return b, errors.Annotatef(err, "encode %T", v)
}

// Unmarshal decodes b into v. Unknown fields are skipped, so that hosts of the
// next release can talk to this one.
func Unmarshal(b []byte, v any) error {
	if err := modes.decoder.Unmarshal(b, v); err != nil {
		return errors.Annotatef(ErrMalformed, "decode %T: %v", v, err)
	}
	return nil
}

// lengthBytes is the size of the length before each message on a stream.
const lengthBytes = 4

// Write encodes v and writes it to w with its length before it, in one call.
func Write(w io.Writer, v any) error {
	b, err := Marshal(v)
	if err != nil {
		return err
	}
	if len(b) > MaximumMessageBytes {
		return errors.Annotatef(ErrTooLarge, "%d bytes", len(b))
	}
	m := make([]byte, 0, lengthBytes+len(b))
	m = binary.BigEndian.AppendUint32(m, uint32(len(b)))
	m = append(m, b...)
	_, err = w.Write(m)
	return errors.Annotate(err, "write peer message")
}

// Read reads one message that Write wrote. It reads no byte beyond it, as raw
// bytes may follow, and takes memory only as bytes arrive.
func Read(r io.Reader, v any) error {
	var l [lengthBytes]byte
	if _, err := io.ReadFull(r, l[:]); err != nil {
		return errors.Annotate(err, "read length of peer message")
	}
	n := binary.BigEndian.Uint32(l[:])
	if n > MaximumMessageBytes {
		return errors.Annotatef(ErrTooLarge, "%d bytes announced", n)
	}
	b, err := io.ReadAll(io.LimitReader(r, int64(n)))
	if err != nil {
		return errors.Annotate(err, "read peer message")
	}
	if len(b) < int(n) {
		return errors.Annotate(io.ErrUnexpectedEOF, "read peer message")
	}
	return Unmarshal(b, v)
}
