// Package encoder encodes the messages that entry hosts exchange.
package encoder

import (
	"encoding/binary"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
)

// Protocol is the ALPN protocol name by which entry hosts agree on this encoding in the TLS
// handshake.
const Protocol = "cuminwick/1"

// MaximumMessageBytes is the maximum size of a message on a stream. The largest message carries an
// applied configuration file, which is one object of the platform.
const MaximumMessageBytes = 2 << 20

// MaximumDatagramBytes is the maximum size of a message in a datagram. Such a message fits into one
// packet of the minimum size that QUIC guarantees.
const MaximumDatagramBytes = 1100

// Errors of messages.
const (
	// ErrTooLarge is returned for a message larger than MaximumMessageBytes, or than
	// MaximumDatagramBytes in a datagram.
	ErrTooLarge = errors.ConstError("peer message too large")
	// ErrMalformed is returned for bytes that can't be decoded as the expected message.
	ErrMalformed = errors.ConstError("peer message malformed")
)

// Limits of the decoder, since a few bytes of CBOR may declare a large allocation.
const (
	maximumElements = 1 << 16
	maximumNesting  = 16
)

// modes holds the CBOR modes of all messages.
var modes = newModes()

// codec holds an encoding and a decoding mode of CBOR.
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

// Marshal encodes v as CBOR.
func Marshal(v any) ([]byte, error) {
	b, err := modes.encoder.Marshal(v)
	return b, errors.Annotatef(err, "encode %T", v)
}

// Unmarshal decodes b into v. It returns ErrMalformed if that fails. Unknown fields are skipped, so
// that a host of a newer release can send messages with additional fields.
func Unmarshal(b []byte, v any) error {
	if err := modes.decoder.Unmarshal(b, v); err != nil {
		return errors.Annotatef(ErrMalformed, "decode %T: %v", v, err)
	}
	return nil
}

// lengthBytes is the size of the length that precedes each message on a stream.
const lengthBytes = 4

// Write encodes v and writes its length and the encoding to w in one call. It returns ErrTooLarge
// if the encoding exceeds MaximumMessageBytes.
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

// Read reads one message that Write wrote and decodes it into v. It reads no byte beyond the
// message, since raw bytes may follow, and allocates memory only as bytes arrive, so that a large
// declared length costs nothing. It returns ErrTooLarge if the declared length exceeds
// MaximumMessageBytes.
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
