package streamer

import (
	"sync"
	"time"

	"github.com/cuminwick/cuminwick/internal/group/marker"
)

// entry is the content of one or more frames, with the time when the last of them was received.
type entry struct {
	// truncate says that the log is to be truncated after common; otherwise records are appended.
	truncate bool
	common   marker.Position
	// records is a CBOR-encoded list of records.
	records  []byte
	received time.Time
}

// delayQueue is a queue of received entries that are not applied yet.
type delayQueue struct {
	mutex   sync.Mutex
	entries []entry
}

// push appends an entry.
func (d *delayQueue) push(e entry) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.entries = append(d.entries, e)
}

// pop removes and returns the first entry, whether it is due or not, and reports
// whether there was one.
func (d *delayQueue) pop() (entry, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if len(d.entries) == 0 {
		return entry{}, false
	}
	e := d.entries[0]
	d.entries = d.entries[1:]
	return e, true
}
