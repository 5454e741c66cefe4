package streamer

import (
	"sync"
	"time"

	"github.com/cuminwick/cuminwick/internal/group/marker"
)

// entry is what one or more frames brought, and when the last of them came.
type entry struct {
	// truncate says that the log is to be cut back to common, else records counts.
	truncate bool
	common   marker.Position
	// records are encoded.
	records  []byte
	received time.Time
}

// delayQueue is a queue of entries that wait for the replication lag to pass.
type delayQueue struct {
	mutex   sync.Mutex
	entries []entry
}

func (d *delayQueue) push(e entry) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.entries = append(d.entries, e)
}

// pop takes the first entry, whether due or not.
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
