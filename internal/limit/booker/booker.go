// Package booker assigns refused requests the times at which to retry.
package booker

import (
	"time"

	"github.com/cuminwick/cuminwick/internal/limit/admitter"
)

const (
	// bucketWidth is the resolution of the calendar.
	bucketWidth = 10 * time.Millisecond
	// bucketCount is the number of buckets, which reach 2 s ahead.
	bucketCount = 200
	// spilloverCount is the number of buckets at the end of the calendar over which requests that find
	// no room are spread.
	spilloverCount = 100
	// bookableShare is the share of the capacity that may be booked. The rest is left for new requests.
	bookableShare = 0.75
)

// Capacity is the rate at which a queue grants requests.
type Capacity struct {
	Slots       int
	ServiceTime time.Duration
}

// perBucket returns how many retries a bucket has room for.
func (c Capacity) perBucket() float64 {
	if c.Slots <= 0 || c.ServiceTime <= 0 {
		return 0
	}
	return bookableShare * float64(c.Slots) * float64(bucketWidth) / float64(c.ServiceTime)
}

// Calendar holds the retries that are booked at one server. Its zero value has none. A Calendar must not
// be used concurrently.
type Calendar struct {
	// buckets holds the number of bookings by level of the queue's order. A bucket's position is its number
	// modulo bucketCount.
	buckets [bucketCount][admitter.OrderCount]uint32
	// first is the number of the present bucket.
	first int64
	// spilled counts the requests that found no room.
	spilled uint32
}

// Book books a retry of a request and returns the time until it, in whole milliseconds. It isn't before
// earliest, the time until the queue is expected to have room. The order is that of the request's level in the
// queue, see admitter.Entry.Order: a customer's requests beyond its entitlement leave the room to those of
// others, as in the queue.
func (c *Calendar) Book(order uint8, earliest time.Duration, k Capacity, now time.Duration) time.Duration {
	c.advance(now)
	n, room := k.perBucket(), 0.0
	from := int64((now + max(0, earliest) + bucketWidth - 1) / bucketWidth)
	for b := c.first; b < c.first+bucketCount; b++ {
		l := &c.buckets[b%bucketCount]
		booked := ahead(l, order)
		// room is negative by the bookings that earlier buckets have no room for.
		room = min(room, 0) + n - booked
		if b >= from && room > 0 {
			l[order]++
			return roundUp(at(b, booked/n) - now)
		}
	}
	c.spilled++
	b := max(from, c.first+bucketCount-spilloverCount) + int64(c.spilled%spilloverCount)
	return roundUp(at(b, 0) - now)
}

// roundUp rounds up to whole milliseconds, in which callers are told the time: a shorter one could be too
// early.
func roundUp(d time.Duration) time.Duration {
	return (d + time.Millisecond - 1).Truncate(time.Millisecond)
}

// at returns the time at which a fraction of bucket b has passed.
func at(b int64, fraction float64) time.Duration {
	f := min(max(fraction, 0), 1)
	return time.Duration(b)*bucketWidth + time.Duration(f*float64(bucketWidth))
}

// ahead returns the number of bookings in a bucket that a request of the order yields to. Those of later
// levels don't count, so that it may take their room.
func ahead(l *[admitter.OrderCount]uint32, order uint8) float64 {
	n := uint32(0)
	for _, k := range l[:order+1] {
		n += k
	}
	return float64(n)
}

// advance drops the bookings of past buckets.
func (c *Calendar) advance(now time.Duration) {
	b := int64(now / bucketWidth)
	if b-c.first >= bucketCount {
		clear(c.buckets[:])
		c.first = b
	}
	for ; c.first < b; c.first++ {
		c.buckets[c.first%bucketCount] = [admitter.OrderCount]uint32{}
	}
}
