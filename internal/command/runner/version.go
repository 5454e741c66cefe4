package runner

import (
	"fmt"
	"runtime/debug"
)

// version returns the module version, revision and Go version of the build.
func version() string {
	b, ok := debug.ReadBuildInfo()
	if !ok {
		return "cuminwick (no build information)"
	}
	return fmt.Sprintf("cuminwick %s %s %s", b.Main.Version, vcsRevision(b), b.GoVersion)
}

// vcsRevision returns the revision of the source tree, marked if it had uncommitted changes.
func vcsRevision(b *debug.BuildInfo) string {
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
