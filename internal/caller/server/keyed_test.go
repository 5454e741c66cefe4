package server

import (
	"context"
	"testing"

	"github.com/cuminwick/cuminwick/internal/outcome/recorder"
)

// A caller cancels a request with an idempotency key during its commit, and the server rolls the
// request back. After a serialization failure, the caller's driver would retry the request that was
// cancelled.
func TestRolledBackAtCommit(t *testing.T) {
	cancelled, cancel := context.WithCancelCause(t.Context())
	cancel(errCancelled)
	for name, c := range map[string]struct {
		x    context.Context
		code string
	}{
		"cancelled by the caller":   {cancelled, codeCancelled},
		"rolled back by the server": {t.Context(), codeSerialization},
	} {
		t.Run(name, func(t *testing.T) {
			if f := rolledBack(c.x); f.code != c.code || f.outcome != recorder.NotRun {
				t.Errorf("outcome %s with SQLSTATE %s", f.outcome, f.code)
			}
		})
	}
}
