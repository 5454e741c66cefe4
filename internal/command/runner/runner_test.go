package runner

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// invoke runs a command line and returns its exit code, data and errors.
func invoke(t *testing.T, args ...string) (code int, output, errs string) {
	t.Helper()
	var o, e bytes.Buffer
	r := &Runner{Output: &o, Errors: &e}
	c := r.Run(t.Context(), args)
	return c, o.String(), e.String()
}

func TestExitCodesAndStreams(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "settings.yaml")
	if err := os.WriteFile(bad, []byte("region: ost\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name           string
		args           []string
		code           int
		output, errors string
	}{
		{name: "version", args: []string{"--version"}, code: 0, output: "cuminwick "},
		{name: "help", args: []string{"--help"}, code: 0, output: "Exit codes"},
		{name: "help of a subcommand", args: []string{"serve", "--help"}, code: 0, output: "Example:\n  cuminwick serve"},
		{name: "help of a nested subcommand", args: []string{"stand-in", "backend", "--help"}, code: 0, output: "Example:\n  cuminwick stand-in backend"},
		{name: "no subcommand", code: 2, errors: "Usage"},
		{name: "unknown flag", args: []string{"serve", "--nonsense"}, code: 2, errors: "Usage"},
		{name: "missing flag", args: []string{"serve"}, code: 2, errors: "--settings"},
		{name: "unknown format", args: []string{"status", "--format", "xml"}, code: 2, errors: "table or json"},
		{name: "stand-in without a subcommand", args: []string{"stand-in"}, code: 2, errors: "stand-in platform"},
		{name: "unknown scenario", args: []string{"bench", "--scenario", "nope"}, code: 2, errors: "unknown name"},
		{name: "unknown deployment", args: []string{"bench", "--scenario", "steady", "--deployment", "nope"}, code: 2, errors: "unknown name"},
		{name: "settings file that is absent", args: []string{"serve", "--settings", "absent"}, code: 1, errors: "absent"},
		{name: "settings with faults", args: []string{"validate", "--settings", bad}, code: 1, output: "host-name", errors: "faults"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c, o, e := invoke(t, tt.args...)
			if c != tt.code {
				t.Errorf("exit code %d, want %d", c, tt.code)
			}
			if !strings.Contains(o, tt.output) || (tt.output == "" && o != "") {
				t.Errorf("standard output %q, want %q", o, tt.output)
			}
			if !strings.Contains(e, tt.errors) || (tt.errors == "" && e != "") {
				t.Errorf("standard error %q, want %q", e, tt.errors)
			}
		})
	}
}

func TestFaultsAsJSON(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "settings.yaml")
	if err := os.WriteFile(bad, []byte("region: ost\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	_, o, _ := invoke(t, "validate", "--settings", bad, "--format", "json")
	if !json.Valid([]byte(o)) {
		t.Errorf("not JSON: %s", o)
	}
}

// An operator sends a second signal because the drain after the first one takes too long. The first
// signal must not end transactions in progress; the second one must.
func TestSignals(t *testing.T) {
	c, s := handleSignals(t.Context())
	defer s.stop()
	s.signals <- syscall.SIGTERM
	<-s.drain
	if c.Err() != nil {
		t.Error("the first signal ended the context")
	}
	s.signals <- syscall.SIGTERM
	<-c.Done()
}
