package prioritizer

import (
	"flag"
	"os"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

func TestQueueKeepsOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := &Queue[int]{Less: func(a, b int) bool { return a < b }}
		var items []*Item[int]
		var model []int
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				v := rapid.IntRange(0, 20).Draw(t, "value")
				items = append(items, q.Push(v))
				model = append(model, v)
			case 2:
				got, ok := q.Pop()
				if ok != (len(model) > 0) {
					t.Fatalf("Pop reported an item: %v, the model has %d", ok, len(model))
				}
				if !ok {
					continue
				}
				if m := slices.Min(model); got != m {
					t.Fatalf("Pop = %d, want %d", got, m)
				}
				i := slices.Index(model, got)
				model = slices.Delete(model, i, i+1)
			case 3:
				if len(items) == 0 {
					continue
				}
				x := items[rapid.IntRange(0, len(items)-1).Draw(t, "item")]
				if q.Remove(x) {
					i := slices.Index(model, x.Value)
					model = slices.Delete(model, i, i+1)
				}
			}
			if q.Len() != len(model) {
				t.Fatalf("Len = %d, want %d", q.Len(), len(model))
			}
		}
	})
}
