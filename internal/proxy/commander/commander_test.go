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
	running := filepath.Join(d, "running.json")
	// The running configuration has an entry that hosts ignore.
	if err := os.WriteFile(running, []byte(`{"version":6,"tenants":[{"name":"a","api_keys":["k"]}],"operations":{"held-customers":["a",5]}}`), 0o600); err != nil {
		t.Fatal(err)
	}
	warned := filepath.Join(d, "warned.json")
	if err := os.WriteFile(warned, []byte(`{"version":8,"operations":{"held-routes":["r-0"]}}`), 0o600); err != nil {
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
		"invalid request":     {[]string{"validate", "--configuration", running}, exitFailure, "", "held-customers: entry 2 is 5, must be a name"},
		"unmatched name":      {[]string{"validate", "--configuration", warned}, exitSuccess, `warning: operations: held-routes: "r-0" matches no route`, ""},
		"preview":             {[]string{"validate", "--configuration", configuration, "--running", running}, exitSuccess, "version 7 takes the place of 6\nranked: no, as before\n\nkind      name  change\ncustomer  a     released\n", ""},
		"preview as json":     {[]string{"validate", "--configuration", configuration, "--running", running, "--format", "json"}, exitSuccess, `"operations":[{"kind":"customer","name":"a","change":"released"}]`, ""},
		"preview, bad format": {[]string{"validate", "--configuration", configuration, "--running", running, "--format", "xml"}, exitFailure, "", `format "xml"`},
		"preview, bad file":   {[]string{"validate", "--configuration", configuration, "--running", bad}, exitFailure, "", "isn't an object"},
		"preview, no file":    {[]string{"validate", "--configuration", configuration, "--running", filepath.Join(d, "none")}, exitFailure, "", "none"},
		"preview of settings": {[]string{"validate", good, "--running", running}, exitFailure, "", "--running needs --configuration"},
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
