package server

import (
	"testing"

	"github.com/cuminwick/cuminwick/internal/pool/exchanger"
	"github.com/cuminwick/cuminwick/internal/statement/classifier"
	"github.com/cuminwick/cuminwick/internal/wire/batcher"
)

// A connection that is returned with a changed setting, a lock or an open transaction would serve
// the next caller with that state.
func TestLeavesNoState(t *testing.T) {
	tests := []struct {
		texts []string
		// open says that a transaction is open before the plan.
		open bool
		want bool
	}{
		{texts: []string{"SELECT 1"}, want: true},
		{texts: []string{"INSERT INTO t VALUES (1)"}, want: true},
		{texts: []string{"SELECT 1", "UPDATE t SET v = 1"}, want: true},
		{texts: []string{"SHOW work_mem"}, want: true},
		{texts: []string{"COMMIT"}, open: true, want: true},
		{texts: []string{"COMMIT AND CHAIN"}, open: true},
		{texts: []string{"ROLLBACK"}, open: true},
		{texts: []string{"SELECT 1"}, open: true},
		{texts: []string{"INSERT INTO t VALUES (1)", "COMMIT"}, open: true},
		{texts: []string{"SET work_mem = 1"}},
		{texts: []string{"SELECT 1", "SET work_mem = 1"}},
		{texts: []string{"SELECT 1; SELECT 2"}},
		{texts: []string{"BEGIN"}},
		{texts: []string{"SELECT pg_advisory_lock(1)"}},
		{texts: []string{"SELECT set_config('work_mem', '1', false)"}},
		{texts: []string{"CREATE TEMPORARY TABLE x (a int)"}},
		{texts: []string{"DO $$ BEGIN END $$"}},
		{texts: []string{"LISTEN x"}},
		{texts: []string{"COPY t FROM STDIN"}},
		{texts: []string{"FROB"}},
		{},
	}
	for _, tt := range tests {
		var k classifier.Classifier
		s := &Session{status: exchanger.Idle}
		if tt.open {
			s.status = exchanger.InTransaction
		}
		a := &attempt{session: s, plan: &plan{}, end: batcher.Sync, fresh: !tt.open}
		for _, q := range tt.texts {
			c, err := k.Classify(q)
			if err != nil {
				t.Fatal(err)
			}
			a.plan.executed = append(a.plan.executed, &prepared{statement: c})
		}
		if got := a.leavesNoState(); got != tt.want {
			t.Errorf("%q, open %t: %t, want %t", tt.texts, tt.open, got, tt.want)
		}
		s.hiddenState = true
		if a.leavesNoState() {
			t.Errorf("%q: connection with hidden state is returned", tt.texts)
		}
	}
}
