package runner

import (
	"path/filepath"
	"strings"
	"testing"
)

// The demo could skip the check of a promise, or fail, and still exit with success.
func TestDemo(t *testing.T) {
	const promises = 8
	c, o, e := invoke(t, "demo", "--log", filepath.Join(t.TempDir(), "demo.log"))
	if c != ExitDone || e != "" {
		t.Errorf("exit code %d, errors %q", c, e)
	}
	if n := strings.Count(o, "held "); n != promises || n != strings.Count(o, "\n") {
		t.Errorf("%d promises held, want %d and nothing else:\n%s", n, promises, o)
	}
}
