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
	configuration := filepath.Join(d, "configuration.json")
	if err := os.WriteFile(configuration, []byte(`{"version":7,"tenants":[{"name":"a","api_keys":["k"]}]}`), 0o600); err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		args   []string
		code   int
		out    string
		errOut string
	}{
		"help":                {[]string{"--help"}, exitSuccess, "explain --request", ""},
		"nothing":             {nil, exitUsage, "", "Usage"},
		"unknown subcommand":  {[]string{"dance"}, exitUsage, "", "dance"},
		"good settings":       {[]string{"validate", good}, exitSuccess, "entry host front-z-1", ""},
		"bad settings":        {[]string{"validate", bad}, exitFailure, "", "zone is missing"},
		"good configuration":  {[]string{"validate", "--configuration", configuration}, exitSuccess, "version 7, 0 routes, 1 customers with 1 keys", ""},
		"bad configuration":   {[]string{"validate", "--configuration", bad}, exitFailure, "", "not a configuration"},
		"no settings":         {[]string{"validate", filepath.Join(d, "none")}, exitFailure, "", "none"},
		"serve, no settings":  {[]string{"serve"}, exitFailure, "", "CUMINWICK_BOOT names no file"},
		"explain":             {[]string{"explain", "--request", "141bc760d96d8f76", log}, exitSuccess, "outcome=unknown", ""},
		"explain as json":     {[]string{"explain", "--request", "141bc760d96d8f76", "--format", "json", log}, exitSuccess, `"holes":`, ""},
		"explain, no line":    {[]string{"explain", "--request", "x", log}, exitFailure, "", "no line of the request"},
		"explain, bad format": {[]string{"explain", "--request", "x", "--format", "xml", log}, exitFailure, "", `format "xml"`},
		"losses":              {[]string{"losses", log}, exitSuccess, "statements lost from", ""},
		"losses as json":      {[]string{"losses", "--format", "json", "--window", "1s", log}, exitSuccess, `"causes":`, ""},
		"losses, bad format":  {[]string{"losses", "--format", "xml", log}, exitFailure, "", `format "xml"`},
		"losses, bad window":  {[]string{"losses", "--window", "-1s", log}, exitFailure, "", "window -1s"},
		"losses, no line":     {[]string{"losses", "--group", "none", log}, exitFailure, "", "no line of a statement"},
		"explain, no id":      {[]string{"explain", log}, exitUsage, "", "--request"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Setenv("CUMINWICK_BOOT", "")
			var out, errOut bytes.Buffer
			if code := Run(c.args, &out, &errOut); code != c.code {
				t.Errorf("exit code %d, want %d: %s", code, c.code, errOut.String())
			}
			if !strings.Contains(out.String(), c.out) || !strings.Contains(errOut.String(), c.errOut) {
				t.Errorf("output %q, errors %q", out.String(), errOut.String())
			}
			if c.code != exitSuccess && out.Len() > 0 {
				t.Errorf("data %q in spite of an error", out.String())
			}
		})
	}
}
