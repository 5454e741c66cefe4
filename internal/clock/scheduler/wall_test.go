package scheduler

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"
)

// wallReader is a file that reads or writes wall-clock time, with the reason why a step of the clock
// violates no guarantee there.
type wallReader struct {
	file, reason string
}

var wallReaders = []wallReader{
	{"config/follower/advise.go", "shown to operators"},
	{"config/follower/reporter.go", "shown to operators"},
	{"config/publisher/publisher.go", "shown to operators"},
	{"log/encoder/buffer.go", "log lines"},
	{"host/runner/membership.go", "incarnation; a host that learns of a higher one of its own takes one above it"},
	{"settings/defaulter/defaulter.go", "incarnation, as in membership.go"},
	{"outcome/recorder/recorder.go", "expiry of keys, which is done only while two clocks agree"},
	{"config/follower/clock.go", "a step can make a lease expire early, never late"},
	{"backend/relayer/relayer.go", "a step closes an idle connection too early or late; the next call opens one"},
	{"peer/dialer/caller.go", "a fixed deadline in the past, which ends a read immediately"},
	{"peer/linker/linker.go", "a step closes a link without streams too early or late; the next call opens one"},
}

// Guards against decisions that go wrong when the wall clock of a host is set forward or back while
// it runs. Leases, deadlines, failure suspicions and promotion orders use monotonic time, which a
// time.Time loses when it is converted to a number or a date. Each file that does so is listed in
// wallReaders with a reason; a step of the clock may only affect what is listed there.
func TestNoDecisionUsesWallTime(t *testing.T) {
	found := map[string]bool{}
	for _, r := range wallReaders {
		found[r.file] = false
	}
	root := filepath.Join("..", "..")
	err := filepath.WalkDir(root, func(path string, e fs.DirEntry, err error) error {
		n := filepath.ToSlash(strings.TrimPrefix(path, root+string(filepath.Separator)))
		if err != nil || e.IsDir() || !strings.HasSuffix(n, ".go") || strings.HasSuffix(n, "_test.go") || isStandInOrBench(n) {
			return err
		}
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil || !usesWallTime(f) {
			return err
		}
		if _, ok := found[n]; !ok {
			t.Errorf("%s uses wall-clock time and isn't listed in wallReaders", n)
		}
		found[n] = true
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	for n, ok := range found {
		if !ok {
			t.Errorf("%s is listed in wallReaders and uses no wall-clock time", n)
		}
	}
}

// isStandInOrBench reports whether the file belongs to the stand-ins or to the benchmarks, which are not
// part of an entry host.
func isStandInOrBench(name string) bool {
	return strings.HasPrefix(name, "standin/") || strings.HasPrefix(name, "bench/")
}

// usesWallTime reports whether the file calls methods that drop the monotonic reading of a time.
func usesWallTime(f *ast.File) bool {
	found := false
	ast.Inspect(f, func(n ast.Node) bool {
		if s, ok := n.(*ast.SelectorExpr); ok {
			switch s.Sel.Name {
			case "Unix", "UnixMilli", "UnixMicro", "UnixNano", "UTC", "Round", "AppendFormat", "MarshalText", "MarshalJSON":
				found = true
			}
		}
		return true
	})
	return found
}
