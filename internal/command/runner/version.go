package runner

import (
	"fmt"
	"runtime/debug"
)

// version describes the build: module version, revision and Go version.
func version() string {
	b, ok := debug.ReadBuildInfo()
	if !ok {
		return "cuminwick (no build information)"
	}
	return fmt.Sprintf("cuminwick %s %s %s", b.Main.Version, revision(b), b.GoVersion)
}

func revision(b *debug.BuildInfo) string {
	r, dirty := "unknown", ""
	for _, s := range b.Settings {
		switch {
		case s.Key == "vcs.revision":
			r = s.Value
		case s.Key == "vcs.modified" && s.Value == "true":
			dirty = "+changes"
		}
	}
	return r + dirty
}
