// Package classifier determines from the text of a statement what it does and where it may run.
package classifier

import (
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/juju/errors"
)

// ErrZeroByte is returned for a text with a zero byte, which no statement of the PostgreSQL protocol can
// contain.
const ErrZeroByte = errors.ConstError("text holds a zero byte")

// Defaults of a Classifier.
const (
	DefaultMaximumEntries   = 16384
	DefaultMaximumBytes     = 8 << 20
	DefaultMaximumTextBytes = 8 << 10
)

const (
	shardCount = 16
	// partBytes is the estimated size of a cached Statement, and of each of its Parts.
	partBytes = 320
)

// Classifier classifies texts and caches the results. The zero value is ready for use. A Classifier is
// safe for concurrent use.
type Classifier struct {
	// MaximumEntries and MaximumBytes bound the cache, DefaultMaximumEntries and DefaultMaximumBytes if
	// zero.
	MaximumEntries int
	MaximumBytes   int
	// MaximumTextBytes is the longest text that is cached, DefaultMaximumTextBytes if zero.
	MaximumTextBytes int

	shards [shardCount]shard
}

// shard is one part of the cache. Shards reduce lock contention.
type shard struct {
	mu    sync.Mutex
	texts *simplelru.LRU[string, Statement]
	bytes int
}

// Classify classifies sql. It returns ErrZeroByte for a text with a zero byte. A text that can't be
// parsed is no error: its kind is KindUnparsed, and it is sent to the primary unchanged, whose error
// the caller receives.
func (c *Classifier) Classify(sql string) (Statement, error) {
	if strings.IndexByte(sql, 0) >= 0 {
		return Statement{}, ErrZeroByte
	}
	h, rest := splitComment(sql)
	s := c.classifyCached(rest)
	h.addTo(&s)
	return s, nil
}

// classifyCached classifies a text without its leading comment: an idempotency key in the comment
// differs with each request and would make every text a new cache entry.
func (c *Classifier) classifyCached(sql string) Statement {
	if len(sql) > orDefault(c.MaximumTextBytes, DefaultMaximumTextBytes) {
		return parse(sql)
	}
	d := &c.shards[xxhash.Sum64String(sql)%shardCount]
	s, ok := d.get(sql)
	if ok {
		return s
	}
	// Without the copy, the cache would keep a larger buffer of the caller in memory.
	sql = strings.Clone(sql)
	s = parse(sql)
	d.add(sql, s, c.entriesPerShard(), orDefault(c.MaximumBytes, DefaultMaximumBytes)/shardCount)
	return s
}

func (c *Classifier) entriesPerShard() int {
	return max(1, orDefault(c.MaximumEntries, DefaultMaximumEntries)/shardCount)
}

func (d *shard) get(sql string) (Statement, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.texts == nil {
		return Statement{}, false
	}
	return d.texts.Get(sql)
}

func (d *shard) add(sql string, s Statement, entries, bytes int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.texts == nil {
		// NewLRU only fails for a size that isn't positive.
		d.texts, _ = simplelru.NewLRU(entries, d.entryEvicted)
	}
	if d.texts.Contains(sql) {
		return
	}
	d.texts.Add(sql, s)
	d.bytes += entryBytes(sql, s)
	for d.bytes > bytes && d.texts.Len() > 1 {
		d.texts.RemoveOldest()
	}
}

// entryEvicted is called by the cache for each entry that it removes.
func (d *shard) entryEvicted(sql string, s Statement) {
	d.bytes -= entryBytes(sql, s)
}

// entryBytes estimates the size of a cache entry.
func entryBytes(sql string, s Statement) int {
	return len(sql) + partBytes*(1+len(s.Parts))
}

func orDefault(v, d int) int {
	if v == 0 {
		return d
	}
	return v
}
