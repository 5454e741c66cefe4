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

// ApplicationName is the application_name of a replica's connection to its primary. Such connections
// do not count towards the connection limit.
const ApplicationName = "cuminwick-replication"

// Timing of the stream.
const (
	// HeartbeatInterval is the interval at which a primary without new records sends heartbeats.
	HeartbeatInterval = 20 * time.Millisecond
	// idleTimeout ends a stream whose primary sends nothing for so long; it also limits a dial.
	idleTimeout = 500 * time.Millisecond
	// retryDelay is the pause before a replica opens the next stream.
	retryDelay = 20 * time.Millisecond
	// maximumBatchRecords limits the records that are encoded and sent together.
	maximumBatchRecords = 256
	// maximumPartBytes limits the bytes of records in one frame; PostgreSQL's WAL sender has the
	// same limit.
	maximumPartBytes = 128 << 10
)

// hello is the first message of a replica: its name, accepted term and log history.
type hello struct {
	Name    string               `cbor:"1,keyasint"`
	Term    marker.Term          `cbor:"2,keyasint"`
	History []replicator.Segment `cbor:"3,keyasint"`
}

// frame is a message of a primary: a truncation, a part of encoded records, or a heartbeat if it has
// neither.
type frame struct {
	Term marker.Term `cbor:"1,keyasint"`
	// Truncate says that the replica drops the records after position Common. The first frame of a
	// stream sets it.
	Truncate bool            `cbor:"2,keyasint,omitempty"`
	Common   marker.Position `cbor:"3,keyasint,omitempty"`
	// Part is a part of encoded records, the last one if LastPart is set.
	Part     []byte `cbor:"4,keyasint,omitempty"`
	LastPart bool   `cbor:"5,keyasint,omitempty"`
}

// report is a message of a replica that has accepted a higher term.
type report struct {
	Term marker.Term `cbor:"1,keyasint"`
}

// encoder and decoder are the CBOR modes of the stream. They preserve the types of row values:
// integers stay signed, times stay times, byte strings stay []byte.
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
