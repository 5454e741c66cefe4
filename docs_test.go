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

// A test is renamed or removed, and the page of promises goes on naming it. Its reader
// would trust a proof that isn't run.
func TestPromisesNameTestsThatExist(t *testing.T) {
	b, err := os.ReadFile("docs/promises.md")
	if err != nil {
		t.Fatal(err)
	}
	tests := definedTests(t)
	named := regexp.MustCompile("`(Test[A-Z][A-Za-z0-9]*)`").FindAllStringSubmatch(string(b), -1)
	if len(named) == 0 {
		t.Fatal("no test is named")
	}
	for _, m := range named {
		if !tests[m[1]] {
			t.Errorf("docs/promises.md names %s, which doesn't exist", m[1])
		}
	}
}

// definedTests returns the names of all test functions.
func definedTests(t *testing.T) map[string]bool {
	tests := map[string]bool{}
	f := regexp.MustCompile(`(?m)^func (Test[A-Z]\w*)\(`)
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

// The platform's names creep into the decisions, and the next platform means to write
// them anew. Only the two packages that put a process together may import the adapter.
func TestOnlyTheRimKnowsThePlatform(t *testing.T) {
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
			t.Errorf("%s imports platform", p)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}
