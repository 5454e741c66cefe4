// Package encoder writes log entries as JSON lines without blocking the code that logs them.
package encoder

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/cuminwick/cuminwick/internal/fault/wrapper"
)

// Encoder is an apex/log handler that queues encoded lines; Run writes them in batches. Lines that
// don't fit into the queue are dropped and counted, because an output that blocks must not block
// requests. The exported fields are set before use.
type Encoder struct {
	// Writer is the output. Each write consists of whole lines.
	Writer io.Writer
	// QueueBytes is the maximum size of the queued lines.
	QueueBytes int
	// SampleDebug is n if one in n debug lines is written; zero or one writes all of them.
	SampleDebug int
	// SampleDecisions is n if one in n decisions is written, besides refusals; zero or one writes all
	// of them.
	SampleDecisions int
	// Now returns the time of a line. It is time.Now if unset.
	Now func() time.Time

	debugs    sampler
	decisions sampler
	pool      sync.Pool
	dropped   atomic.Uint64

	mu      sync.Mutex
	pending []byte
	once    sync.Once
	wake    chan struct{}
}

// sampler selects the lines of one kind that are written.
type sampler struct {
	n atomic.Uint64
}

// keep reports whether the next line is written, which is true for one line in every.
func (s *sampler) keep(every int) bool {
	if every <= 1 {
		return true
	}
	return s.n.Add(1)%uint64(every) == 1
}

// HandleLog queues one entry. It implements log.Handler and never waits for the output.
func (e *Encoder) HandleLog(x *log.Entry) error {
	if x.Level == log.DebugLevel && !e.debugs.keep(e.SampleDebug) {
		return nil
	}
	p := e.scratch()
	b := beginLine((*p)[:0], e.now(), x.Level.String(), x.Message)
	for _, n := range x.Fields.Names() {
		b = b.any(n, x.Fields.Get(n))
	}
	*p = b.end()
	e.append(*p)
	e.release(p)
	return nil
}

// LogError logs err at error level, with the step and the peer of the innermost wrapper.Fault in its
// chain.
func LogError(l log.Interface, err error, message string) {
	f := log.Fields{"error": err.Error()}
	if w, ok := wrapper.Find(err); ok {
		f["step"] = w.Step
		f["peer"] = w.Peer
	}
	l.WithFields(f).Error(message)
}

// Dropped returns the number of lines dropped so far because the queue was full.
func (e *Encoder) Dropped() uint64 {
	return e.dropped.Load()
}

// Run writes queued lines until ctx ends, and then those that are still queued. It returns early if a
// write fails.
func (e *Encoder) Run(ctx context.Context) error {
	e.initOnce()
	return e.loop(ctx)
}

func (e *Encoder) loop(ctx context.Context) error {
	var b []byte
	var reported uint64
	for {
		select {
		case <-e.wake:
		case <-ctx.Done():
			_, err := e.flush(b, &reported)
			return err
		}
		var err error
		b, err = e.flush(b, &reported)
		if err != nil {
			return err
		}
	}
}

// flush writes the queued lines and returns their buffer for reuse. reported is the number of dropped
// lines that the log reports already; flush adds a line for further ones.
func (e *Encoder) flush(spare []byte, reported *uint64) ([]byte, error) {
	b := e.swap(spare)
	if n := e.dropped.Load(); n > *reported {
		b = beginLine(b, e.now(), "warn", "log lines dropped").uint("dropped", n-*reported).end()
		*reported = n
	}
	if len(b) == 0 {
		return b, nil
	}
	_, err := e.Writer.Write(b)
	return b[:0], wrapper.Wrap(err, "write", "log")
}

// swap returns the queued lines and makes spare the buffer of the now empty queue.
func (e *Encoder) swap(spare []byte) []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	b := e.pending
	e.pending = spare[:0]
	return b
}

// append queues b or counts it as dropped, and wakes Run, which reports drops too.
func (e *Encoder) append(b []byte) {
	e.initOnce()
	if !e.tryAppend(b) {
		e.dropped.Add(1)
	}
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// tryAppend queues b if it fits, and reports whether it did.
func (e *Encoder) tryAppend(b []byte) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.pending)+len(b) > e.QueueBytes {
		return false
	}
	e.pending = append(e.pending, b...)
	return true
}

func (e *Encoder) initOnce() {
	e.once.Do(e.init)
}

func (e *Encoder) init() {
	e.wake = make(chan struct{}, 1)
}

// maximumScratchBytes is the largest buffer that is kept for reuse, so that a single huge line doesn't
// occupy memory permanently.
const maximumScratchBytes = 16 << 10

// scratch returns a buffer for one line, which release returns to the pool.
func (e *Encoder) scratch() *line {
	if p, ok := e.pool.Get().(*line); ok {
		return p
	}
	b := make(line, 0, 512)
	return &b
}

func (e *Encoder) release(p *line) {
	if cap(*p) <= maximumScratchBytes {
		e.pool.Put(p)
	}
}

func (e *Encoder) now() time.Time {
	if e.Now == nil {
		return time.Now()
	}
	return e.Now()
}
