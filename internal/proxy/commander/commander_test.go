package commander

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestRun(t *testing.T) {
	d := t.TempDir()
	bad := filepath.Join(d, "bad.conf")
	if err := os.WriteFile(bad, []byte("node_name=h\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	good := filepath.Join("..", "..", "..", "platform", "testdata", "settings.conf")
	log := filepath.Join("..", "explainer", "testdata", "unknown", "front-warszawa-b-1.log")
	for name, c := range map[string]struct {
		line   []string
		code   int
		out    string
		faults string
	}{
		"help":               {[]string{"--help"}, exitDone, "explain --request", ""},
		"nothing":            {nil, exitUsage, "", "Usage"},
		"unknown subcommand": {[]string{"dance"}, exitUsage, "", "dance"},
		"good settings":      {[]string{"validate", good}, exitDone, "entry host front-z-1", ""},
		"bad settings":       {[]string{"validate", bad}, exitFailed, "", "zone is missing"},
		"no settings":        {[]string{"validate", filepath.Join(d, "none")}, exitFailed, "", "none"},
		"serve without":      {[]string{"serve"}, exitFailed, "", "CUMINWICK_BOOT names no file"},
		"explain":            {[]string{"explain", "--request", "141bc760d96d8f76", log}, exitDone, "outcome=unknown", ""},
		"explain as json":    {[]string{"explain", "--request", "141bc760d96d8f76", "--format", "json", log}, exitDone, `"holes":`, ""},
		"explain, no line":   {[]string{"explain", "--request", "x", log}, exitFailed, "", "no line of the request"},
		"explain, bad form":  {[]string{"explain", "--request", "x", "--format", "xml", log}, exitFailed, "", `format "xml"`},
		"losses":             {[]string{"losses", log}, exitDone, "statements lost from", ""},
		"losses as json":     {[]string{"losses", "--format", "json", "--window", "1s", log}, exitDone, `"causes":`, ""},
		"losses, bad form":   {[]string{"losses", "--format", "xml", log}, exitFailed, "", `format "xml"`},
		"losses, bad window": {[]string{"losses", "--window", "-1s", log}, exitFailed, "", "window -1s"},
		"losses, no line":    {[]string{"losses", "--group", "none", log}, exitFailed, "", "no line of a statement"},
		"explain, no id":     {[]string{"explain", log}, exitUsage, "", "--request"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Setenv("CUMINWICK_BOOT", "")
			var out, faults bytes.Buffer
			if code := Run(c.line, &out, &faults); code != c.code {
				t.Errorf("exit code %d, want %d: %s", code, c.code, faults.String())
			}
			if !strings.Contains(out.String(), c.out) || !strings.Contains(faults.String(), c.faults) {
				t.Errorf("output %q, errors %q", out.String(), faults.String())
			}
			if c.code != exitDone && out.Len() > 0 {
				t.Errorf("data %q beside an error", out.String())
			}
		})
	}
}
