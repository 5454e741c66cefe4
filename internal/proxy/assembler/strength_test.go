package assembler

import (
	"context"
	"strings"
	"testing"

	"github.com/cuminwick/cuminwick/internal/log/encoder"
	"github.com/cuminwick/cuminwick/platform"
)

// Guards against a host whose settings don't reach its entry, and against an invalid setting that the
// operator isn't told of.
func TestStrengthOfSettings(t *testing.T) {
	var b strings.Builder
	e := &encoder.Encoder{Writer: &b, QueueBytes: 1 << 20}
	h := (&Assembler{Settings: platform.Settings{HostName: "h", Bandwidth: 10e6, Cores: 0.192}}).newHost(e)
	if h.Self.Strength != 9 {
		t.Errorf("strength %d, want 9", h.Self.Strength)
	}
	h = (&Assembler{Settings: platform.Settings{HostName: "h", Bandwidth: 10e6, Ignored: []string{`limits.cores must be a number, is "x"`}}}).newHost(e)
	if h.Self.Strength != 0 {
		t.Errorf("strength %d, want none", h.Self.Strength)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := e.Run(ctx); err != nil {
		t.Fatal(err)
	}
	if s := b.String(); strings.Count(s, "setting ignored") != 1 || !strings.Contains(s, "limits.cores") {
		t.Errorf("lines %q", s)
	}
}
