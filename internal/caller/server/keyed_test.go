package server

import (
	"context"
	"testing"

	"github.com/cuminwick/cuminwick/internal/outcome/recorder"
)

// A caller cancels a request with a key while it commits, and the server rolls it
// back. Told that it met another transaction, the caller's driver would send the
// request again that its user has given up.
func TestRolledBackAtCommit(t *testing.T) {
	cancelled, cancel := context.WithCancelCause(t.Context())
	cancel(errCancelled)
	for name, c := range map[string]struct {
		x    context.Context
		code string
	}{
		"cancelled by its caller": {cancelled, codeCancelled},
		"by the server":           {t.Context(), codeSerialization},
	} {
		t.Run(name, func(t *testing.T) {
			if f := rolledBack(c.x); f.code != c.code || f.outcome != recorder.NotRun {
				t.Errorf("told %s with %s", f.outcome, f.code)
			}
		})
	}
}
