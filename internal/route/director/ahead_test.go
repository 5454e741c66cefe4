package director

import (
	"testing"

	"github.com/cuminwick/cuminwick/internal/caller/server"
	"github.com/cuminwick/cuminwick/internal/config/declarer"
)

// Guards against reads that repeatedly run ahead of their read index in vain. A replica that had caught
// up at its last poll lacks a write covered by the read index, again and again. Each such read is run
// twice and takes a slot from others, so after a few of them reads must wait for their index first.
func TestReadsRunAheadOnlyWithinTheirBudget(t *testing.T) {
	d, _ := deploy(t, &declarer.File{})
	q := server.Query{Group: "g", ReplicaSafe: true, MaySpeculate: true}
	runs := 0
	for range 2 * repeatBurst {
		c, err := d.Choose(t.Context(), q)
		if err != nil {
			t.Fatal(err)
		}
		if c.Speculation == nil {
			break
		}
		runs++
		a := c.Speculation.(*ahead)
		index := a.known
		a.known.Position--
		if o := a.Confirm(t.Context(), a.known); o.Covered || !o.HasReadIndex || o.ReadIndex != index {
			t.Fatalf("at %v: %+v", a.known, o)
		}
	}
	if runs == 0 || runs > repeatBurst {
		t.Errorf("%d reads ran ahead in vain", runs)
	}
	q.MaySpeculate = false
	if c, err := d.Choose(t.Context(), q); err != nil || c.Speculation != nil {
		t.Errorf("a read that cannot be run again got %+v, %v", c, err)
	}
}
