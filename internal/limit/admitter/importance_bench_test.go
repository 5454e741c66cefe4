package admitter

import (
	"strconv"
	"testing"
	"time"
)

// benchmarkQueue measures one arrival and one release at a queue in which 60 requests of 20 teams wait.
// The entries are used again, as those of a caller would be allocated by it.
func benchmarkQueue(b *testing.B, importance func(n int) Importance) {
	q := Queue{Slots: 4, Length: 64}
	now := time.Duration(0)
	var running, free []*Entry
	offer := func(n int) {
		if len(free) == 0 {
			free = append(free, &Entry{})
		}
		e := free[len(free)-1]
		free = free[:len(free)-1]
		*e = Entry{Team: strconv.Itoa(n % 20), Class: ClassRead, Importance: importance(n), Deadline: now + time.Minute, Objective: now + time.Minute}
		q.Offer(e, now)
		running = append(running, q.Granted...)
		free = append(free, q.Refused...)
	}
	for n := range 64 {
		offer(n)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for n := range b.N {
		now += ms
		e := running[0]
		running = append(running[:0], running[1:]...)
		q.Release(e, now)
		running = append(running, q.Granted...)
		free = append(free, e)
		offer(n)
	}
}

func BenchmarkEqualImportance(b *testing.B) {
	benchmarkQueue(b, func(int) Importance { return 0 })
}

func BenchmarkThreeLevels(b *testing.B) {
	benchmarkQueue(b, func(n int) Importance { return RankedImportance(uint8(n%3), uint8(n%2)) })
}
