package streamer

import (
	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/standin/replicator"
)

// recordFetch reads records from the store and encodes them while the sender continues to send
// heartbeats.
//
// A COPY is one record: its commit holds the store's mutex, and its encoding occupies a processor,
// each for hundreds of milliseconds on a busy machine. Without heartbeats during that time, replicas
// would assume that the primary has failed.
type recordFetch struct {
	store *replicator.Store
	term  marker.Term
	from  marker.Position
	// done is closed once the fields below are set.
	done chan struct{}
	// changed is closed at the store's next change after the records were read.
	changed <-chan struct{}
	// count is the number of records in bytes, which is nil if there are none.
	count int
	bytes []byte
	err   error
}

// run reads and encodes the records after from and closes done.
func (g *recordFetch) run() {
	defer close(g.done)
	g.changed = g.store.Changed()
	r, err := g.store.ReadRecords(g.term, g.from, maximumBatchRecords)
	if err != nil {
		g.err = err
		return
	}
	g.count = len(r)
	if len(r) > 0 {
		g.bytes, g.err = encode(r)
	}
}
