package loader

import (
	"flag"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/settings/declarer"
	"github.com/cuminwick/cuminwick/internal/settings/decoder"
	"github.com/cuminwick/cuminwick/internal/settings/defaulter"
)

var update = flag.Bool("update", false, "rewrite the golden files")

var start = time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC)

// Guards against settings files with several faults of which only the first is reported, so that an
// operator has to correct them one start at a time. Golden files hold the faults of each file.
func TestFaultsAreAllReported(t *testing.T) {
	l, err := filepath.Glob("testdata/*.yaml")
	if err != nil || len(l) == 0 {
		t.Fatalf("no test files: %v", err)
	}
	for _, f := range l {
		t.Run(filepath.Base(f), func(t *testing.T) {
			_, err := Load(f, start)
			if !errors.Is(err, decoder.ErrFaults) {
				t.Fatalf("Load returned %v, want faults", err)
			}
			golden(t, strings.TrimSuffix(f, ".yaml")+".golden", err.Error()+"\n")
		})
	}
}

func golden(t *testing.T, file, got string) {
	t.Helper()
	if *update {
		if err := os.WriteFile(file, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	b, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(string(b), got); d != "" {
		t.Errorf("faults differ from %s (-want +got):\n%s", file, d)
	}
}

// Guards against an example file that can't be loaded, and against secrets and derived settings that
// are left unset.
func TestExampleFile(t *testing.T) {
	d := t.TempDir()
	b, err := os.ReadFile("../../../settings.example.yaml")
	if err != nil {
		t.Fatal(err)
	}
	for n, v := range map[string]string{
		"settings.yaml":    string(b),
		"backend.password": "secret\n",
		"mark-2026-12.key": "0123456789abcdef\n",
	} {
		if err := os.WriteFile(filepath.Join(d, n), []byte(v), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	s, err := Load(filepath.Join(d, "settings.yaml"), start)
	if err != nil {
		t.Fatal(err)
	}
	if s.Backend.Password != "secret" || string(s.MarkKeys[0].Key) != "0123456789abcdef" {
		t.Error("secrets aren't the contents of the files that the settings name")
	}
	if s.Incarnation != uint64(start.UnixMilli()) || s.Peers.AdvertisedAddress != s.Peers.Address {
		t.Error("incarnation or advertised address isn't derived")
	}
}

// Guards against defaults in the example file that differ from those in the code. The example shows
// each default of the log and the limits in a comment.
func TestExampleShowsDefaults(t *testing.T) {
	b, err := os.ReadFile("../../../settings.example.yaml")
	if err != nil {
		t.Fatal(err)
	}
	_, defaults, _ := strings.Cut(string(b), "# log:")
	u := regexp.MustCompile(`(?m)^# `).ReplaceAllString("# log:"+defaults, "")
	var s declarer.Settings
	decoder.Decode("example", []byte(u), &s)
	w := defaulter.Default()
	if d := cmp.Diff(w.Log, s.Log); d != "" {
		t.Errorf("log differs (-default +example):\n%s", d)
	}
	if d := cmp.Diff(w.Limits, s.Limits); d != "" {
		t.Errorf("limits differ (-default +example):\n%s", d)
	}
}
