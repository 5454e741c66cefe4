// Package parser reads the file that operators apply and reports all its faults at once.
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

// Result is what the parser makes of one file.
type Result struct {
	// File is as written, without defaults; it is usable only if Faults is empty.
	File declarer.File
	// Faults keep the file from being applied.
	Faults decoder.Faults
	// Warnings point at what is allowed but probably not meant.
	Warnings decoder.Faults
}

// ParseFile reads and parses the named file; faults in it are no error.
func ParseFile(name string) (Result, error) {
	b, err := os.ReadFile(name)
	if err != nil {
		return Result{}, errors.Annotate(err, "read configuration file")
	}
	return Parse(name, b), nil
}

// Parse parses data; name stands for the file in the faults.
func Parse(name string, data []byte) Result {
	return ParseWithBase(name, data, declarer.File{})
}

// ParseWithBase parses data whose hidden verifiers are those of base.
func ParseWithBase(name string, data []byte, base declarer.File) Result {
	var r Result
	l, f := decoder.Decode(name, data, &r.File)
	r.File = concealer.Restore(r.File, base)
	c := checker{name: name, lines: l, file: &r.File, faults: f}
	c.check()
	if len(c.faults) == 0 {
		c.warn()
	}
	r.Faults = sorted(c.faults)
	r.Warnings = sorted(c.warnings)
	return r
}

func sorted(f decoder.Faults) decoder.Faults {
	slices.SortStableFunc(f, func(a, b decoder.Fault) int { return a.Line - b.Line })
	return f
}

// checker checks what spans several keys of a file.
type checker struct {
	name     string
	lines    decoder.Lines
	file     *declarer.File
	faults   decoder.Faults
	warnings decoder.Faults
}

func (c *checker) fault(key, found, expected string) {
	c.faults = append(c.faults, c.at(key, found, expected))
}

func (c *checker) warning(key, found, expected string) {
	c.warnings = append(c.warnings, c.at(key, found, expected))
}

// at makes a fault that points at key, or at the nearest key around it.
func (c *checker) at(key, found, expected string) decoder.Fault {
	l := 0
	for k := key; k != "" && l == 0; k = parent(k) {
		l = c.line(k)
	}
	return decoder.Fault{File: c.name, Line: max(l, 1), Key: key, Found: found, Expected: expected}
}

// line returns where key is set, or its first member if it is a list's entry,
// zero if neither is there.
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

// parent drops the last part of a key's path.
func parent(key string) string {
	for i := len(key) - 1; i > 0; i-- {
		if key[i] == '.' || key[i] == '[' {
			return key[:i]
		}
	}
	return ""
}

// set reports whether the file sets key.
func (c *checker) set(key string) bool {
	return c.lines[key] != 0
}

func (c *checker) check() {
	c.checkGroups()
	c.checkRules()
	c.checkTeams()
	c.checkLimits()
}

// unique reports a second use of a name among its kind.
func (c *checker) unique(seen map[string]string, key, name string) {
	if name == "" {
		return
	}
	if first, ok := seen[name]; ok {
		c.fault(key, fmt.Sprintf("%q again, first in %s", name, first), "each name once")
		return
	}
	seen[name] = key
}
