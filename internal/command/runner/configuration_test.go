package runner

import (
	"context"
	"io"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"

	"github.com/cuminwick/cuminwick/internal/config/follower"
	"github.com/cuminwick/cuminwick/internal/platform/requester"
	"github.com/cuminwick/cuminwick/internal/platform/watcher"
	"github.com/cuminwick/cuminwick/internal/standin/storekeeper"
)

// startPlatformAndHost runs the platform's stand-in and one host that follows the configuration. It
// returns the platform's URL.
func startPlatformAndHost(t *testing.T) string {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	s := &storekeeper.Server{Address: "127.0.0.1:0"}
	a, err := s.Listen()
	if err != nil {
		t.Fatal(err)
	}
	c := &requester.Client{Address: a}
	w := &watcher.Watcher{Platform: c, Random: rand.Float64}
	h := &follower.Host{
		Name: "h1", Incarnation: "1", AvailabilityZone: "ost-wien", Platform: c, Watcher: w, Random: rand.Float64,
		Log: &log.Logger{Handler: json.New(io.Discard), Level: log.ErrorLevel},
	}
	done := make(chan error, 3)
	for _, f := range []func(context.Context) error{s.Run, w.Run, h.Run} {
		go func() { done <- f(ctx) }()
	}
	t.Cleanup(func() {
		cancel()
		for range 3 {
			<-done
		}
	})
	return "http://" + a
}

func TestConfigurationCommands(t *testing.T) {
	const file = "../../../configuration.example.yaml"
	const faulty = "../../config/parser/testdata/faults.yaml"
	p := startPlatformAndHost(t)
	for _, c := range []struct {
		name   string
		args   []string
		code   int
		output string
		errors string
	}{
		{"validate", []string{"validate", file}, ExitDone, "", ""},
		{"validate faults", []string{"validate", faulty}, ExitFailed, "maximum-age", "28 faults"},
		{"dry run", []string{"apply", file, "--dry-run", "--platform", p}, ExitDone, "database group kalkul-1", ""},
		{"apply", []string{"apply", file, "--platform", p, "--operator", "anna"}, ExitDone, "in-force", "ost-wien"},
		{"apply faults", []string{"apply", faulty, "--platform", p}, ExitFailed, "", "nothing applied"},
		{"apply on another revision", []string{"apply", file, "--from", "7", "--platform", p}, ExitDone, "in-force", ""},
		{"nothing staged", []string{"apply", "--resume", "--revision", "1", "--platform", p}, ExitUsage, "", "expected one of"},
		{"withdraw nothing", []string{"apply", "--withdraw", "--platform", p}, ExitFailed, "nothing-staged", "nothing is staged"},
		{"revision that isn't kept", []string{"apply", "--revision", "9", "--platform", p}, ExitFailed, "", "isn't kept"},
		{"platform down", []string{"apply", file, "--platform", "http://127.0.0.1:1", "--timeout", "2s"}, ExitFailed, "", "waiting for the platform"},
		{"withdraw with the platform down", []string{"apply", "--withdraw", "--platform", "http://127.0.0.1:1", "--timeout", "2s"}, ExitFailed, "", "nothing was tried"},
		{"status", []string{"status", "--platform", p}, ExitDone, "h1", ""},
		{"history", []string{"status", "--history", "--platform", p}, ExitDone, "anna", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			code, output, errs := invoke(t, c.args...)
			if code != c.code || !strings.Contains(output, c.output) || !strings.Contains(errs, c.errors) {
				t.Errorf("code %d, output %q, errors %q", code, output, errs)
			}
		})
	}
}
