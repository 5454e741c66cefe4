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

// wallReader is where the code reads or writes wall-clock time, and why a step of
// the clock breaks no promise there.
type wallReader struct {
	file, why string
}

var wallReaders = []wallReader{
	{"config/follower/advise.go", "shown to operators"},
	{"config/follower/reporter.go", "shown to operators"},
	{"config/publisher/publisher.go", "shown to operators"},
	{"log/encoder/buffer.go", "log lines"},
	{"host/runner/membership.go", "start number; a host that hears of a higher one of its own goes above it"},
	{"settings/defaulter/defaulter.go", "start number, as above"},
	{"outcome/recorder/recorder.go", "when keys are forgotten, which is done only while two clocks agree"},
	{"config/follower/clock.go", "a step lets a lease run out early, never late"},
	{"backend/relayer/relayer.go", "closes an idle connection too early or late, the next call opens one"},
	{"peer/dialer/caller.go", "a fixed deadline in the past, which ends a read at once"},
	{"peer/linker/linker.go", "closes a link without streams too early or late, the next call opens one"},
}

// The wall clock of a host is set forward or back while it runs. Nobody may
// notice more than odd times in logs: leases, deadlines, suspicions and orders
// of promotion go by monotonic time, which a time.Time loses where it is turned
// into a number or a date. Each place that does so is listed with a reason.
func TestNoDecisionUsesWallTime(t *testing.T) {
	found := map[string]bool{}
	for _, r := range wallReaders {
		found[r.file] = false
	}
	root := filepath.Join("..", "..")
	err := filepath.WalkDir(root, func(path string, e fs.DirEntry, err error) error {
		n := filepath.ToSlash(strings.TrimPrefix(path, root+string(filepath.Separator)))
		if err != nil || e.IsDir() || !strings.HasSuffix(n, ".go") || strings.HasSuffix(n, "_test.go") || ofTheBench(n) {
			return err
		}
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil || !readsWall(f) {
			return err
		}
		if _, ok := found[n]; !ok {
			t.Errorf("%s uses wall-clock time and isn't listed", n)
		}
		found[n] = true
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	for n, ok := range found {
		if !ok {
			t.Errorf("%s is listed and uses no wall-clock time", n)
		}
	}
}

// ofTheBench reports whether the file belongs to the stand-ins or to package bench.
func ofTheBench(name string) bool {
	return strings.HasPrefix(name, "standin/") || strings.HasPrefix(name, "bench/")
}

// readsWall reports whether the file drops a time's monotonic part.
func readsWall(f *ast.File) bool {
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
