// Package encoder writes log entries as JSON lines without making callers wait for the output.
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

// Encoder is an apex/log handler that queues encoded lines; its loop writes
// them in batches. A line that finds the queue full is dropped and counted: a
// stuck output must not stop requests.
type Encoder struct {
	// Writer takes whole lines.
	Writer io.Writer
	// QueueBytes bounds the lines that wait.
	QueueBytes int
	// SampleDebug and SampleDecisions write one line in so many, all if zero or one.
	SampleDebug     int
	SampleDecisions int
	// Now returns the time that lines bear, time.Now if unset.
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

// sampler counts the lines of one kind.
type sampler struct {
	n atomic.Uint64
}

// hit reports whether the next line is one of the one in every that is written.
func (s *sampler) hit(every int) bool {
	if every <= 1 {
		return true
	}
	return s.n.Add(1)%uint64(every) == 1
}

// HandleLog queues one entry; it never waits for the output.
func (e *Encoder) HandleLog(x *log.Entry) error {
	if x.Level == log.DebugLevel && !e.debugs.hit(e.SampleDebug) {
		return nil
	}
	p := e.scratch()
	b := open((*p)[:0], e.now(), x.Level.String(), x.Message)
	for _, n := range x.Fields.Names() {
		b = b.any(n, x.Fields.Get(n))
	}
	*p = b.end()
	e.append(*p)
	e.release(p)
	return nil
}

// LogError logs err at error level with the step and the peer it carries.
func LogError(l log.Interface, err error, message string) {
	f := log.Fields{"error": err.Error()}
	if w, ok := wrapper.Find(err); ok {
		f["step"] = w.Step
		f["peer"] = w.Peer
	}
	l.WithFields(f).Error(message)
}

// Dropped returns how many lines found the queue full.
func (e *Encoder) Dropped() uint64 {
	return e.dropped.Load()
}

// Run writes queued lines until ctx ends, and then those still queued.
func (e *Encoder) Run(ctx context.Context) error {
	e.start()
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

// flush writes what is queued and returns the written buffer for use again.
func (e *Encoder) flush(spare []byte, reported *uint64) ([]byte, error) {
	b := e.swap(spare)
	if n := e.dropped.Load(); n > *reported {
		b = open(b, e.now(), "warn", "log lines dropped").uint("dropped", n-*reported).end()
		*reported = n
	}
	if len(b) == 0 {
		return b, nil
	}
	_, err := e.Writer.Write(b)
	return b[:0], wrapper.Wrap(err, "write", "log")
}

func (e *Encoder) swap(spare []byte) []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	b := e.pending
	e.pending = spare[:0]
	return b
}

func (e *Encoder) append(b []byte) {
	e.start()
	if !e.queue(b) {
		e.dropped.Add(1)
	}
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// queue reports whether b fitted.
func (e *Encoder) queue(b []byte) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.pending)+len(b) > e.QueueBytes {
		return false
	}
	e.pending = append(e.pending, b...)
	return true
}

func (e *Encoder) start() {
	e.once.Do(e.init)
}

func (e *Encoder) init() {
	e.wake = make(chan struct{}, 1)
}

// maximumScratchBytes keeps a single huge line from being held for good.
const maximumScratchBytes = 16 << 10

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
