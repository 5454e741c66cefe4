package classifier

import "testing"

// Guards against a caller that drops, replaces or runs the prepared statements of others. Statements
// of all callers have names with this prefix on the connections that they share.
func TestReservedStatementNames(t *testing.T) {
	for _, tt := range []struct {
		text    string
		refused bool
	}{
		{"DEALLOCATE cuminwick_0123", true},
		{`DEALLOCATE PREPARE "cuminwick_0123"`, true},
		{"SELECT 1; DEALLOCATE cuminwick_0123", true},
		{"PREPARE cuminwick_0123 AS SELECT 2", true},
		{"EXECUTE CUMINWICK_0123", true},
		{"EXPLAIN ANALYZE EXECUTE cuminwick_0123", true},
		{"EXPLAIN EXECUTE cuminwick_0123", true},
		{"CREATE TABLE t AS EXECUTE cuminwick_0123", true},
		{"DEALLOCATE other", false},
		{`DEALLOCATE "CUMINWICK_0123"`, false},
		{"DEALLOCATE ALL", false},
		{"PREPARE other AS SELECT 'cuminwick_'", false},
		{"SELECT * FROM cuminwick_0123", false},
	} {
		var c Classifier
		s, err := c.Classify(tt.text)
		if err != nil || (s.Refusal != RefusalNone) != tt.refused {
			t.Errorf("%s: refusal %q, error %v, want refused %t", tt.text, s.Refusal, err, tt.refused)
		}
	}
}
