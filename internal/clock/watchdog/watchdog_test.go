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

// ended is after how long the context ends.
func ended(ctx context.Context, began time.Time) time.Duration {
	<-ctx.Done()
	return time.Since(began)
}

// A large answer takes longer than the limit for its beginning. Given up and asked again, it
// would load the link for nothing.
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
			t.Fatalf("ended by %v and %v after %v", context.Cause(inner), context.Cause(outer), time.Since(began))
		}
		if d := ended(inner, began); d != 5300*time.Millisecond || !errors.Is(context.Cause(inner), ErrStalled) {
			t.Errorf("inner ended after %v by %v", d, context.Cause(inner))
		}
		if d := ended(outer, began); d != 6*time.Second {
			t.Errorf("outer ended after %v", d)
		}
	})
}

// The first progress comes early in a long wait. The wait must not be cut to the time that
// is allowed between two pieces.
func TestProgressDoesNotShortenTheWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		c, stop := WithStallTimeout(t.Context(), 3*time.Second, 100*time.Millisecond)
		defer stop()
		Progress(c)
		if d := ended(c, began); d != 3*time.Second {
			t.Errorf("ended after %v", d)
		}
	})
}

func TestReaderNotesEachPiece(t *testing.T) {
	n := 0
	c := WithObserver(t.Context(), func() { n++ })
	b, err := io.ReadAll(Reader{Context: c, Source: iotest.OneByteReader(strings.NewReader("abc"))})
	if string(b) != "abc" || err != nil || n != 3 {
		t.Errorf("read %q %v with %d pieces", b, err, n)
	}
}
