package booker

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cuminwick/cuminwick/internal/limit/admitter"
)

const ms = time.Millisecond

// four is the capacity of 4 slots with a service time of 10 ms: 3 bookings in a bucket.
var four = Capacity{Slots: 4, ServiceTime: 10 * ms}

// Guards against a herd of callers that are all told the same time, and against room that nobody is told.
func TestBookingsFillBuckets(t *testing.T) {
	var c Calendar
	for bucket := range 5 {
		for i := range 3 {
			d := c.Book(1, 20*ms, four, 1003*ms)
			want := 1030*ms + time.Duration(bucket)*bucketWidth + time.Duration(float64(i)/3*float64(bucketWidth)) - 1003*ms
			want = (want + ms - 1).Truncate(ms)
			if d != want {
				t.Errorf("booking %d of bucket %d: after %s, want %s", i, bucket, d, want)
			}
		}
	}
}

// Guards against less important callers that keep the room, and against bookings of the same capacity
// twice: a more important caller takes room that was booked, and later bookings are moved instead.
func TestMoreImportantTakesBookedRoom(t *testing.T) {
	var c Calendar
	for range 30 {
		c.Book(2, 0, four, 0)
	}
	for i := range 6 {
		if d := c.Book(0, 0, four, 0); d >= 20*ms {
			t.Errorf("more important booking %d: after %s", i, d)
		}
	}
	// 36 requests are booked, so that the next one gets the room after those.
	if d := c.Book(2, 0, four, 0); d < 120*ms || d >= 130*ms {
		t.Errorf("less important booking after %s, want 120 ms", d)
	}
}

// Guards against more important callers that come back after less important ones: callers of three levels
// are refused in turn, and each level gets the room that the more important ones leave.
func TestMoreImportantRetryFirst(t *testing.T) {
	var c Calendar
	var sums [3]time.Duration
	const each = 30
	for i := range 3 * each {
		level := 2 - i%3
		sums[level] += c.Book(uint8(level), 100*ms, four, 0)
	}
	for level, want := range []time.Duration{150 * ms, 200 * ms, 250 * ms} {
		if mean := sums[level] / each; mean < want-20*ms || mean > want+20*ms {
			t.Errorf("level %d comes back after %s in the mean, want %s", level, mean, want)
		}
	}
}

// Guards against a customer's flood that books all room: its requests beyond its entitlement leave the room to
// those of others at any level of importance.
func TestBookingsBeyondEntitlementYield(t *testing.T) {
	var c Calendar
	for range 300 {
		c.Book(1+admitter.LevelCount, 0, four, 0)
	}
	for i := range 6 {
		if d := c.Book(2, 0, four, 0); d >= 20*ms {
			t.Errorf("booking %d within the entitlement: after %s", i, d)
		}
	}
}

// Guards against slots that stay idle as a bucket holds less than one request, and against bookings
// beyond the capacity.
func TestSlowServerIsBookedInFull(t *testing.T) {
	var c Calendar
	slow := Capacity{Slots: 1, ServiceTime: 75 * ms} // one in 100 ms
	for i := range 15 {
		if d, want := c.Book(1, 0, slow, 0), time.Duration(i)*100*ms; d < want-bucketWidth || d > want+bucketWidth {
			t.Errorf("booking %d: after %s, want %s", i, d, want)
		}
	}
}

// Guards against a herd at the end of a full calendar, or of one whose server has no slots.
func TestFullCalendarSpreads(t *testing.T) {
	for _, k := range []Capacity{four, {}} {
		var c Calendar
		for range 600 {
			c.Book(1, 0, k, 0)
		}
		seen := make(map[time.Duration]int)
		for range 200 {
			seen[c.Book(1, 0, k, 0)]++
		}
		for d, n := range seen {
			if d < time.Second || d > 2*time.Second || n > 2 {
				t.Errorf("%+v: %d callers after %s", k, n, d)
			}
		}
	}
}

// Guards against a retry before the queue has room, one far beyond it while there is room, and more
// bookings in any second than the share of the capacity: at any order of refusals in time.
func TestBookingsKeepToCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c Calendar
		now := time.Duration(0)
		told := make(map[time.Duration]int)
		for range rapid.IntRange(1, 300).Draw(t, "refusals") {
			now += time.Duration(rapid.IntRange(0, 20).Draw(t, "pause")) * ms
			earliest := time.Duration(rapid.IntRange(0, 300).Draw(t, "earliest")) * ms
			d := c.Book(1, earliest, four, now)
			if d < earliest || d > earliest+2*time.Second {
				t.Fatalf("retry after %s, room after %s", d, earliest)
			}
			told[(now+d)/bucketWidth]++
		}
		for b, n := range told {
			if n > 3 {
				t.Fatalf("%d callers in bucket %d, which has room for 3", n, b)
			}
		}
	})
}
