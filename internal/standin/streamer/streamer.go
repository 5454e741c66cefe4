// Package streamer carries log records from a stand-in primary to its replicas over TCP.
package streamer

import (
	"reflect"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/standin/replicator"
)

// ApplicationName marks a replica's connection to its primary; it counts towards no limit.
const ApplicationName = "cuminwick-replication"

// Timing of the stream.
const (
	// HeartbeatInterval is how often a primary sends when it has no records.
	HeartbeatInterval = 20 * time.Millisecond
	// idleTimeout ends a stream whose primary sends nothing.
	idleTimeout = 500 * time.Millisecond
	// retryDelay is the pause before a replica dials again.
	retryDelay = 20 * time.Millisecond
	// maximumBatchRecords is the most records that are sent together.
	maximumBatchRecords = 256
	// maximumPartBytes is the most bytes of records in one frame, as PostgreSQL's sender
	// has it.
	maximumPartBytes = 128 << 10
)

// hello opens a stream: what a replica has.
type hello struct {
	Name    string               `cbor:"1,keyasint"`
	Term    marker.Term          `cbor:"2,keyasint"`
	History []replicator.Segment `cbor:"3,keyasint"`
}

// frame is what a primary sends: a part of encoded records, or none as a heartbeat.
type frame struct {
	Term marker.Term `cbor:"1,keyasint"`
	// First says that Common counts: the replica drops what follows it.
	First  bool            `cbor:"2,keyasint,omitempty"`
	Common marker.Position `cbor:"3,keyasint,omitempty"`
	// Part belongs to encoded records, which end with the part that has Ends.
	Part []byte `cbor:"4,keyasint,omitempty"`
	Ends bool   `cbor:"5,keyasint,omitempty"`
}

// report tells the primary the replica's accepted term.
type report struct {
	Term marker.Term `cbor:"1,keyasint"`
}

// codec keeps the types of row values: integers stay signed, times stay times.
var encoder, decoder = newCodec()

func newCodec() (cbor.EncMode, cbor.DecMode) {
	e, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano, TimeTag: cbor.EncTagRequired}.EncMode()
	if err != nil {
		panic(err)
	}
	d, err := cbor.DecOptions{IntDec: cbor.IntDecConvertSignedOrFail, DefaultByteStringType: reflect.TypeFor[[]byte]()}.DecMode()
	if err != nil {
		panic(err)
	}
	return e, d
}

func encode(v any) ([]byte, error) {
	b, err := encoder.Marshal(v)
	return b, errors.Annotatef(err, "encode %T", v)
}

func decode(b []byte, v any) error {
	return errors.Annotatef(decoder.Unmarshal(b, v), "decode %T", v)
}
