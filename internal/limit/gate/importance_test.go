package gate

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/limit/admitter"
)

// request returns a read of a level.
func request(level uint8) Request {
	r := read(time.Second)
	r.Importance = admitter.RankedImportance(level, 0)
	return r
}

// outcome is what Acquire returned, and after what time.
type outcome struct {
	slot  *Slot
	err   error
	after time.Duration
}

// acquireLater calls Acquire in another goroutine and waits until it blocks or returns.
func acquireLater(g *Gate, r Request) <-chan outcome {
	c := make(chan outcome, 1)
	start := time.Now()
	go func() {
		s, err := g.Acquire(context.Background(), r)
		c <- outcome{slot: s, err: err, after: time.Since(start)}
	}()
	synctest.Wait()
	return c
}

// Guards against a displaced request that is told only at its deadline, or that gets a slot although it
// has been refused, and against a more important one that waits behind it.
func TestDisplacedRequestIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate(1)
		g.Queue.Length = 2
		running := acquire(t, g, request(0))
		waiting := [2]<-chan outcome{acquireLater(g, request(2)), acquireLater(g, request(2))}
		time.Sleep(5 * ms)
		important := acquireLater(g, request(0))
		if len(waiting[1]) != 1 {
			t.Fatal("the last one of the least important level still waits in a full queue")
		}
		o := <-waiting[1]
		var r *Refusal
		if !errors.As(o.err, &r) || r.Reason != admitter.ReasonQueueFull || r.RetryAfter <= 0 || o.after != 5*ms {
			t.Errorf("error %v after %v", o.err, o.after)
		}
		if want := [admitter.LevelCount]int{1, 0, 1}; g.Load().WaitingByLevel != want {
			t.Errorf("waiting by level %v, want %v", g.Load().WaitingByLevel, want)
		}
		running.Release()
		synctest.Wait()
		if len(important) != 1 || len(waiting[0]) != 0 {
			t.Fatal("the slot didn't go to the most important request")
		}
		(<-important).slot.Release()
		(<-waiting[0]).slot.Release()
		if l := g.Load(); l.Running != 0 || l.Waiting != 0 {
			t.Errorf("load after all requests ended: %+v", l)
		}
	})
}

// Guards against requests that wait in vain: those that can't meet their objective any more after more
// important ones have arrived are refused at that time.
func TestLateRequestIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate(1)
		running := acquire(t, g, request(0))
		r := request(1)
		r.Objective = 2 * admitter.DefaultServiceTime
		late := acquireLater(g, r)
		var important []<-chan outcome
		for range 3 {
			important = append(important, acquireLater(g, request(0)))
		}
		if len(late) != 1 {
			t.Fatal("a request that is too late still waits")
		}
		o := <-late
		var x *Refusal
		if !errors.As(o.err, &x) || x.Reason != admitter.ReasonExpectedWait || o.after != 0 {
			t.Errorf("error %v after %v", o.err, o.after)
		}
		running.Release()
		for _, c := range important {
			(<-c).slot.Release()
		}
	})
}

// Guards against a statement of a transaction that is missing from the counts, or that a forecast by level
// takes for a less important request.
func TestStatementsOfTransactionsCountAsMostImportant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate(1)
		running := acquire(t, g, request(0))
		r := request(3)
		r.Class = admitter.ClassTransaction
		statement := acquireLater(g, r)
		if want := [admitter.LevelCount]int{1}; g.Load().WaitingByLevel != want {
			t.Errorf("waiting by level %v, want %v", g.Load().WaitingByLevel, want)
		}
		running.Release()
		(<-statement).slot.Release()
	})
}

// Guards against a message between hosts of different versions that changes with the counts by level.
func TestLoadIsSentWithoutLevels(t *testing.T) {
	l := Load{Slots: 2, Running: 1, Waiting: 3, ServiceTime: ms}
	want, err := cbor.Marshal(l)
	if err != nil {
		t.Fatal(err)
	}
	l.WaitingByLevel[1] = 3
	got, err := cbor.Marshal(l)
	if err != nil || string(got) != string(want) {
		t.Errorf("message %x, want %x; error %v", got, want, err)
	}
	j, err := json.Marshal(l)
	if want := `{"slots":2,"running":1,"waiting":3,"service-time":1000000}`; err != nil || string(j) != want {
		t.Errorf("json %s, want %s; error %v", j, want, err)
	}
}
