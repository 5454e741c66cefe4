package watchdog

import (
	"context"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
)

// waitForEnd waits until ctx ends and returns the time since began.
func waitForEnd(ctx context.Context, began time.Time) time.Duration {
	<-ctx.Done()
	return time.Since(began)
}

// Guards against a call that is cancelled while a large answer arrives. Its retry would load the link
// for nothing.
func TestCallThatMakesProgressGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		outer, stop := WithStallTimeout(t.Context(), time.Second, time.Second)
		defer stop()
		inner, stopInner := WithStallTimeout(outer, 300*time.Millisecond, 300*time.Millisecond)
		defer stopInner()
		for range 20 {
			time.Sleep(250 * time.Millisecond)
			Progress(inner)
		}
		if inner.Err() != nil || outer.Err() != nil {
			t.Fatalf("contexts ended by %v and %v after %v despite progress", context.Cause(inner), context.Cause(outer), time.Since(began))
		}
		if d := waitForEnd(inner, began); d != 5300*time.Millisecond || !errors.Is(context.Cause(inner), ErrStalled) {
			t.Errorf("inner context ended after %v by %v, want 5.3s by ErrStalled", d, context.Cause(inner))
		}
		if d := waitForEnd(outer, began); d != 6*time.Second {
			t.Errorf("outer context ended after %v, want 6s", d)
		}
	})
}

// Guards against a long wait that is cut to the stall timeout because progress was reported early in
// it.
func TestProgressDoesNotShortenTheWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		c, stop := WithStallTimeout(t.Context(), 3*time.Second, 100*time.Millisecond)
		defer stop()
		Progress(c)
		if d := waitForEnd(c, began); d != 3*time.Second {
			t.Errorf("context ended after %v, want 3s", d)
		}
	})
}

func TestReaderReportsEachRead(t *testing.T) {
	n := 0
	c := WithObserver(t.Context(), func() { n++ })
	b, err := io.ReadAll(Reader{Context: c, Source: iotest.OneByteReader(strings.NewReader("abc"))})
	if string(b) != "abc" || err != nil || n != 3 {
		t.Errorf("read %q, error %v, progress %d times, want \"abc\" with progress 3 times", b, err, n)
	}
}
