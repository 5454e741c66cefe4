// Package parser parses the configuration file that operators apply and reports all its
// faults at once.
package parser

import (
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/config/concealer"
	"github.com/cuminwick/cuminwick/internal/config/declarer"
	"github.com/cuminwick/cuminwick/internal/settings/decoder"
)

// Result is the outcome of parsing one file.
type Result struct {
	// File is as written, without defaults; it is usable only if Faults is empty.
	File declarer.File
	// Faults are the errors that prevent the file from being applied.
	Faults decoder.Faults
	// Warnings are settings that are allowed but probably not intended; they are only
	// looked for in a file without faults.
	Warnings decoder.Faults
}

// ParseFile reads and parses the named file. It returns an error only if the file can't be
// read; faults in it are part of the result.
func ParseFile(name string) (Result, error) {
	b, err := os.ReadFile(name)
	if err != nil {
		return Result{}, errors.Annotate(err, "read configuration file")
	}
	return Parse(name, b), nil
}

// Parse parses data; name is the file name stated in the faults.
func Parse(name string, data []byte) Result {
	return ParseWithBase(name, data, declarer.File{})
}

// ParseWithBase parses data and replaces hidden verifiers by those of base.
func ParseWithBase(name string, data []byte, base declarer.File) Result {
	var r Result
	l, f := decoder.Decode(name, data, &r.File)
	r.File = concealer.Restore(r.File, base)
	c := checker{name: name, lines: l, file: &r.File, faults: f}
	c.check()
	if len(c.faults) == 0 {
		c.warn()
	}
	r.Faults = sortByLine(c.faults)
	r.Warnings = sortByLine(c.warnings)
	return r
}

func sortByLine(f decoder.Faults) decoder.Faults {
	slices.SortStableFunc(f, func(a, b decoder.Fault) int { return a.Line - b.Line })
	return f
}

// checker checks rules of a file that the decoder can't check key by key.
type checker struct {
	name     string
	lines    decoder.Lines
	file     *declarer.File
	faults   decoder.Faults
	warnings decoder.Faults
}

func (c *checker) addFault(key, found, expected string) {
	c.faults = append(c.faults, c.newFault(key, found, expected))
}

func (c *checker) addWarning(key, found, expected string) {
	c.warnings = append(c.warnings, c.newFault(key, found, expected))
}

// newFault returns a fault at the line of key or, if the file doesn't set key, of the
// nearest key that encloses it.
func (c *checker) newFault(key, found, expected string) decoder.Fault {
	l := 0
	for k := key; k != "" && l == 0; k = parent(k) {
		l = c.line(k)
	}
	return decoder.Fault{File: c.name, Line: max(l, 1), Key: key, Found: found, Expected: expected}
}

// line returns the line on which key is set, or that of its first member if key is an
// entry of a list; zero if the file has neither.
func (c *checker) line(key string) int {
	if l := c.lines[key]; l != 0 {
		return l
	}
	first := 0
	for k, l := range c.lines {
		if strings.HasPrefix(k, key+".") && (first == 0 || l < first) {
			first = l
		}
	}
	return first
}

// parent returns key without the last part of its path, empty if it has only one.
func parent(key string) string {
	for i := len(key) - 1; i > 0; i-- {
		if key[i] == '.' || key[i] == '[' {
			return key[:i]
		}
	}
	return ""
}

// isSet reports whether the file sets key.
func (c *checker) isSet(key string) bool {
	return c.lines[key] != 0
}

func (c *checker) check() {
	c.checkGroups()
	c.checkRules()
	c.checkTeams()
	c.checkLimits()
}

// checkUnique adds a fault if name is in seen, which maps each name of one kind to the key
// that set it first. Otherwise it adds name to seen.
func (c *checker) checkUnique(seen map[string]string, key, name string) {
	if name == "" {
		return
	}
	if first, ok := seen[name]; ok {
		c.addFault(key, fmt.Sprintf("%q again, first in %s", name, first), "each name once")
		return
	}
	seen[name] = key
}
