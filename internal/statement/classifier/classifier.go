// Package classifier tells from the text of a statement what it does and where it may run.
package classifier

import (
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/juju/errors"
)

// ErrZeroByte is returned for a text that can't be a statement of the protocol.
const ErrZeroByte = errors.ConstError("text holds a zero byte")

// Defaults of a Classifier.
const (
	DefaultMaximumEntries   = 16384
	DefaultMaximumBytes     = 8 << 20
	DefaultMaximumTextBytes = 8 << 10
)

const (
	shardCount = 16
	// partBytes is the estimated size of a cached entry beside its text.
	partBytes = 320
)

// Classifier classifies texts and remembers the answers. The zero value is
// ready; it may be used by many goroutines.
type Classifier struct {
	// MaximumEntries and Bytes bound the remembered answers, defaults if zero.
	MaximumEntries int
	MaximumBytes   int
	// MaximumTextBytes is the longest text that is remembered.
	MaximumTextBytes int

	shards [shardCount]shard
}

// shard is one part of the cache, so that goroutines seldom meet at one lock.
type shard struct {
	mu    sync.Mutex
	texts *simplelru.LRU[string, Statement]
	bytes int
}

// Classify returns what sql holds. A text that doesn't parse is no error: it is
// of KindUnparsed and goes to the primary unchanged, whose error the caller gets.
func (c *Classifier) Classify(sql string) (Statement, error) {
	if strings.IndexByte(sql, 0) >= 0 {
		return Statement{}, ErrZeroByte
	}
	h, rest := splitComment(sql)
	s := c.classifyRest(rest)
	h.addTo(&s)
	return s, nil
}

// classifyRest works on the text behind the leading comment, so that a key that
// is new with each request doesn't spoil the cache.
func (c *Classifier) classifyRest(sql string) Statement {
	if len(sql) > orDefault(c.MaximumTextBytes, DefaultMaximumTextBytes) {
		return parse(sql)
	}
	d := &c.shards[xxhash.Sum64String(sql)%shardCount]
	s, ok := d.get(sql)
	if ok {
		return s
	}
	// The copy keeps the cache from holding on to a larger buffer of the caller.
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
		// The size is above zero, so there is no error.
		d.texts, _ = simplelru.NewLRU(entries, d.forget)
	}
	if d.texts.Contains(sql) {
		return
	}
	d.texts.Add(sql, s)
	d.bytes += weigh(sql, s)
	for d.bytes > bytes && d.texts.Len() > 1 {
		d.texts.RemoveOldest()
	}
}

func (d *shard) forget(sql string, s Statement) {
	d.bytes -= weigh(sql, s)
}

func weigh(sql string, s Statement) int {
	return len(sql) + partBytes*(1+len(s.Parts))
}

func orDefault(v, d int) int {
	if v == 0 {
		return d
	}
	return v
}
