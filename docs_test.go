package main

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// Guards against a page naming a test that has been renamed or removed. Readers would rely on a check that is
// never run.
func TestPromisesNameTestsThatExist(t *testing.T) {
	tests := definedTests(t)
	for _, page := range []string{"docs/promises.md", "docs/design/message-boundaries.md"} {
		b, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		named := regexp.MustCompile("`((?:Test|Fuzz)[A-Z][A-Za-z0-9]*)`").FindAllStringSubmatch(string(b), -1)
		if len(named) == 0 {
			t.Fatalf("%s names no test", page)
		}
		for _, m := range named {
			if !tests[m[1]] {
				t.Errorf("%s names %s, which doesn't exist", page, m[1])
			}
		}
	}
}

// definedTests returns the names of all test and fuzz functions in the module.
func definedTests(t *testing.T) map[string]bool {
	tests := map[string]bool{}
	f := regexp.MustCompile(`(?m)^func ((?:Test|Fuzz)[A-Z]\w*)\(`)
	err := filepath.WalkDir(".", func(p string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(p, "_test.go") {
			return err
		}
		b, err := os.ReadFile(p)
		if err != nil {
			return err
		}
		for _, m := range f.FindAllStringSubmatch(string(b), -1) {
			tests[m[1]] = true
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return tests
}

// Guards against code that depends on one platform outside of its adapter. Logic that used the
// platform's names would have to be rewritten for the next platform. Only the two packages that
// assemble a process may import package platform.
func TestOnlyAssemblyImportsPlatform(t *testing.T) {
	allowed := []string{"internal/proxy/assembler", "internal/proxy/commander"}
	err := filepath.WalkDir(".", func(p string, e fs.DirEntry, err error) error {
		if err != nil || e.IsDir() || !strings.HasSuffix(p, ".go") {
			return err
		}
		b, err := os.ReadFile(p)
		if err != nil {
			return err
		}
		d := filepath.ToSlash(filepath.Dir(p))
		if strings.Contains(string(b), "\"github.com/cuminwick/cuminwick/"+"platform\"") && !slices.Contains(allowed, d) {
			t.Errorf("%s imports platform, only %v may", p, allowed)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}
