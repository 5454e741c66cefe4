package streamer

import (
	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/standin/replicator"
)

// recordFetch takes records from the store and encodes them while the sender goes
// on with its heartbeats.
//
// A COPY is one record: to commit it keeps the store's mutex, and to encode it
// takes a processor, each for hundreds of milliseconds on a busy machine. With no
// heartbeat in between, replicas would take the primary for lost.
type recordFetch struct {
	store *replicator.Store
	term  marker.Term
	from  marker.Position
	// done is closed when the fields below are set.
	done chan struct{}
	// changed is closed at the store's next change after the records were taken.
	changed <-chan struct{}
	count   int
	bytes   []byte
	err     error
}

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
